package conductor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/allocator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/switcher"
)

const (
	// minTimeout is half of the shortest time without data after which callers of the
	// users' platform (see package platform) abandon a stream. The other half is left to
	// another target.
	minTimeout = time.Second
	// firstTimeoutObjectives and idleTimeoutGaps are multiples of the time-to-first-token
	// objective and of the allowed inter-token gap of a path. They stay below what the
	// same callers tolerate: four times the objective before the first event, and eight
	// times the gap between two events.
	firstTimeoutObjectives = 3
	idleTimeoutGaps        = 4
)

// execution is one request from its queue to the end of its answer, over all its
// attempts.
type execution struct {
	cd            *Conductor
	r             *chainer.Request
	ticket        *scheduler.Ticket
	exclude       []string
	attempts      int
	placements    int       // attempts, and placements of which nothing was sent
	addresses     []string  // of the targets of all attempts
	lastChunk     time.Time // when the last chunk arrived
	gaps          metrics.Histogram
	gotChunk      bool              // an attempt has produced a chunk
	lastFailure   *coder.Error      // of the last attempt that may have run
	targetsLost   int               // targets lost while they ran the request
	refusals      int               // attempts that did not run
	blamedHelper  *messenger.Target // of the last attempt, see Attempt.BlamedHelper
	targetAlive   bool              // of the last attempt, see Attempt.TargetAlive
	retryReserved atomic.Bool       // the retry after the current attempt is reserved
	answering     atomic.Bool       // the current attempt has produced a chunk
	sent          time.Time         // when the last attempt was made
	status        int               // HTTP status of the last attempt's answer, zero if none
	goneOn        bool              // the answer of an attempt went on after its start
}

// run queues a request, makes attempts at targets and passes the answer on to the
// caller.
func (cd *Conductor) run(ctx context.Context, r *chainer.Request) error {
	if r.Gang {
		return cd.runGang(ctx, r)
	}
	x := &execution{cd: cd, r: r}
	defer x.clearSuspect()
	for {
		pick, err := x.place(ctx)
		if err != nil {
			return x.outcome(err)
		}
		x.attempts++
		x.placements++
		x.r.Trace.Attempts, x.r.Trace.Target, x.r.Trace.Helpers, x.r.Trace.TargetRequests = x.attempts, pick.Target.ID, len(pick.Helpers), pick.Running
		since := x.cd.cfg.Now()
		err = x.attempt(ctx, pick)
		x.clearSuspect()
		if err == nil {
			return nil
		}
		if x.notSent(pick, err) {
			if err != errTargetHeld {
				return x.outcome(err)
			}
			continue
		}
		x.traceFailure(coder.Of(err), x.cd.cfg.Now().Sub(since))
		if c := coder.Of(err); c.Run != coder.NotRun {
			x.lastFailure, x.r.Trial = c, false
		}
		if err := x.prepareRetry(ctx, pick, err); err != nil {
			return x.outcome(err)
		}
	}
}

// notSent reports whether an attempt ended before its request was sent, and if so no longer
// counts it.
func (x *execution) notSent(pick router.Pick, err error) bool {
	if err != errTargetHeld && coder.Of(err).Code != coder.PartQuarantined {
		return false
	}
	x.attempts--
	x.r.Trace.Attempts = x.attempts
	if err == errTargetHeld {
		x.cd.cfg.Log.WithFields(logrus.Fields{"request": x.r.CallerID, "id": x.r.ID, "target": pick.Target.ID}).Info("placed again: target held")
	}
	return true
}

// traceFailure adds the time of an attempt that failed before the first chunk to the
// trace, by the kind of failure.
func (x *execution) traceFailure(c *coder.Error, took time.Duration) {
	t := &x.r.Trace
	switch {
	case x.gotChunk:
	case c.Code == coder.Silent:
		t.Silence += took
	case c.Run == coder.NotRun:
		t.Refusal += took
	default:
		t.Cut += took
	}
}

// outcome returns the error to report to the caller. After an attempt that may have
// run, it never states that the request did not run.
func (x *execution) outcome(err error) error {
	if x.lastFailure == nil || coder.Of(err).Run != coder.NotRun {
		return err
	}
	if coder.Of(err).Code == coder.NoTarget {
		return x.lastFailure
	}
	e := *coder.Of(err)
	e.Run = x.lastFailure.Run
	return &e
}

