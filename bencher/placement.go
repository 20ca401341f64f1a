package bencher

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/passer"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// placement is one attempt to run a call on a target and its helpers.
type placement struct {
	entry           *fleetEntry
	call            *call
	ticket          *scheduler.Ticket
	pick            router.Pick
	placed          time.Time
	prefillRecorded bool // the scheduler has been notified of the end of prefill
	ended           bool // the scheduler has been notified of the end
	answered        bool // the header of the answer has been sent
}

// node returns the engine of an announced target.
func (f *Fleet) node(t messenger.Target) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.id == t.ID })]
}

func (p *placement) node() *node { return p.entry.f.node(p.pick.Target) }

// reserveHelperMemory reserves memory at the helpers, then submits the call. The call is
// refused if a helper has too little memory.
func (p *placement) reserveHelperMemory() {
	f := p.entry.f
	if slices.Max(append(slices.Clone(p.pick.HelperMemory), 0)) == 0 {
		f.send(p.submit)
		return
	}
	f.send(func() {
		for i, t := range p.pick.Helpers {
			if p.pick.HelperMemory[i] > 0 && !f.node(t).reserveMemory(p.pick.HelperMemory[i]) {
				p.freeHelperMemory(i)
				f.send(p.handleRefusal)
				return
			}
		}
		f.send(func() { f.send(p.submit) })
	})
}

// freeHelperMemory frees the memory reserved at the first n helpers.
func (p *placement) freeHelperMemory(n int) {
	for i, t := range p.pick.Helpers[:n] {
		p.entry.f.node(t).engine.FreeMemory(p.pick.HelperMemory[i])
	}
}

// submit handles the call at the target and has the helpers prefill their parts.
func (p *placement) submit() {
	f := p.entry.f
	n := f.node(p.pick.Target)
	if p.turnedAway() {
		p.freeHelperMemory(len(p.pick.HelperMemory))
		return
	}
	helperMemory := 0
	for _, s := range p.pick.HelperMemory {
		helperMemory += s
	}
	p.call.node = n
	if !n.submit(p.call, 1+len(p.pick.Helpers), min(helperMemory, p.call.prompt), p.handle) {
		p.freeHelperMemory(len(p.pick.HelperMemory))
		f.send(p.handleRefusal)
		return
	}
	p.countPart()
	n.watchLoss(p)
	parts := 1 + len(p.pick.Helpers)
	for _, t := range p.pick.Helpers {
		h := f.node(t)
		f.send(func() { h.help(p.call, parts, func() { f.send(func() { n.engine.RecordPart(p.call.id); n.wake() }) }) })
	}
}

// turnedAway reports whether a target turns the call away, and has the entry handle that.
func (p *placement) turnedAway() bool {
	f := p.entry.f
	for i, t := range append([]messenger.Target{p.pick.Target}, p.pick.Helpers...) {
		n := f.node(t)
		if a, refused := n.receive(p.entry, i > 0); refused {
			f.send(func() {
				p.entry.hear(n, a)
				p.refusedBy(t.ID)
			})
			return true
		}
	}
	return false
}

// handle processes an outcome of the target.
func (p *placement) handle(k passer.Kind) {
	f := p.entry.f
	if k == passer.Ended {
		p.freeHelperMemory(len(p.pick.HelperMemory))
	}
	mark := !p.answered && p.node().leaving()
	p.answered = true
	f.send(func() {
		if mark {
			p.entry.hear(p.node(), answer{leaving: true})
		}
		f.recordEvent(p.call)
		p.recordPrefill(f.now.Sub(p.placed))
		if k == passer.Ended {
			p.end()
			p.call.recordComplete(f)
		}
	})
}

// recordPrefill notifies the scheduler once of the end of prefill, with the time since
// placement, or zero if the call ended before.
func (p *placement) recordPrefill(after time.Duration) {
	if !p.prefillRecorded {
		p.prefillRecorded = true
		p.entry.scheduler.PrefillDone(p.ticket, p.pick, after)
		p.entry.shareSends()
		p.entry.dispatch()
	}
}

// end notifies the scheduler once that the call no longer uses the target.
func (p *placement) end() {
	if !p.ended {
		p.ended = true
		p.recordPrefill(0)
		p.entry.scheduler.Ended(p.ticket, p.pick)
		p.entry.shareSends()
		p.entry.dispatch()
	}
}

// handleRefusal handles a refusal at the entry. The call has not run: it is requeued with
// the target excluded, or refused after maxAttempts.
func (p *placement) handleRefusal() { p.refusedBy(p.pick.Target.ID) }

// refusedBy is like handleRefusal for a refusal of the target or of a helper.
func (p *placement) refusedBy(id string) {
	f := p.entry.f
	p.end()
	p.call.node = nil
	if p.call.done {
		return
	}
	backoff := tickInterval
	if f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.id == id })].down {
		backoff = unreachableBackoff
	}
	p.entry.scheduler.Router.Refused(id, f.now.Add(backoff))
	if len(p.ticket.Exclude)+1 >= maxAttempts {
		f.refuse(p.call, p.entry.scheduler.RetryAfter(f.now, p.ticket))
		return
	}
	p.requeue(id)
}

// requeue queues the call again, with a target excluded.
func (p *placement) requeue(id string) {
	t := *p.ticket
	t.ID += "+"
	t.Exclude = append(slices.Clone(t.Exclude), id)
	p.entry.enqueue(p.call, &t)
}
