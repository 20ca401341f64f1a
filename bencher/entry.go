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
	"bramleyshunt/estimator"
	"bramleyshunt/messenger"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

const (
	bytesPerToken    = 4
	unreachableDelay = time.Second // exclusion of a target that can't be reached
)

// entry simulates an entry: the production decision logic without its I/O.
type entry struct {
	b         *Bencher
	scheduler scheduler.Scheduler
	estimator estimator.Estimator
	retrier   retrier.Retrier
	pending   map[*scheduler.Ticket]*request
	ticking   bool        // a tick is scheduled
	rotation  int         // start of the search for a target, used by the baselines
	inFlight  map[int]int // own requests by index of the target, used by LeastOutstanding
}

func newEntry(b *Bencher, i int) *entry {
	seed := b.Seed*entryCount + uint64(i)
	return &entry{
		b: b, pending: map[*scheduler.Ticket]*request{}, inFlight: map[int]int{}, rotation: i,
		retrier: retrier.Retrier{Seed: seed},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: seed},
			Router:   router.Router{Seed: seed, Disabled: b.Disabled.Router, MaxWait: b.MaxWait},
		},
	}
}

// update applies the targets' announcements.
func (e *entry) update(targets []messenger.Target) {
	e.scheduler.Router.Update(e.b.now, targets)
	e.dispatch()
}

// arrive handles a new request. Requests without an ID were omitted from the trace.
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

// ticket returns the scheduler's ticket for the current segment.
func (e *entry) ticket(r *request) *scheduler.Ticket {
	size := e.estimator.Predict("m", configurer.Model{}, r.segmentPrompt()*bytesPerToken, 2*r.output)
	account := fmt.Sprint("a", r.account)
	if e.b.Disabled.Fair {
		account = "all"
	}
	return &scheduler.Ticket{
		ID: fmt.Sprintf("%s-%d-%d", r.id, r.segment, r.attempts), Service: "s", Account: account, Share: 1,
		Prompt: size.Prompt, Output: size.Output, PromptBytes: r.segmentPrompt() * bytesPerToken, PrefixHashes: prefixHashes(r),
		Deadline: r.deadline().Add(-laterSegmentsTime(r)), Exclude: r.exclude,
	}
}

// laterSegmentsTime returns the time to reserve for the segments after the current one.
func laterSegmentsTime(r *request) time.Duration {
	remaining := r.prompt - (r.segment+1)*segmentTokens
	if r.lastSegment() || remaining <= 0 {
		return 0
	}
	perSecond := engineBudget * int(time.Second/engineStep)
	return segmentTimeFactor*router.TokenTime(remaining, perSecond) + time.Duration(r.output)*engineStep
}

// segmentTimeFactor is applied to the prefill time of later segments, to allow for
// delays other than their own prefill.
const segmentTimeFactor = 2

// prefixHashes returns synthetic hashes at the offsets that router.Prefixes uses.
func prefixHashes(r *request) []uint64 {
	var out []uint64
	for i := 0; router.PrefixBytes(i) <= r.segmentPrompt()*bytesPerToken; i++ {
		seed := r.family
		if router.PrefixBytes(i) > r.shared*bytesPerToken {
			seed = xxhash.Sum64String(r.id)
		}
		out = append(out, seed*0x9e3779b97f4a7c15+uint64(i))
	}
	return out
}

// enqueue queues the current segment. The request fails once its deadline can no longer
// be met.
func (e *entry) enqueue(r *request) {
	t := e.ticket(r)
	e.pending[t] = r
	slack := t.Deadline.Sub(e.b.now) - e.scheduler.PredictDuration(t)
	e.scheduler.Enqueue(t)
	e.dispatch()
	if e.pending[t] == nil {
		return
	}
	e.b.after(max(slack, 0), func() {
		if e.scheduler.Abandon(t) {
			delete(e.pending, t)
			e.finish(r, coder.Errorf(coder.Overloaded, "no target was free in time"))
		}
	})
	e.tick()
}

// tick dispatches every tickInterval until no request is pending.
func (e *entry) tick() {
	if e.ticking || len(e.pending) == 0 {
		return
	}
	e.ticking = true
	e.b.after(tickInterval, func() {
		e.ticking = false
		e.dispatch()
		e.tick()
	})
}