// place waits for a target until the request can no longer finish by its deadline.
func (x *execution) place(ctx context.Context) (router.Pick, error) {
	x.ticket = newTicket(x.r, x.exclude)
	need := x.cd.control.serviceTime(x.ticket)
	bound, stop := context.WithTimeoutCause(ctx, x.remaining()-need, errNotPlaced)
	defer stop()
	since := x.cd.cfg.Now()
	placed := x.cd.control.enqueue(x.ticket, x.targetsLost > 0)
	defer func() { x.r.Trace.Queued += x.cd.cfg.Now().Sub(since) }()
	for {
		changed := x.cd.parts.listChanged()
		if err := x.cd.checkParts(x.r); err != nil {
			x.cd.control.abandon(x.ticket, placed)
			return router.Pick{}, err
		}
		select {
		case p := <-placed:
			return p.Pick, p.Err
		case <-changed:
		case <-bound.Done():
			x.cd.control.abandon(x.ticket, placed)
			return router.Pick{}, x.placementError(bound)
		}
	}
}

var (
	errNotPlaced  = coder.Errorf(coder.Overloaded, "no target was free in time")
	errNotStarted = coder.Errorf(coder.Silent, "not started while memory was reserved for it")
)

// placementError returns the error of a request whose wait for a target or a retry was
// ended by ctx.
func (x *execution) placementError(ctx context.Context) error {
	cause := context.Cause(ctx)
	e := *coder.Of(cause)
	switch {
	case cause == errNotPlaced:
		e.Retry = x.cd.control.retryAfter(x.ticket)
	case cause == context.DeadlineExceeded:
		e = *coder.Errorf(coder.DeadlineExceeded, "")
	case cause == context.Canceled:
		e = *coder.Errorf(coder.Cancelled, "")
	}
	e.Run = coder.NotRun
	return &e
}

func (x *execution) remaining() time.Duration { return x.r.Deadline.Sub(x.cd.cfg.Now()) }

// Attempt is one run of a request at a target.
type Attempt struct {
	ID             string
	Request        *chainer.Request
	Target         messenger.Target
	Repeated       bool               // an earlier attempt of the request was sent to the target's address
	Helpers        []messenger.Target // each prefills a part of the prompt
	Remaining      time.Duration      // time until the request's deadline
	ReservationIDs []string           // IDs of the memory reservations, one per helper; an empty ID means no reservation
	FirstTimeout   time.Duration      // bounds the wait for the first chunk of the answer, after which the target is abandoned; zero for no bound
	IdleTimeout    time.Duration      // bounds the wait between two chunks of the answer likewise; zero for no bound
	LastEventID    string             // last event of the stream that the caller has received; empty to start with the first
	Emit           func(messenger.Chunk) error
	ReportLoad     func(messenger.Load) // receives load reports that came with the answer
	ReportLimit    func(float64)        // receives the rate limit that the target named in its answer, in requests per second; zero if none
	ReportLeaving  func()               // called if the target said in its answer that it leaves
	ReportPause    func(time.Duration)  // receives how long the target wants no requests from this process, as its refusal asked
	ReserveRetry   func(error) bool     // reports whether a retry at another target is reserved after this failure; if so, the attempt must end

	TargetAlive  bool   // set if the target was lost while it ran the request but still accepts connections
	BlamedTarget string // ID or address of the target that a refusal names as its cause
}

// BlamedHelper returns the helper that a refusal names as its cause, nil if it names none.
func (a *Attempt) BlamedHelper() *messenger.Target {
	for i, t := range a.Helpers {
		if a.BlamedTarget != "" && (t.ID == a.BlamedTarget || t.Address == a.BlamedTarget) {
			return &a.Helpers[i]
		}
	}
	return nil
}

// attempt runs the request once, at the picked target.
func (x *execution) attempt(ctx context.Context, pick router.Pick) error {
	if !x.r.Answer.Begin() {
		return coder.Errorf(coder.Internal, "an earlier attempt has already sent part of its answer")
	}
	prefilling, placed := true, x.cd.cfg.Now()
	x.r.Trace.Prefill = x.ticket.Prefill / time.Duration(1+len(pick.Helpers))
	started := func(after time.Duration) {
		if prefilling {
			prefilling = false
			x.cd.control.prefillEnded(x.ticket, pick, after)
		}
	}
	defer x.cd.control.requestEnded(x.ticket, pick)
	defer started(0)
	a := x.newAttempt(pick, placed, started)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release, err := x.reserveHelpers(ctx, a, pick, func() bool {
		if x.answering.Load() {
			return false
		}
		cancel(errNotStarted)
		return true
	})
	if err != nil {
		return err
	}
	defer release()
	if err := x.checkSend(pick); err != nil {
		return err
	}
	x.sent, x.status = x.cd.cfg.Now(), 0
	end, err := x.exchange(ctx, a)
	x.blamedHelper, x.targetAlive = a.BlamedHelper(), a.TargetAlive
	if err != nil {
		return err
	}
	x.cd.meter.slowdown(x.r, x.cd.cfg.Now().Sub(x.r.Arrived), x.unloadedDuration(pick, end.Usage))
	if err := x.r.Answer.End(end); err != nil {
		return err
	}
	x.recordGoneOn()
	return nil
}

