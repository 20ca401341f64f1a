package bencher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/measurer"
	"bramleyshunt/messenger"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

const (
	bytesPerToken = 4
	aside         = time.Second // for a target that can't be reached
)

// entry is one entry: the real deciders, without their shell.
type entry struct {
	b         *Bencher
	scheduler scheduler.Scheduler
	measurer  measurer.Measurer
	retrier   retrier.Retrier
	pending   map[*scheduler.Ticket]*request
	ticking   bool
	turn      int         // of round robin
	flight    map[int]int // own requests by target, for least outstanding
}

func newEntry(b *Bencher, i int) *entry {
	seed := b.Seed*entries + uint64(i)
	return &entry{
		b: b, pending: map[*scheduler.Ticket]*request{}, flight: map[int]int{}, turn: i,
		retrier: retrier.Retrier{Seed: seed},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: seed},
			Router:   router.Router{Seed: seed, Disabled: b.Disabled.Router, MaxWait: b.Wait},
		},
	}
}

func (e *entry) update(view []messenger.Target) {
	e.scheduler.Router.Update(e.b.now, view)
	e.pump()
}

func (e *entry) arrive(r *request) {
	if r.id == "" {
		return
	}
	if e.b.Kind != Ours {
		r.admitted = true
		e.baseline(r)
		return
	}
	t := e.ticket(r)
	if !e.b.Disabled.Admission {
		if err := e.scheduler.Admit(e.b.now, t); err != nil {
			e.finish(r, err)
			return
		}
	}
	r.admitted = true
	e.retrier.RecordRequest("s", 0)
	e.enqueue(r)
}

func (e *entry) ticket(r *request) *scheduler.Ticket {
	size := e.measurer.Predict("m", configurer.Model{}, r.part()*bytesPerToken, 2*r.output)
	account := fmt.Sprint("a", r.account)
	if e.b.Disabled.Fair {
		account = "all"
	}
	return &scheduler.Ticket{
		ID: fmt.Sprintf("%s-%d-%d", r.id, r.segment, r.tries), Service: "s", Account: account, Share: 1,
		Prompt: size.Prompt, Output: size.Output, PromptBytes: r.part() * bytesPerToken, PrefixHashes: prefix(r),
		Deadline: r.deadline().Add(-later(r)), Exclude: r.exclude,
	}
}

// later is the time to be left for the segments after the present one.
func later(r *request) time.Duration {
	rest := r.prompt - (r.segment+1)*segmentTokens
	if r.lastPart() || rest <= 0 {
		return 0
	}
	perSecond := engineBudget * int(time.Second/engineStep)
	return segmentSlack*router.TokenTime(rest, perSecond) + time.Duration(r.output)*engineStep
}

// segmentSlack is for what delays a segment beside its own prefill.
const segmentSlack = 2

// prefix stands for router.Prefixes: hashes at the same cuts.
func prefix(r *request) []uint64 {
	var out []uint64
	for i := 0; router.PrefixBytes(i) <= r.part()*bytesPerToken; i++ {
		seed := r.family
		if router.PrefixBytes(i) > r.shared*bytesPerToken {
			seed = xxhash.Sum64String(r.id)
		}
		out = append(out, seed*0x9e3779b97f4a7c15+uint64(i))
	}
	return out
}

func (e *entry) enqueue(r *request) {
	t := e.ticket(r)
	e.pending[t] = r
	late := t.Deadline.Sub(e.b.now) - e.scheduler.PredictDuration(t)
	e.scheduler.Enqueue(t)
	e.pump()
	if e.pending[t] == nil {
		return
	}
	e.b.after(max(late, 0), func() {
		if e.scheduler.Abandon(t) {
			delete(e.pending, t)
			e.finish(r, coder.Errorf(coder.Overloaded, "no target was free in time"))
		}
	})
	e.tick()
}

// tick pumps until nothing waits.
func (e *entry) tick() {
	if e.ticking || len(e.pending) == 0 {
		return
	}
	e.ticking = true
	e.b.after(tickEvery, func() {
		e.ticking = false
		e.pump()
		e.tick()
	})
}

func (e *entry) pump() {
	for _, p := range e.scheduler.Dispatch(e.b.now) {
		r := e.pending[p.Ticket]
		delete(e.pending, p.Ticket)
		if p.Err != nil {
			e.finish(r, p.Err)
			continue
		}
		e.reserve(r, p)
	}
}

