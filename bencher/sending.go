package bencher

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/passer"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// sending is one placement of a call at a target, with those that help it read.
type sending struct {
	e       *fleetEntry
	c       *call
	t       *scheduler.Ticket
	p       router.Pick
	placed  time.Time
	started bool
	over    bool
}

func (f *Fleet) node(t messenger.Target) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.id == t.ID })]
}

// setAside has helpers set memory aside, then sends the call.
func (x *sending) setAside() {
	f := x.e.f
	if slices.Max(append(slices.Clone(x.p.HelperMemory), 0)) == 0 {
		f.net(x.submit)
		return
	}
	f.net(func() {
		for i, t := range x.p.Helpers {
			if x.p.HelperMemory[i] > 0 && !f.node(t).engine.Hold(x.p.HelperMemory[i]) {
				x.free(i)
				f.net(x.refused)
				return
			}
		}
		f.net(func() { f.net(x.submit) })
	})
}

// free gives back what the first n helpers set aside.
func (x *sending) free(n int) {
	for i, t := range x.p.Helpers[:n] {
		x.e.f.node(t).engine.Free(x.p.HelperMemory[i])
	}
}

// submit is at the target.
func (x *sending) submit() {
	f := x.e.f
	n := f.node(x.p.Target)
	held := 0
	for _, s := range x.p.HelperMemory {
		held += s
	}
	x.c.node = n
	if !n.submit(x.c, 1+len(x.p.Helpers), min(held, x.c.prompt), x.on) {
		x.free(len(x.p.HelperMemory))
		f.net(x.refused)
		return
	}
	parts := 1 + len(x.p.Helpers)
	for _, t := range x.p.Helpers {
		h := f.node(t)
		f.net(func() { h.help(x.c, parts, func() { f.net(func() { n.engine.PartRead(x.c.id); n.wake() }) }) })
	}
}

// on takes what the target makes.
func (x *sending) on(k passer.Kind) {
	f := x.e.f
	if k == passer.Ended {
		x.free(len(x.p.HelperMemory))
	}
	f.net(func() {
		f.event(x.c)
		x.start(f.now.Sub(x.placed))
		if k == passer.Ended {
			x.end()
			x.c.end(f)
		}
	})
}

func (x *sending) start(after time.Duration) {
	if !x.started {
		x.started = true
		x.e.scheduler.PrefillDone(x.t, x.p, after)
		x.e.tell()
		x.e.pump()
	}
}

func (x *sending) end() {
	if !x.over {
		x.over = true
		x.start(0)
		x.e.scheduler.Ended(x.t, x.p)
		x.e.tell()
		x.e.pump()
	}
}

// refused is at the entry again: the target has not run the call.
func (x *sending) refused() {
	f := x.e.f
	x.end()
	x.c.node = nil
	if x.c.done {
		return
	}
	x.e.scheduler.Router.Refused(x.p.Target.ID, f.now.Add(tickEvery))
	if len(x.t.Exclude)+1 >= mostTries {
		f.refuse(x.c, x.e.scheduler.RetryAfter(f.now, x.t))
		return
	}
	t := *x.t
	t.ID += "+"
	t.Exclude = append(slices.Clone(t.Exclude), x.p.Target.ID)
	x.e.enqueue(x.c, &t)
}