// dispatch starts an attempt for each placement of the scheduler.
func (e *entry) dispatch() {
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

// attempt is one attempt to run a segment of a request on a target.
type attempt struct {
	entry           *entry
	request         *request
	placement       scheduler.Placement
	target          *target
	placed          time.Time
	prefillRecorded bool // the scheduler has been notified of the end of prefill
}

// reserve sends the target's agent a reservation for a placed request.
func (e *entry) reserve(r *request, p scheduler.Placement) {
	r.attempts++
	a := &attempt{entry: e, request: r, placement: p, placed: e.b.now}
	a.target = e.b.targets[slices.IndexFunc(e.b.targets, func(t *target) bool { return t.info.ID == p.Pick.Target.ID })]
	e.b.send(a.reserveAtAgent)
}

// reserveAtAgent handles the reservation at the agent and returns the reply to the entry.
func (a *attempt) reserveAtAgent() {
	b := a.entry.b
	if a.target.down {
		b.send(func() { a.handleFailure(coder.Of(&coder.Error{Code: coder.TargetLost, Run: coder.NotRun})) })
		return
	}
	reserved, err := a.target.agent.Reserve(b.now, &messenger.Reserve{
		Attempt: a.placement.Ticket.ID, Incarnation: a.placement.Pick.Target.Incarnation, Prompt: a.placement.Ticket.Prompt,
		Output: a.placement.Ticket.Output, Priority: a.priority(), Remaining: a.request.deadline().Sub(b.now),
	})
	b.send(func() {
		if err != nil {
			b.result.refusals++
			a.handleFailure(err)
			return
		}
		a.entry.scheduler.Report(b.now, a.placement.Pick, reserved.Load)
		b.send(a.runAtAgent)
	})
}

// priority returns the engine priority of the request: higher for shorter classes.
func (a *attempt) priority() int {
	if a.entry.b.Disabled.Priority {
		return 0
	}
	return messenger.Classes - 1 - int(a.request.class)
}

// runAtAgent handles the run order at the agent and submits the attempt to the engine.
func (a *attempt) runAtAgent() {
	b, id := a.entry.b, a.placement.Ticket.ID
	remaining := a.request.deadline().Sub(b.now)
	if a.target.down {
		b.send(func() { a.handleFailure(coder.Of(&coder.Error{Code: coder.TargetLost, Run: coder.NotRun})) })
		return
	}
	if _, err := a.target.agent.Run(b.now, &messenger.Run{Attempt: id, Incarnation: a.placement.Pick.Target.Incarnation, Remaining: remaining}); err != nil {
		b.send(func() { a.handleFailure(err) })
		return
	}
	a.target.submit(id, &run{request: a.request, onFirst: a.onFirst, onEnd: a.onEnd}, a.priority(), remaining)
}

// onFirst notifies the entry of the first token.
func (a *attempt) onFirst() {
	a.entry.b.send(func() {
		if a.request.lastSegment() && a.request.ttft == 0 {
			a.request.ttft = a.entry.elapsed(a.request)
		}
		a.recordPrefill(a.entry.b.now.Sub(a.placed))
	})
}

// recordPrefill notifies the scheduler once of the end of prefill, with the time since
// placement, or zero if the attempt ended without a first token.
func (a *attempt) recordPrefill(after time.Duration) {
	if !a.prefillRecorded {
		a.prefillRecorded = true
		a.entry.scheduler.PrefillDone(a.placement.Ticket, a.placement.Pick, after)
	}
}

// onEnd releases the reservation at the agent and reports the end to the entry.
func (a *attempt) onEnd(u messenger.Usage, err error) {
	b := a.entry.b
	var l messenger.Load
	if !a.target.down {
		a.target.agent.End(b.now, a.placement.Ticket.ID, outcome(u, err))
		l = a.target.load()
	}
	b.send(func() {
		a.entry.scheduler.Report(b.now, a.placement.Pick, l)
		if err != nil {
			a.handleFailure(err)
			return
		}
		a.recordPrefill(0)
		a.recordCached(u)
		a.entry.estimator.RecordUsage("m", a.request.segmentPrompt()*bytesPerToken, u)
		a.entry.nextSegment(a.request)
		a.entry.dispatch()
	})
}

// nextSegment enqueues the next segment, or finishes the request after the last one.
func (e *entry) nextSegment(r *request) {
	if r.lastSegment() {
		e.finish(r, nil)
		return
	}
	r.segment++
	e.enqueue(r)
}

// handleFailure handles a failed attempt at the entry. Refusals of attempts that have not
// run are requeued; other failures, a lost target among them, go through the retrier.
func (a *attempt) handleFailure(err error) {
	a.recordPrefill(0)
	c, b, r := coder.Of(err), a.entry.b, a.request
	wait := c.Retry
	if c.Code == coder.TargetLost {
		wait = unreachableDelay
	}
	a.entry.scheduler.Router.Refused(a.placement.Pick.Target.ID, b.now.Add(max(wait, tickInterval)))
	if c.Run == coder.NotRun && c.Code != coder.TargetLost {
		a.entry.enqueue(r)
		return
	}
	delay, err := a.entry.retrier.Retry(b.now, retrier.Failure{Service: "s", Err: err, Attempts: r.attempts, Remaining: r.deadline().Sub(b.now)})
	if err != nil {
		a.entry.finish(r, err)
		return
	}
	r.exclude = append(r.exclude, a.placement.Pick.Target.ID)
	b.after(delay, func() { a.entry.enqueue(r) })
}

// elapsed returns the time since the request arrived.
func (e *entry) elapsed(r *request) time.Duration { return e.b.now.Sub(start.Add(r.at)) }

func (e *entry) finish(r *request, err error) {
	r.done, r.err, r.took = true, err, e.elapsed(r)
	e.b.unfinished--
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
