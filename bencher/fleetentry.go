package bencher

import (
	"fmt"
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/passer"
	"bramleyshunt/predictor"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/sharer"
)

// mostTries is how many targets a call is sent to at most.
const mostTries = 3

// fleetEntry is an entry of the fleet: the real deciders, without their shell.
type fleetEntry struct {
	f         *Fleet
	name      string
	scheduler scheduler.Scheduler
	pending   map[*scheduler.Ticket]*call
	ticking   bool
	resting   bool // between two tellings
	changed   bool // since the last one
	turn      int
	flight    map[*node]int
}

func newFleetEntry(f *Fleet, i int) *fleetEntry {
	seed := f.Seed*uint64(f.Site.Entries) + uint64(i)
	e := &fleetEntry{
		f: f, name: fmt.Sprint("e", i), turn: i, pending: map[*scheduler.Ticket]*call{}, flight: map[*node]int{},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: seed},
			Router:   router.Router{Seed: seed, Disabled: f.Disabled},
		},
	}
	e.scheduler.Router.Update(f.now, f.targets())
	f.after(0, e.remind)
	return e
}

// targets is what the keepers tell of the engines.
func (f *Fleet) targets() []messenger.Target {
	var out []messenger.Target
	for _, n := range f.nodes {
		t := messenger.Target{
			ID: n.id, Service: "s", Model: "m", Incarnation: 1, Slots: f.Site.Engine.Slots,
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
		ID: fmt.Sprint(c.id, "-", c.again), Service: "s", Account: fmt.Sprint("a", c.account), Share: 1,
		Prompt: c.prompt, Output: c.output(), PromptBytes: c.prompt * bytesPerToken, Deadline: c.deadline(),
	}
	if e.f.Kind == Ours {
		t.Predict(e.f.Site.Engine)
		t.Objective, t.MaxGap = c.traffic.Aim, c.traffic.Gap
	}
	return t
}

func (c *call) output() int { return c.events * max(1, c.entry.f.Site.Engine.Stride) }

func (e *fleetEntry) arrive(c *call) {
	if e.f.Kind == RoundRobin || e.f.Kind == LeastOutstanding {
		e.plain(c, 1)
		return
	}
	t := e.ticket(c)
	if err := e.scheduler.Admit(e.f.now, t); err != nil {
		e.f.refuse(c, coder.Of(err).Retry)
		return
	}
	e.enqueue(c, t)
}

func (e *fleetEntry) enqueue(c *call, t *scheduler.Ticket) {
	e.pending[t] = c
	late := t.Deadline.Sub(e.f.now) - e.scheduler.PredictDuration(t)
	e.scheduler.Enqueue(t)
	e.pump()
	if e.pending[t] == nil {
		return
	}
	e.f.after(max(late, 0), func() {
		if e.scheduler.Abandon(t) {
			delete(e.pending, t)
			e.f.refuse(c, e.scheduler.RetryAfter(e.f.now, t))
		}
	})
	e.tick()
}

// left takes a call out whose caller has gone, wherever it is.
func (e *fleetEntry) left(c *call) {
	for t, x := range e.pending {
		if x == c && e.scheduler.Abandon(t) {
			delete(e.pending, t)
		}
	}
	if n := c.node; n != nil {
		e.f.net(func() {
			if g := n.events[c.id]; g != nil {
				n.engine.Cancel(c.id)
				g(passer.Ended)
			}
		})
	}
}

// tick pumps until nothing waits.
func (e *fleetEntry) tick() {
	if e.ticking || len(e.pending) == 0 {
		return
	}
	e.ticking = true
	e.f.after(tickEvery, func() {
		e.ticking = false
		e.pump()
		e.tick()
	})
}

func (e *fleetEntry) pump() {
	for _, p := range e.scheduler.Dispatch(e.f.now) {
		c := e.pending[p.Ticket]
		delete(e.pending, p.Ticket)
		if p.Err != nil {
			e.f.refuse(c, coder.Of(p.Err).Retry)
			continue
		}
		x := &sending{e: e, c: c, t: p.Ticket, p: p.Pick, placed: e.f.now}
		x.setAside()
		e.tell()
	}
}

// tell tells the other entries what this one has at targets, as package sharer does.
func (e *fleetEntry) tell() {
	if e.f.Alone {
		return
	}
	if e.resting {
		e.changed = true
		return
	}
	e.resting, e.changed = true, false
	sends := e.scheduler.Router.Sends()
	e.f.net(func() {
		for _, o := range e.f.entries {
			if o != e {
				o.scheduler.Router.RecordPeer(e.f.now, e.name, sends)
			}
		}
	})
	e.f.after(sharer.MinInterval(len(e.f.entries)), func() {
		e.resting = false
		if e.changed {
			e.tell()
		}
	})
}

// remind tells every sharer.MostGap, changed or not.
func (e *fleetEntry) remind() {
	e.tell()
	e.f.after(sharer.MaxInterval, e.remind)
}

// plain sends a call as a plain balancer does, whole and at once.
func (e *fleetEntry) plain(c *call, try int) {
	n := e.f.nodes[e.turn%len(e.f.nodes)]
	e.turn++
	if e.f.Kind == LeastOutstanding {
		n = slices.MinFunc(e.f.nodes, func(a, b *node) int { return e.flight[a] - e.flight[b] })
	}
	e.flight[n]++
	c.node = n
	e.f.net(func() {
		ok := n.submit(c, 1, 0, func(k passer.Kind) {
			e.f.net(func() {
				e.f.event(c)
				if k == passer.Ended {
					e.flight[n]--
					c.end(e.f)
				}
			})
		})
		if ok {
			return
		}
		e.f.net(func() {
			e.flight[n]--
			if try < mostTries {
				e.plain(c, try+1)
				return
			}
			e.f.refuse(c, time.Second)
		})
	})
}
