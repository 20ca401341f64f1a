package bencher

import (
	"fmt"
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/aggregator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/passer"
	"bramleyshunt/predictor"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/switcher"
)

// placeInterval is the time after which the relay is asked again for a call that no target
// accepted.
const placeInterval = 20 * time.Millisecond

// maxAttempts limits the targets that a call is sent to.
const maxAttempts = 3

// fleetEntry simulates an entry of the fleet: the production decision logic without its
// I/O.
type fleetEntry struct {
	f         *Fleet
	name      string
	scheduler scheduler.Scheduler
	pending   map[*scheduler.Ticket]*call
	killed    bool          // by a restart
	ticking   bool          // a tick is scheduled
	throttled bool          // the shortest interval since the latest messages to peers has not passed
	changed   bool          // requests in flight have changed since that message
	rotation  int           // next target of RoundRobin
	inFlight  map[*node]int // own calls, used by LeastOutstanding
	holds     []sharedHold  // reported to the other entries

	aggregator aggregator.Aggregator
}

func newFleetEntry(f *Fleet, i int) *fleetEntry {
	seed := f.Seed*uint64(f.Site.Entries) + uint64(i)
	e := &fleetEntry{
		f: f, name: fmt.Sprint("e", i), rotation: i, pending: map[*scheduler.Ticket]*call{}, inFlight: map[*node]int{},
		aggregator: aggregator.Aggregator{Node: fmt.Sprint("e", i)},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: seed},
			Router:   router.Router{Seed: seed, Disabled: f.Disabled.Router()},
			Disabled: f.Disabled.Scheduler(),
		},
	}
	e.scheduler.Router.Update(f.now, f.targets())
	e.scheduler.Router.SetEntries(e.name, f.entryNames())
	f.after(0, e.shareRepeatedly)
	return e
}

// targets returns the announcements of the engines. Former announces no
// slots, so that the router does not rank targets by their slots.
func (f *Fleet) targets() []messenger.Target {
	var out []messenger.Target
	for _, n := range f.nodes {
		if n.viewGone {
			continue
		}
		t := messenger.Target{
			ID: n.id, Service: "s", Model: "m", Incarnation: 1, Slots: f.Site.Engine.Slots, Leaving: n.viewLeaving,
			Load: predictor.Predictor{Engine: f.Site.Engine}.Load(),
		}
		if f.Kind == Former {
			t.Slots = 0
		}
		out = append(out, t)
	}
	return out
}

func (e *fleetEntry) ticket(c *call) *scheduler.Ticket {
	t := &scheduler.Ticket{
		ID: fmt.Sprint(c.id, "-", c.retries), Service: "s", Account: fmt.Sprint("a", c.account), Share: 1,
		Prompt: c.prompt, Output: c.output(), PromptBytes: c.prompt * bytesPerToken, Deadline: c.deadline(),
	}
	if e.f.Kind == Ours {
		t.Predict(e.f.Site.Engine)
		t.Objective, t.MaxGap = c.traffic.Objective, c.traffic.MaxGap
	}
	return t
}

// output returns the tokens of the answer: a stride of decode steps per event.
func (c *call) output() int { return c.events * max(1, c.entry.f.Site.Engine.Stride) }

func (e *fleetEntry) arrive(c *call) {
	if e.f.Kind == RoundRobin || e.f.Kind == LeastOutstanding {
		e.sendBaseline(c, 1)
		return
	}
	if c.crashing && e.f.partRefused() {
		e.f.finish(c)
		return
	}
	t := e.ticket(c)
	if err := e.scheduler.Admit(e.f.now, t); err != nil {
		e.f.refuse(c, coder.Of(err).Retry)
		return
	}
	e.enqueue(c, t)
}

// enqueue queues a call. The call is refused once its deadline can no longer be met.
func (e *fleetEntry) enqueue(c *call, t *scheduler.Ticket) {
	e.pending[t] = c
	slack := t.Deadline.Sub(e.f.now) - e.scheduler.PredictDuration(t)
	e.scheduler.Enqueue(t)
	e.dispatch()
	if e.pending[t] == nil {
		return
	}
	e.f.after(max(slack, 0), func() {
		if e.scheduler.Abandon(t) {
			delete(e.pending, t)
			e.f.refuse(c, e.scheduler.RetryAfter(e.f.now, t))
		}
	})
	e.tick()
}