// attempt is one placement of a request.
type attempt struct {
	e      *entry
	r      *request
	p      scheduler.Placement
	t      *target
	placed time.Time
	done   bool // its prefill is no longer counted
}

func (e *entry) reserve(r *request, p scheduler.Placement) {
	r.tries++
	a := &attempt{e: e, r: r, p: p, placed: e.b.now}
	a.t = e.b.targets[slices.IndexFunc(e.b.targets, func(t *target) bool { return t.info.ID == p.Pick.Target.ID })]
	e.b.net(a.ask)
}

// ask is at the agent.
func (a *attempt) ask() {
	b := a.e.b
	if a.t.down {
		b.net(func() { a.failed(coder.Of(&coder.Error{Code: coder.TargetLost, Run: coder.NotRun})) })
		return
	}
	got, err := a.t.agent.Reserve(b.now, &messenger.Reserve{
		Attempt: a.p.Ticket.ID, Incarnation: a.p.Pick.Target.Incarnation, Prompt: a.p.Ticket.Prompt,
		Output: a.p.Ticket.Output, Priority: a.priority(), Remaining: a.r.deadline().Sub(b.now),
	})
	b.net(func() {
		if err != nil {
			b.result.refusals++
			a.failed(err)
			return
		}
		a.e.scheduler.Report(b.now, a.p.Pick, got.Load)
		b.net(a.run)
	})
}

func (a *attempt) priority() int {
	if a.e.b.Disabled.Priority {
		return 0
	}
	return messenger.Classes - 1 - int(a.r.class)
}

// run is at the agent again.
func (a *attempt) run() {
	b, id := a.e.b, a.p.Ticket.ID
	left := a.r.deadline().Sub(b.now)
	if a.t.down {
		b.net(func() { a.failed(coder.Of(&coder.Error{Code: coder.TargetLost, Run: coder.NotRun})) })
		return
	}
	if _, err := a.t.agent.Run(b.now, &messenger.Run{Attempt: id, Incarnation: a.p.Pick.Target.Incarnation, Remaining: left}); err != nil {
		b.net(func() { a.failed(err) })
		return
	}
	a.t.submit(id, &run{r: a.r, first: a.first, end: a.end}, a.priority(), left)
}

func (a *attempt) first() {
	a.e.b.net(func() {
		if a.r.lastPart() && a.r.first == 0 {
			a.r.first = a.e.since(a.r)
		}
		a.started(a.e.b.now.Sub(a.placed))
	})
}

func (a *attempt) started(after time.Duration) {
	if !a.done {
		a.done = true
		a.e.scheduler.PrefillDone(a.p.Ticket, a.p.Pick, after)
	}
}

func (a *attempt) end(u messenger.Usage, err error) {
	b := a.e.b
	var l messenger.Load
	if !a.t.down {
		a.t.agent.End(b.now, a.p.Ticket.ID, outcome(u, err))
		l = a.t.load()
	}
	b.net(func() {
		a.e.scheduler.Report(b.now, a.p.Pick, l)
		if err != nil {
			a.failed(err)
			return
		}
		a.started(0)
		a.e.measurer.RecordUsage("m", a.r.part()*bytesPerToken, u)
		a.e.next(a.r)
		a.e.pump()
	})
}

// next goes on with the following segment, or ends the request.
func (e *entry) next(r *request) {
	if r.lastPart() {
		e.finish(r, nil)
		return
	}
	r.segment++
	e.enqueue(r)
}

// failed is at the entry.
func (a *attempt) failed(err error) {
	a.started(0)
	c, b, r := coder.Of(err), a.e.b, a.r
	wait := c.Retry
	if c.Code == coder.TargetLost {
		wait = aside
	}
	a.e.scheduler.Router.Refused(a.p.Pick.Target.ID, b.now.Add(max(wait, tickEvery)))
	if c.Run == coder.NotRun && c.Code != coder.TargetLost {
		a.e.enqueue(r)
		return
	}
	delay, err := a.e.retrier.Retry(retrier.Failure{Service: "s", Err: err, Attempts: r.tries, Remaining: r.deadline().Sub(b.now)})
	if err != nil {
		a.e.finish(r, err)
		return
	}
	r.exclude = append(r.exclude, a.p.Pick.Target.ID)
	b.after(delay, func() { a.e.enqueue(r) })
}

func (e *entry) since(r *request) time.Duration { return e.b.now.Sub(start.Add(r.at)) }

func (e *entry) finish(r *request, err error) {
	r.done, r.err, r.took = true, err, e.since(r)
	e.b.left--
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
