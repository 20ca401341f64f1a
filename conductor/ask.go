package conductor

import (
	"context"
	"fmt"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/sleeper"
	"bramleyshunt/switcher"
)

// While accounts are served by their use, an entry asks the relay also for requests that it knows no
// place for, if their accounts are within their shares. The relay keeps such a question for a short
// time and gives the next free place to the request that is to be served first.

// placeMessage describes a request to the relay.
func (c *control) placeMessage(t *scheduler.Ticket) *messenger.Place {
	m := &messenger.Place{
		Node: c.cfg.Settings.Node, Service: t.Service, Prompt: t.Prompt, Output: t.Output, Exclude: t.Exclude,
		Prefill: t.Prefill, PrefillTargets: t.PrefillTargets, Objective: t.Objective, MaxGap: t.MaxGap, PassTime: t.PassTime,
		Queued: t.QueueTime(c.cfg.Now()), Regions: t.Regions,
	}
	if t.Cache > 0 {
		m.PrefixHashes, m.PromptBytes, m.Cache = t.PrefixHashes, t.PromptBytes, t.Cache
	}
	return m
}

// asksRelay reports whether questions are sent for requests without a place.
func (c *control) asksRelay() bool {
	return c.fair != nil && c.cfg.Place != nil && !c.cfg.Disabled.Off(switcher.AskRelay) && !c.cfg.Now().Before(c.fair.askAfter)
}

// question describes a request to the relay that it may keep.
func (c *control) question(t *scheduler.Ticket) *messenger.Place {
	m := c.placeMessage(t)
	c.fair.lastAsk++
	m.ID = fmt.Sprintf("%s/%d", t.ID, c.fair.lastAsk)
	m.Use, _ = c.scheduler.AskUse(c.cfg.Now(), t)
	m.Priority = t.Priority
	return m
}

// askForQueued asks the relay for queued requests of accounts within their shares.
func (c *control) askForQueued() {
	if !c.asksRelay() {
		return
	}
	for _, t := range c.scheduler.AskFor(c.cfg.Now()) {
		if _, suspect := c.suspects[t.ID]; suspect { // the relay knows of no suspects
			c.scheduler.AskEnded(t)
			continue
		}
		m := c.question(t)
		c.spawn(func(ctx context.Context) { c.askFor(ctx, t, m) })
	}
}

// askFor asks the relay for one queued request, and places it if the relay has a target for it.
func (c *control) askFor(ctx context.Context, t *scheduler.Ticket, m *messenger.Place) {
	since := c.cfg.Now()
	out, answered := c.askKept(ctx, m)
	if out == nil && answered { // an answer within placeInterval means that the question was not kept
		_ = sleeper.Sleep(ctx, placeInterval-c.cfg.Now().Sub(since))
	}
	c.do(func() {
		c.scheduler.AskEnded(t)
		if !answered {
			c.deliverPlacements()
		}
		if out == nil {
			return
		}
		placed, waits := c.placements[t.ID]
		pick := c.relayedPick(t, out)
		if !waits || !c.scheduler.PlaceAt(c.cfg.Now(), t, pick) {
			return
		}
		delete(c.placements, t.ID)
		c.notifySendsChanged()
		placed <- scheduler.Placement{Ticket: t, Pick: pick}
	})
}

// askKept asks the relay a question that it may keep. It returns nil if the relay has no target, and
// false if there is no relay or it did not answer: it is not asked for placeBackoff then.
func (c *control) askKept(ctx context.Context, m *messenger.Place) (out *messenger.Placed, answered bool) {
	bound, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	out, err := c.cfg.Place(bound, m)
	if err != nil || out == nil {
		c.do(func() {
			if c.fair != nil && ctx.Err() == nil { // otherwise the request has ended
				c.fair.askAfter = c.cfg.Now().Add(placeBackoff)
			}
		})
		return nil, false
	}
	if out.Target == nil {
		return nil, true
	}
	return out, true
}

// askAgain asks the relay to keep the question for a request that it did not place, in place of
// waiting before it is asked again. It returns false if it can't be asked or has no target.
func (c *control) askAgain(ctx context.Context, t *scheduler.Ticket) (pick router.Pick, ok bool) {
	var m *messenger.Place
	c.do(func() {
		if c.asksRelay() && c.scheduler.ShouldAsk(c.cfg.Now(), t) {
			m = c.question(t)
		}
	})
	if m == nil {
		return pick, false
	}
	out, _ := c.askKept(ctx, m)
	if out == nil {
		return pick, false
	}
	c.do(func() {
		pick = c.relayedPick(t, out)
		if ok = c.scheduler.PlaceAt(c.cfg.Now(), t, pick); ok {
			c.notifySendsChanged()
		}
	})
	return pick, ok
}

// keepAsk answers a question of another entry once a target accepts the request, or with nothing
// after scheduler.HoldAsk. reserve is called with the counts of the request.
func (c *control) keepAsk(m *messenger.Place, t *scheduler.Ticket, reserve func([]messenger.Sent)) *messenger.Placed {
	answer := make(chan *messenger.Placed, 1)
	kept := false
	c.do(func() {
		if kept = c.fair != nil && c.scheduler.KeepsAsks(); !kept {
			return
		}
		c.fair.asks[m.ID] = answer
		c.fair.reserve[m.ID] = reserve
		c.scheduler.KeepAsk(scheduler.Ask{ID: m.ID, Use: m.Use, Priority: m.Priority, Ticket: t, Queued: m.Queued})
		c.deliverPlacements()
	})
	if !kept {
		return &messenger.Placed{}
	}
	timer := time.NewTimer(scheduler.HoldAsk)
	defer timer.Stop()
	select {
	case out := <-answer:
		return out
	case <-timer.C:
	case <-c.done:
	}
	c.do(func() {
		if c.fair != nil && c.scheduler.ForgetAsk(m.ID) {
			delete(c.fair.asks, m.ID)
			delete(c.fair.reserve, m.ID)
		}
	})
	select {
	case out := <-answer: // granted meanwhile
		return out
	default:
		return &messenger.Placed{}
	}
}

// grantAsks answers the kept questions that targets accept now: with first, those that precede the
// requests of this entry.
func (c *control) grantAsks(first bool) {
	if c.fair == nil {
		return
	}
	for _, g := range c.scheduler.Grants(c.cfg.Now(), first) {
		c.fair.reserve[g.ID](g.Counts)
		c.fair.asks[g.ID] <- c.placedMessage(g.Pick)
		delete(c.fair.asks, g.ID)
		delete(c.fair.reserve, g.ID)
	}
}

// placedMessage describes picked targets to another entry.
func (c *control) placedMessage(pick router.Pick) *messenger.Placed {
	out := &messenger.Placed{Running: pick.Running, Entries: pick.PeerEntries, Age: pick.PeerAge, Relay: c.cfg.Settings.Node, Cached: pick.Cached}
	out.Target = &messenger.PlacedTarget{ID: pick.Target.ID, Incarnation: pick.Target.Incarnation}
	for i, h := range pick.Helpers {
		out.Helpers = append(out.Helpers, messenger.PlacedTarget{ID: h.ID, Incarnation: h.Incarnation, Memory: pick.HelperMemory[i]})
	}
	return out
}