// callerLeft removes a call that its caller has cancelled, from the queue and from the
// engine.
func (e *fleetEntry) callerLeft(c *call) {
	for t, pending := range e.pending {
		if pending == c && e.scheduler.Abandon(t) {
			delete(e.pending, t)
		}
	}
	if n := c.node; n != nil {
		e.f.send(func() {
			if notify := n.handlers[c.id]; notify != nil {
				n.engine.Cancel(c.id)
				notify(passer.Ended)
			}
		})
	}
}

// tick dispatches every tickInterval until no call is pending.
func (e *fleetEntry) tick() {
	if e.ticking || len(e.pending) == 0 {
		return
	}
	e.ticking = true
	e.f.after(tickInterval, func() {
		e.ticking = false
		e.dispatch()
		e.tick()
	})
}

// dispatch sends each call that the scheduler has placed.
func (e *fleetEntry) dispatch() {
	for _, p := range e.scheduler.Dispatch(e.f.now) {
		c := e.pending[p.Ticket]
		delete(e.pending, p.Ticket)
		if p.Err != nil {
			e.f.refuse(c, coder.Of(p.Err).Retry)
			continue
		}
		placed := &placement{entry: e, call: c, ticket: p.Ticket, pick: p.Pick, placed: e.f.now}
		if c.crashing && e.f.partRefused() { // since it was queued
			placed.end()
			e.f.finish(c)
			continue
		}
		e.askRelay(placed)
		e.shareSends()
	}
}

// askRelay has the relay of this entry, if it has one, choose the targets of a call in place
// of those picked here, and sends the call.
func (e *fleetEntry) askRelay(p *placement) {
	t, ok := e.aggregator.Relay()
	relay := e.f.entryNamed(t.ID)
	if !ok || relay == nil || relay.killed || p.ticket.Prefill == 0 || e.f.Disabled.Off(switcher.AskRelay) {
		p.reserveHelperMemory()
		return
	}
	queued := p.ticket.QueueTime(e.f.now)
	e.f.send(func() {
		pick, found, err := relay.placeFor(e, p.ticket, queued)
		e.f.send(func() {
			switch {
			case err != nil:
				p.reserveHelperMemory()
			case found && e.scheduler.Move(e.f.now, p.ticket, p.pick, pick):
				p.pick = pick
				e.shareSends()
				p.reserveHelperMemory()
			case found:
				p.reserveHelperMemory()
			default:
				e.placeLater(p)
			}
		})
	})
}

// placeFor picks the targets of a call of another entry.
func (e *fleetEntry) placeFor(from *fleetEntry, t *scheduler.Ticket, queued time.Duration) (router.Pick, bool, error) {
	if !e.aggregator.Places(e.f.now) {
		return router.Pick{}, false, coder.Errorf(coder.NotReady, "")
	}
	defer e.shareSends()
	return e.scheduler.PlaceFor(e.f.now, t, queued, func(sends []messenger.Sent) { e.aggregator.Reserve(e.f.now, from.name, sends) })
}

// placeLater queues a call again that no target accepts now.
func (e *fleetEntry) placeLater(p *placement) {
	p.end()
	if p.call.done {
		return
	}
	if err := e.scheduler.CheckHeavy(e.f.now, p.ticket); err != nil {
		e.f.refuse(p.call, coder.Of(err).Retry)
		return
	}
	t := *p.ticket
	e.f.after(placeInterval, func() {
		if !p.call.done {
			e.enqueue(p.call, &t)
		}
	})
}

