package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/sleeper"
	"bramleyshunt/switcher"
)

const (
	// placeTimeout bounds the wait for the target that the relay picks. It is far above the
	// round trip within a zone, and a small part of any objective.
	placeTimeout = 30 * time.Millisecond
	// placeBackoff is the time after a relay that did not answer in which requests are placed
	// without it.
	placeBackoff = 200 * time.Millisecond
	// placeInterval is the time after which the relay is asked again for a request that no
	// target accepted.
	placeInterval = 20 * time.Millisecond
)

// errNoTargetNow says that no target accepts a request now, by the counts of the relay.
var errNoTargetNow = coder.Errorf(coder.Busy, "no target accepts the request now")

// askRelay has the relay pick the targets of a request in place of those that were picked
// here: it knows of all requests that it has placed for the entries of its group, and of those of
// other groups sooner. The targets picked here are used if the relay can't be asked, or if
// this entry may not send to its choice.
func (cd *Conductor) askRelay(ctx context.Context, t *scheduler.Ticket, pick router.Pick) (router.Pick, error) {
	now := cd.cfg.Now()
	if cd.cfg.Place == nil || t.Prefill == 0 || now.UnixNano() < cd.placeAfter.Load() || cd.cfg.Disabled.Off(switcher.AskRelay) {
		return pick, nil
	}
	unavailable, ok := cd.control.unavailable(t, pick)
	if !ok {
		return pick, nil
	}
	bound, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	m := cd.control.placeMessage(t)
	m.Exclude = slices.Concat(t.Exclude, unavailable)
	out, err := cd.cfg.Place(bound, m)
	log := cd.cfg.Log.WithFields(logrus.Fields{"id": t.ID, "target": pick.Target.ID})
	switch {
	case err != nil && ctx.Err() != nil: // the request has ended, which tells nothing of the relay
		return pick, nil
	case err != nil:
		cd.placeAfter.Store(cd.cfg.Now().Add(placeBackoff).UnixNano())
		cd.meter.count("relay.failed")
		log.WithError(err).Info("relay did not answer, placing without it")
		return pick, nil
	case out == nil:
		return pick, nil
	case out.Target == nil:
		cd.meter.count("relay.none")
		return pick, errNoTargetNow
	}
	moved, ok := cd.control.move(t, pick, out)
	if !ok {
		cd.meter.count("relay.unusable")
		log.WithField("relayed", out.Target.ID).Info("may not send to the target that the relay picked")
		return pick, nil
	}
	cd.meter.count("relay.placed")
	return moved, nil
}

// move replaces the targets of a placed request by those that the relay has picked, and
// reports whether this entry may send to them.
func (c *control) move(t *scheduler.Ticket, from router.Pick, m *messenger.Placed) (to router.Pick, ok bool) {
	c.do(func() {
		to = c.relayedPick(t, m)
		if ok = c.scheduler.Move(c.cfg.Now(), t, from, to); ok {
			c.notifySendsChanged()
		}
	})
	return to, ok
}

// relayedPick returns the targets that the relay has picked. Those that are not the known ones are
// refused when the request is placed there.
func (c *control) relayedPick(t *scheduler.Ticket, m *messenger.Placed) router.Pick {
	target := func(p messenger.PlacedTarget) messenger.Target {
		known := c.scheduler.Router.Target(p.ID)
		known.ID, known.Incarnation = p.ID, p.Incarnation
		return known
	}
	out := router.Pick{Target: target(*m.Target), Running: m.Running, PeerEntries: m.Entries, PeerAge: m.Age, Relay: m.Relay, Cached: max(0, min(m.Cached, t.Prompt-1))}
	out.Hinted = out.Cached
	for _, h := range m.Helpers {
		out.Helpers, out.HelperMemory = append(out.Helpers, target(h)), append(out.HelperMemory, h.Memory)
	}
	return out
}

// returnPlacement gives up the targets of a request that was placed but not sent, and waits until
// it may be placed again, or until the relay places it. It returns the error to end the request
// with if it has waited for too long.
func (c *control) returnPlacement(ctx context.Context, t *scheduler.Ticket, pick router.Pick) (to router.Pick, placed bool, err error) {
	c.do(func() {
		c.scheduler.PrefillDone(t, pick, 0)
		c.scheduler.Ended(t, pick)
		c.notifySendsChanged()
		if err = c.scheduler.CheckHeavy(c.cfg.Now(), t); err == nil {
			c.scheduler.Returned(t)
		}
	})
	if err != nil {
		return to, false, err
	}
	since := c.cfg.Now()
	if to, placed = c.askAgain(ctx, t); !placed {
		_ = sleeper.Sleep(ctx, placeInterval-c.cfg.Now().Sub(since)) // the caller notices the end of the context
	}
	return to, placed, nil
}

// PlaceFor picks the targets of a request that another entry has admitted. reserve is called with
// the counts of the request. It fails if this entry knows the targets no better than that one.
func (cd *Conductor) PlaceFor(m *messenger.Place, reserve func([]messenger.Sent)) (*messenger.Placed, error) {
	if err := cd.cfg.Ready(); err != nil {
		return nil, err
	}
	t := &scheduler.Ticket{
		Sender: m.Node, Service: m.Service, Prompt: m.Prompt, Output: m.Output, Exclude: m.Exclude, Prefill: m.Prefill, PrefillTargets: m.PrefillTargets,
		Objective: m.Objective, MaxGap: m.MaxGap, PassTime: m.PassTime, Regions: m.Regions,
		PrefixHashes: m.PrefixHashes, PromptBytes: m.PromptBytes, Cache: max(0, m.Cache),
	}
	out := &messenger.Placed{}
	var err error
	c := cd.control
	c.do(func() {
		c.refreshView()
		c.grantAsks(false) // they were here before
		var pick router.Pick
		var ok bool
		if pick, ok, err = c.scheduler.PlaceFor(c.cfg.Now(), t, m.Queued, reserve); !ok {
			return
		}
		out = c.placedMessage(pick)
	})
	if m.ID != "" && err == nil && out.Target == nil {
		out = c.keepAsk(m, t, reserve)
	}
	cd.meter.count("relay.answered")
	return out, err
}
