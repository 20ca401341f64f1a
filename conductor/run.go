package conductor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// execution is one request from its queue to the end of its answer, over all its
// attempts. At most two of these run at a time: the current one and a hedge.
type execution struct {
	cd *Conductor
	r  *chainer.Request
	wg conc.WaitGroup // of hedges

	mu          sync.Mutex // guards the fields below, r.Answer and r.Trace
	current     *attempt
	hedge       *attempt  // nil if there is none
	lost        *attempt  // a hedge that has been cancelled and not ended; nil if there is none
	owner       *attempt  // produced the last chunk
	exclude     []string  // targets of attempts that failed
	addresses   []string  // of the targets of all attempts
	created     int       // attempts, whether placed or not
	attempts    int       // that were sent
	placements  int       // attempts, and placements of which nothing was sent
	lastChunk   time.Time // when the last chunk arrived
	gaps        metrics.Histogram
	gotChunk    bool         // an attempt has produced a chunk
	goneOn      bool         // the answer of an attempt went on after its start
	lastFailure *coder.Error // of the last attempt that may have run
	targetsLost int          // targets lost while they ran the request
	refusals    int          // attempts that did not run
}

// run queues a request, makes attempts at targets and passes the answer on to the
// caller.
func (cd *Conductor) run(ctx context.Context, r *chainer.Request) error {
	if r.Gang {
		err := cd.runGang(ctx, r)
		cd.control.chargeGang(r, err)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	x := &execution{cd: cd, r: r}
	defer x.wg.Wait() // the answer must not be written to after this function has returned
	defer cancel()
	for {
		a, err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		if !a.placed {
			return x.outcome(err)
		}
		if err == errTargetHeld {
			continue
		}
		if err := x.prepareRetry(ctx, a, err); err != nil {
			return x.outcome(err)
		}
	}
}

// attempt makes an attempt. If that fails while a hedge runs, the hedge becomes the
// current attempt. It returns the attempt that ended last, and its error.
func (x *execution) attempt(ctx context.Context) (*attempt, error) {
	x.mu.Lock()
	a := x.newAttempt(ctx, x.exclude)
	x.current = a
	x.mu.Unlock()
	err := a.run()
	for err != nil {
		err = x.recordFailure(a, err)
		h := x.promoteHedge(a, err)
		if h == nil {
			break
		}
		a, err = h, <-h.done
	}
	return a, err
}

// recordFailure records what the failure of an attempt says of the request and of the
// target. It returns an error with code Quarantined if the request has lost too many
// targets, else the given one.
func (x *execution) recordFailure(a *attempt, err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.recordFailureLocked(a, err)
}

func (x *execution) recordFailureLocked(a *attempt, err error) error {
	if !a.placed {
		return err
	}
	if coder.Of(err).Code == coder.PartQuarantined { // nothing was sent
		x.attempts--
		x.r.Trace.Attempts = x.attempts
		return err
	}
	if err == errTargetHeld { // nothing was sent
		x.attempts--
		x.r.Trace.Attempts = x.attempts
		x.cd.cfg.Log.WithFields(logrus.Fields{"request": x.r.CallerID, "id": x.r.ID, "target": a.pick.Target.ID}).Info("placed again: target held")
		return err
	}
	c := coder.Of(err)
	x.cd.meter.count(fmt.Sprintf("attempt.%d", c.Code))
	x.traceFailure(c, x.cd.cfg.Now().Sub(a.since))
	if c.Run != coder.NotRun {
		x.lastFailure = c
		if x.r.Trial { // has no hedge that would read it
			x.r.Trial = false
		}
	}
	if x.failedByTarget(a, c) {
		x.cd.control.recordFailure(x.r.CallerID, a.blamedPick(), a.since)
	}
	if c.Code == coder.TargetLost {
		x.cd.control.recordLoss(a.pick)
	}
	if err := x.recordTargetLoss(a, c); err != nil {
		return err
	}
	if !a.superseded && a.request.Err() == nil && c.Run == coder.NotRun && c.Code != coder.Stale && c.Code != coder.Voided {
		x.refusals++
		x.cd.control.avoidTarget(a.blamedPick(), targetBackoff(c))
	}
	return err
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
	x.mu.Lock()
	started := x.gotChunk
	x.mu.Unlock()
	if c := coder.Of(err).Code; !started && (c == coder.Overloaded || c == coder.DeadlineExceeded) {
		x.recordLate()
	}
	if x.lastFailure == nil || coder.Of(err).Run != coder.NotRun {
		return err
	}
	if c := coder.Of(err).Code; c == coder.NoTarget || c == coder.NoRegion {
		return x.lastFailure
	}
	e := *coder.Of(err)
	e.Run = x.lastFailure.Run
	return &e
}

var (
	errNotPlaced  = coder.Errorf(coder.Overloaded, "no target was free in time")
	errNotStarted = coder.Errorf(coder.Silent, "not started while memory was reserved for it")
)

// placementError returns the error of a request whose wait for a target or a retry was
// ended by ctx.
func (x *execution) placementError(ctx context.Context, t *scheduler.Ticket) error {
	cause := context.Cause(ctx)
	e := *coder.Of(cause)
	switch {
	case cause == errNotPlaced:
		e.Retry = x.cd.control.retryAfter(t)
	case cause == context.DeadlineExceeded:
		e = *coder.Errorf(coder.DeadlineExceeded, "")
	case cause == context.Canceled:
		e = *coder.Errorf(coder.Cancelled, "")
	}
	e.Run = coder.NotRun
	return &e
}

func (x *execution) remaining() time.Duration { return x.r.Deadline.Sub(x.cd.cfg.Now()) }

// observeChunk records the time to first token or the inter-token gap of a chunk.
func (x *execution) observeChunk() {
	now := x.cd.cfg.Now()
	if !x.gotChunk {
		x.gotChunk = true
		x.gaps = x.cd.meter.gaps(x.r)
		x.r.Trace.TTFT = now.Sub(x.r.Arrived)
		x.cd.meter.first(x.r, x.r.Trace.TTFT)
		if o := ttftObjective(x.r); o > 0 && x.r.Trace.TTFT > o {
			x.recordLate()
		}
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