// shareSends exchanges the requests in flight with the other entries, as package sharer
// does: after a change, at most once per aggregator.Aggregator.Interval.
func (e *fleetEntry) shareSends() {
	if e.killed || e.f.Disabled.Off(switcher.ShareCounts) {
		return
	}
	if e.throttled {
		e.changed = true
		return
	}
	e.throttled, e.changed = true, false
	sends := e.scheduler.Router.Sends()
	e.shareHolds(sends)
	for _, m := range e.aggregator.Round(e.f.now, e.f.peers(), messenger.Share{Sends: sends}) {
		e.f.send(func() {
			for _, to := range m.To {
				if peer := e.f.entryNamed(to.ID); peer != nil && peer != e {
					peer.recordShare(m.Share)
				}
			}
		})
	}
	e.recordOthers()
	e.f.after(e.aggregator.Interval(), func() {
		e.throttled = false
		if e.changed {
			e.shareSends()
		}
	})
}

// recordShare records what another entry has sent.
func (e *fleetEntry) recordShare(m messenger.Share) {
	e.aggregator.Record(e.f.now, m)
	if m.Scope == messenger.ScopeFleet {
		e.recordOthers()
		return
	}
	e.shareSends()
}

func (e *fleetEntry) recordOthers() {
	if m, ok := e.aggregator.Others(e.f.now); ok {
		oldest := time.Duration(m.Oldest) * time.Millisecond
		e.scheduler.Router.RecordPeers(e.f.now, router.Peers{Sends: m.Sends, Entries: m.Entries, Oldest: oldest})
	}
}

// shareHolds sends what this entry has heard of targets that leave or pause to all others.
func (e *fleetEntry) shareHolds(sends []messenger.Sent) {
	if e.f.Holds != SharedMarks && e.f.Holds != Shared {
		return
	}
	holds := e.sharedHolds(sends)
	e.f.send(func() {
		for _, peer := range e.f.entries {
			if peer != e {
				peer.recordSharedHolds(holds)
			}
		}
	})
}

// shareRepeatedly shares every aggregator.MaxInterval, changed or not.
func (e *fleetEntry) shareRepeatedly() {
	e.shareSends()
	e.f.after(aggregator.MaxInterval, e.shareRepeatedly)
}

// peers returns the announcements of the entries.
func (f *Fleet) peers() []messenger.Target {
	if len(f.announced) != len(f.entries) {
		f.announced = nil
		for i, e := range f.entries {
			f.announced = append(f.announced, messenger.Target{ID: e.name, Zone: fmt.Sprint("z", i%max(1, f.Site.Zones)), Aggregates: true})
		}
	}
	return f.announced
}

// entryNames returns the names of all entries.
func (f *Fleet) entryNames() []string {
	out := make([]string, f.Site.Entries)
	for i := range out {
		out[i] = fmt.Sprint("e", i)
	}
	return out
}

// entryNamed returns the entry with a name, nil if there is none.
func (f *Fleet) entryNamed(name string) *fleetEntry {
	i := slices.IndexFunc(f.entries, func(e *fleetEntry) bool { return e.name == name })
	if i < 0 {
		return nil
	}
	return f.entries[i]
}

// sendBaseline sends a call unsplit and immediately, as a simple load balancer does.
func (e *fleetEntry) sendBaseline(c *call, attempt int) {
	listed := e.f.listed()
	if len(listed) == 0 {
		e.f.refuse(c, time.Second)
		return
	}
	n := listed[e.rotation%len(listed)]
	e.rotation++
	if e.f.Kind == LeastOutstanding {
		n = slices.MinFunc(listed, func(a, b *node) int { return e.inFlight[a] - e.inFlight[b] })
	}
	e.inFlight[n]++
	c.node = n
	e.f.send(func() {
		_, turnedAway := n.receive(e, false)
		ok := !turnedAway && n.submit(c, 1, 0, func(k passer.Kind) {
			e.f.send(func() {
				e.f.recordEvent(c)
				if k == passer.Ended {
					e.inFlight[n]--
					c.recordComplete(e.f)
				}
			})
		})
		if ok {
			return
		}
		e.f.send(func() {
			e.inFlight[n]--
			if attempt < maxAttempts {
				e.sendBaseline(c, attempt+1)
				return
			}
			e.f.refuse(c, time.Second)
		})
	})
}
