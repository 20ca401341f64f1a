package conductor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/ticketer"
)

const (
	// leastSilence is half of the shortest silence after which callers of the users'
	// platform give a stream up, so that another target has the other half.
	leastSilence = time.Second
	// silentAims and silentGaps are parts of what those callers bear: four times the
	// aim before the first event, eight times the pause between two.
	silentAims = 3
	silentGaps = 4
)

// running is one request from its queue to the end of its answer.
type running struct {
	cd      *Conductor
	r       *chainer.Request
	ticket  *scheduler.Ticket
	exclude []string
	tries   int
	last    time.Time // of the last chunk
	gaps    metrics.Histogram
	begun   bool         // the first chunk of any attempt came
	failed  *coder.Error // of the last attempt that may have run
	losses  int          // targets lost while the request ran there
	refused int          // attempts that did not run
	fault   string       // of the last attempt, see Attempt.Fault
	alive   bool         // the target of the last attempt, see Attempt.Alive
	paid    atomic.Bool  // the retry after this attempt was reserved
}

// run queues a request, has attempts made and passes the answer on.
func (cd *Conductor) run(ctx context.Context, r *chainer.Request) error {
	if r.Gang {
		return cd.runGang(ctx, r)
	}
	x := &running{cd: cd, r: r}
	defer x.endRisk()
	for {
		pick, err := x.place(ctx)
		if err != nil {
			return x.outcome(err)
		}
		x.tries++
		x.r.Trace.Tries, x.r.Trace.Target, x.r.Trace.Helpers, x.r.Trace.Busy = x.tries, pick.Target.ID, len(pick.Helpers), pick.Running
		err = x.attempt(ctx, pick)
		x.endRisk()
		if err == nil {
			return nil
		}
		if c := coder.Of(err); c.Run != coder.NotRun {
			x.failed = c
		}
		if err := x.again(ctx, pick, err); err != nil {
			return x.outcome(err)
		}
	}
}

// outcome returns what the caller is told. Nothing that follows an attempt which
// may have run says that the request did not run.
func (x *running) outcome(err error) error {
	if x.failed == nil || coder.Of(err).Run != coder.NotRun {
		return err
	}
	if coder.Of(err).Code == coder.NoTarget {
		return x.failed
	}
	e := *coder.Of(err)
	e.Run = x.failed.Run
	return &e
}

// place waits for a target until it is too late to finish in time.
func (x *running) place(ctx context.Context) (router.Pick, error) {
	x.ticket = ticket(x.r, x.exclude)
	need := x.cd.control.needs(x.ticket)
	bound, stop := context.WithTimeoutCause(ctx, x.left()-need, errTooLate)
	defer stop()
	since := x.cd.cfg.Now()
	placed := x.cd.control.enqueue(x.ticket, x.losses > 0)
	defer func() { x.r.Trace.Queued += x.cd.cfg.Now().Sub(since) }()
	select {
	case p := <-placed:
		return p.Pick, p.Err
	case <-bound.Done():
		x.cd.control.abandon(x.ticket, placed)
		return router.Pick{}, x.unplaced(bound)
	}
}

var errTooLate = coder.Errorf(coder.Overloaded, "no target was free in time")

func (x *running) unplaced(ctx context.Context) error {
	cause := context.Cause(ctx)
	e := *coder.Of(cause)
	switch {
	case cause == errTooLate:
		e.Retry = x.cd.control.backoff(x.ticket)
	case cause == context.DeadlineExceeded:
		e = *coder.Errorf(coder.DeadlineExceeded, "")
	case cause == context.Canceled:
		e = *coder.Errorf(coder.Cancelled, "")
	}
	e.Run = coder.NotRun
	return &e
}

func (x *running) left() time.Duration { return x.r.Deadline.Sub(x.cd.cfg.Now()) }

// Attempt is one run of a request at a target.
type Attempt struct {
	ID      string
	Request *chainer.Request
	Target  messenger.Target
	Helpers []messenger.Target // that read a part of the prompt
	Left    time.Duration      // until the request's deadline
	Tickets []string           // memory set aside at each helper; empty for none
	Begins  time.Duration      // without a piece of the answer after which the target is given up; zero for never
	Silence time.Duration      // between two pieces after which it is given up; zero for never
	After   string             // id of the last event that the caller has; empty to begin with the first
	Emit    func(messenger.Chunk) error
	Load    func(messenger.Load) // reports that came with the answer
	Again   func(error) bool     // whether another target is tried after such a failure; then the attempt has to end

	Alive bool   // set if the target was lost while the request ran there, and still takes connections
	Fault string // set by a refusal that names the target it is about, by id or address
}