// checkSend returns the error to end an attempt with before its request is sent, if that
// must not be sent any more: reserving memory at the helpers takes time.
func (x *execution) checkSend(pick router.Pick) error {
	if len(pick.Helpers) > 0 {
		if err := x.cd.control.checkHolds(pick); err != nil {
			return err
		}
	}
	return x.cd.checkParts(x.r)
}

// timeouts returns how long a target may send nothing before its answer and within it,
// zero for no bound. A connection can stall permanently without being reset. Only
// streams that another target can resume are bounded.
func (x *execution) timeouts() (first, idle time.Duration) {
	path := x.r.PathConfig
	if path == nil || !path.Resume || x.cd.cfg.Disabled.Off(switcher.GiveUpSilent) {
		return 0, 0
	}
	prefill := predictor.Predictor{Engine: x.r.Spec.Engine}.Prefill(x.r.Prompt, 1)
	return max(minTimeout, firstTimeoutObjectives*seconds(path.Objective, 0)) + prefill, max(minTimeout, idleTimeoutGaps*seconds(path.Gap, 0))
}

// reserveHelpers reserves memory at the helpers and returns a function that releases
// it. giveUp is called if the target has not started the request within the time for
// which the helpers may keep unused memory reserved.
func (x *execution) reserveHelpers(ctx context.Context, a *Attempt, pick router.Pick, giveUp func() bool) (func(), error) {
	var reservations []allocator.Reservation
	a.ReservationIDs = make([]string, len(pick.Helpers))
	for i, n := range pick.HelperMemory {
		if n > 0 {
			a.ReservationIDs[i] = fmt.Sprintf("%s.%d", a.ID, i)
			reservations = append(reservations, allocator.Reservation{ID: a.ReservationIDs[i], Target: pick.Helpers[i], Tokens: n})
		}
	}
	if len(reservations) == 0 {
		return func() {}, nil
	}
	return x.cd.cfg.Allocator.ReserveAll(ctx, reservations, giveUp)
}

// exchange runs an attempt through Config.Exchange if that is set, else through the
// target's agent.
func (x *execution) exchange(ctx context.Context, a *Attempt) (messenger.End, error) {
	if x.cd.cfg.Exchange != nil {
		return messenger.End{Attempt: a.ID}, x.cd.cfg.Exchange(ctx, a)
	}
	return x.cd.dispatch.Do(ctx, x.job(a))
}

func (x *execution) job(a *Attempt) dispatcher.Job {
	return dispatcher.Job{
		Address: a.Target.Address,
		Reserve: messenger.Reserve{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Account: x.r.Account,
			Prompt: x.r.Prompt, Output: x.r.Output, Priority: priority(x.r),
			Remaining: a.Remaining, Fingerprint: x.r.Fingerprint, Key: x.r.Key, Batch: x.r.Batch,
		},
		Run: messenger.Run{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Remaining: a.Remaining,
			Method: x.r.Method, Path: x.r.Path, Headers: x.r.Headers, Body: x.r.Body,
		},
		BeforeRun: func(ctx context.Context) error { return x.claim(ctx, a.Target.ID) },
		OnLoad:    a.ReportLoad,
		OnChunk:   a.Emit,
	}
}

// priority ranks short prompts before long ones of the same configured priority.
func priority(r *chainer.Request) int {
	return r.Priority*messenger.Classes + messenger.Classes - 1 - int(r.Class)
}

// claim records with the keepers that a non-idempotent request starts to run.
func (x *execution) claim(ctx context.Context, target string) error {
	if !x.r.NonIdempotent {
		return nil
	}
	return x.cd.claims.Run(ctx, claimOf(x.r), target)
}

// observeChunk records the time to first token or the inter-token gap of a chunk.
func (x *execution) observeChunk() {
	now := x.cd.cfg.Now()
	if !x.gotChunk {
		x.gotChunk = true
		x.gaps = x.cd.meter.gaps(x.r)
		x.r.Trace.TTFT = now.Sub(x.r.Arrived)
		x.cd.meter.first(x.r, x.r.Trace.TTFT)
	} else {
		x.gaps.Update(now.Sub(x.lastChunk).Microseconds())
		x.r.Trace.MaxGap = max(x.r.Trace.MaxGap, now.Sub(x.lastChunk))
	}
	x.lastChunk = now
}

// unloadedDuration returns the time that the request would take on an idle target,
// zero for a plain call.
func (x *execution) unloadedDuration(pick router.Pick, u messenger.Usage) time.Duration {
	if x.r.Model == "" {
		return 0
	}
	return router.TokenTime(u.Prompt-u.Cached, pick.PrefillRate) + router.TokenTime(u.Output, pick.DecodeRate)
}

func (x *execution) clearSuspect() {
	if x.targetsLost > 0 {
		x.cd.control.clearSuspect(x.r.ID)
	}
}