// attempt runs the request at one target.
func (x *running) attempt(ctx context.Context, pick router.Pick) error {
	if !x.r.Answer.Begin() {
		return coder.Errorf(coder.Internal, "second answer")
	}
	counted, placed := true, x.cd.cfg.Now()
	started := func(after time.Duration) {
		if counted {
			counted = false
			x.cd.control.started(x.ticket, pick, after)
		}
	}
	defer x.cd.control.ended(x.ticket, pick)
	defer started(0)
	a := &Attempt{
		ID: fmt.Sprintf("%s-%d", x.r.ID, x.tries), Request: x.r, Target: pick.Target, Helpers: pick.Helpers,
		Left: x.left(), After: x.r.After,
		Emit: func(c messenger.Chunk) error {
			started(x.cd.cfg.Now().Sub(placed))
			x.time()
			return x.r.Answer.Chunk(c)
		},
		Load: func(l messenger.Load) { x.cd.control.report(pick, l) },
		Again: func(err error) bool {
			ok := x.cd.control.reserve(x.failure(err))
			x.paid.Store(ok)
			return ok
		},
	}
	a.Begins, a.Silence = x.silence()
	if x.r.Answer.Last != nil && x.r.Answer.Last() != "" {
		a.After = x.r.Answer.Last()
	}
	x.fault, x.alive = "", false
	free, err := x.setAside(ctx, a, pick)
	if err != nil {
		return err
	}
	defer free()
	end, err := x.exchange(ctx, a)
	x.fault, x.alive = a.Fault, a.Alive
	if err != nil {
		return err
	}
	x.cd.meter.slowdown(x.r, x.cd.cfg.Now().Sub(x.r.Arrived), x.alone(pick, end.Usage))
	return x.r.Answer.End(end)
}

// silence returns how long a target may say nothing, before its answer and within
// it. Connections may go silent for good without a reset. Only a stream that
// another target can go on with is given up.
func (x *running) silence() (begins, within time.Duration) {
	v := x.r.Via
	if v == nil || !v.Resume {
		return 0, 0
	}
	read := predictor.Predictor{Engine: x.r.Spec.Engine}.Prefill(x.r.Prompt, 1)
	return max(leastSilence, silentAims*seconds(v.Aim, 0)) + read, max(leastSilence, silentGaps*seconds(v.Gap, 0))
}

// setAside has helpers set memory aside, and returns the function that gives it back.
func (x *running) setAside(ctx context.Context, a *Attempt, pick router.Pick) (func(), error) {
	var tickets []ticketer.Ticket
	a.Tickets = make([]string, len(pick.Helpers))
	for i, n := range pick.HelperMemory {
		if n > 0 {
			a.Tickets[i] = fmt.Sprintf("%s.%d", a.ID, i)
			tickets = append(tickets, ticketer.Ticket{ID: a.Tickets[i], Target: pick.Helpers[i], Tokens: n})
		}
	}
	if len(tickets) == 0 {
		return func() {}, nil
	}
	return x.cd.cfg.Tickets.Take(ctx, tickets)
}

// exchange runs an attempt, through the target's agent unless the deployment has
// another way.
func (x *running) exchange(ctx context.Context, a *Attempt) (messenger.End, error) {
	if x.cd.cfg.Exchange != nil {
		return messenger.End{Attempt: a.ID}, x.cd.cfg.Exchange(ctx, a)
	}
	return x.cd.dispatch.Do(ctx, x.job(a))
}

func (x *running) job(a *Attempt) dispatcher.Job {
	return dispatcher.Job{
		Address: a.Target.Address,
		Reserve: messenger.Reserve{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Account: x.r.Account,
			Prompt: x.r.Prompt, Output: x.r.Output, Priority: priority(x.r),
			Remaining: a.Left, Fingerprint: x.r.Fingerprint, Key: x.r.Key, Batch: x.r.Batch,
		},
		Run: messenger.Run{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Remaining: a.Left,
			Method: x.r.Method, Path: x.r.Path, Headers: x.r.Headers, Body: x.r.Body,
		},
		Before: func(ctx context.Context) error { return x.claim(ctx, a.Target.ID) },
		Load:   a.Load,
		Emit:   a.Emit,
	}
}

// priority puts short prompts before long ones of the same configured priority.
func priority(r *chainer.Request) int {
	return r.Priority*messenger.Classes + messenger.Classes - 1 - int(r.Class)
}

// claim records the start of a request that is not idempotent.
func (x *running) claim(ctx context.Context, target string) error {
	if !x.r.Once {
		return nil
	}
	return x.cd.claims.Run(ctx, claimOf(x.r), target)
}

// time takes the histograms' samples.
func (x *running) time() {
	now := x.cd.cfg.Now()
	if !x.begun {
		x.begun = true
		x.gaps = x.cd.meter.between(x.r)
		x.r.Trace.First = now.Sub(x.r.Arrived)
		x.cd.meter.first(x.r, x.r.Trace.First)
	} else {
		x.gaps.Update(now.Sub(x.last).Microseconds())
		x.r.Trace.Gap = max(x.r.Trace.Gap, now.Sub(x.last))
	}
	x.last = now
}

// alone is the time that the request would take on an idle target.
func (x *running) alone(pick router.Pick, u messenger.Usage) time.Duration {
	if x.r.Model == "" {
		return 0
	}
	return router.TokenTime(u.Prompt-u.Cached, pick.PrefillRate) + router.TokenTime(u.Output, pick.DecodeRate)
}

func (x *running) endRisk() {
	if x.losses > 0 {
		x.cd.control.endRisk(x.r.ID)
	}
}
