package conductor

import (
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/retrier"
	"bramleyshunt/splitter"
)

var (
	errSilent = coder.Errorf(coder.Silent, "")
	// errSuperseded ends an attempt in whose place another one produces the answer.
	errSuperseded = coder.Errorf(coder.Silent, "another target goes on with the answer")
)

// reportSilence starts a hedge at another target while the target of the current attempt is
// silent. The one of the two that produces the next chunk goes on with the answer, and only
// then the other one is cancelled.
func (a *attempt) reportSilence() {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.current != a || x.hedge != nil || a.superseded || x.lost != nil {
		return
	}
	log := x.cd.cfg.Log.WithFields(logrus.Fields{
		"request": x.r.CallerID, "id": x.r.ID, "target": a.pick.Target.ID, "tries": x.attempts, "answering": a.answering.Load(),
	})
	if err := x.checkHedge(a); err != nil {
		if !a.hedgeRefused {
			a.hedgeRefused = true
			log.WithError(err).Info("target silent, waiting for it")
		}
		return
	}
	if !a.hedged {
		a.hedged = true
		log.Info("target silent, trying another one beside it")
	}
	h := x.newAttempt(a.request, append(slices.Clone(x.exclude), a.pick.Target.ID))
	h.done = make(chan error, 1)
	x.hedge = h
	x.wg.Go(func() {
		err := h.run()
		x.hedgeEnded(h, err)
		h.done <- err
	})
}

// checkHedge returns an error if no other target may be tried beside the current attempt.
func (x *execution) checkHedge(a *attempt) error {
	if err := x.checkTargetLosses(errSilent); err != nil {
		return err
	}
	if x.r.Trial {
		return coder.Errorf(coder.PartQuarantined, "tried once")
	}
	if err := x.cd.cfg.Ready(); err != nil { // this process may not send
		return err
	}
	if err := x.checkPauses(a.pick); err != nil {
		return err
	}
	return x.cd.control.checkRetry(x.hedgeCase())
}

// hedgeCase describes a silent target to the retrier.
func (x *execution) hedgeCase() retrier.Failure {
	k := x.retryCase(errSilent)
	k.AnswerStarted = x.r.Answer.Resumable == nil || !x.r.Answer.Resumable()
	return k
}

// reserveHedge charges a hedge that has been placed to the retry budget.
func (x *execution) reserveHedge(h *attempt) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if h.superseded {
		return errSuperseded
	}
	if !x.cd.control.reserveRetry(x.hedgeCase()) {
		return &coder.Error{Code: coder.RetryBudget, Run: coder.NotRun, Cause: errSilent}
	}
	x.cd.meter.count("retries")
	return nil
}

// hedgeEnded records the failure of a hedge that has neither taken over the answer nor become
// the current attempt. The current attempt may start another one then.
func (x *execution) hedgeEnded(h *attempt, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lost == h {
		x.lost = nil
	}
	if x.hedge != h || x.owner == h || err == nil {
		return
	}
	x.hedge = nil
	log := x.cd.cfg.Log.WithError(err).WithFields(logrus.Fields{"request": x.r.CallerID, "id": x.r.ID})
	if !h.placed {
		if !x.current.hedgeRefused {
			x.current.hedgeRefused = true
			log.Info("no other target for the request of a silent one")
		}
		return
	}
	log.WithField("target", h.pick.Target.ID).Info("other target failed, waiting for the silent one")
	_ = x.recordFailureLocked(h, err)      // the current attempt decides on the outcome
	if coder.Of(err).Code == coder.Stale { // nothing was sent, whatever the target
		x.attempts--
		return
	}
	x.exclude = append(x.exclude, h.blamedPick().Target.ID)
}

// promoteHedge makes the hedge, if there is one, the current attempt in place of one that has
// failed.
func (x *execution) promoteHedge(a *attempt, err error) *attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.hedge
	if h == nil {
		return nil
	}
	if x.owner != h && endsRequest(coder.Of(err).Code) {
		x.supersede(h)
		x.hedge = nil
		return nil
	}
	if a.placed {
		x.exclude = append(x.exclude, a.blamedPick().Target.ID)
		x.cd.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": x.r.CallerID, "id": x.r.ID, "target": a.pick.Target.ID, "taken": x.owner == h,
		}).Info("attempt ended, another one goes on")
	}
	x.current, x.hedge, h.promoted = h, nil, x.cd.cfg.Now()
	if h.sent {
		x.traceTarget(h)
	}
	return h
}

// endsRequest reports whether an attempt that fails with a code ends its request, whatever
// other attempt runs.
func endsRequest(c coder.Code) bool {
	return c == coder.Quarantined || c == coder.PartQuarantined || c == coder.Cancelled
}

func (x *execution) excludeTarget(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.exclude = append(x.exclude, a.blamedPick().Target.ID)
}

// holdChunk holds the chunks of a hedge until they hold a whole event, so that the current
// attempt is not cancelled for a target that does not go on with the answer. It returns the
// chunk to be passed on now, and false if there is none.
func (x *execution) holdChunk(a *attempt, c messenger.Chunk) (messenger.Chunk, bool, error) {
	if a.superseded {
		return c, false, errSuperseded
	}
	if x.owner == a {
		return c, true, nil
	}
	if c.Status == 0 {
		c.Status, c.Headers = a.held.Status, a.held.Headers
	}
	c.Data = append(a.held.Data, c.Data...)
	a.held = messenger.Chunk{}
	if x.hedge != a {
		return c, true, nil
	}
	if c.Status != http.StatusOK {
		return c, false, &coder.Error{Code: coder.EngineFailed, Run: coder.Ran, Text: "other target did not go on with the answer"}
	}
	if x.r.Answer.HasEvent == nil || x.r.Answer.HasEvent(c.Data) {
		return c, true, nil
	}
	if len(c.Data) > splitter.MaxEventSize {
		return c, false, coder.Errorf(coder.EngineFailed, "event without an end")
	}
	a.held = c
	return c, false, nil
}

// passHeld passes on the head that is held of an attempt whose answer has ended without an
// event.
func (x *execution) passHeld(a *attempt) error {
	if a.held.Status == 0 {
		return nil
	}
	c := a.held
	a.held = messenger.Chunk{}
	return x.r.Answer.Chunk(c)
}

// take makes an attempt the owner of the answer. It fails if another attempt has superseded
// it.
func (x *execution) take(a *attempt) error {
	switch {
	case a.superseded:
		return errSuperseded
	case x.owner == a:
		return nil
	case !x.r.Answer.Begin():
		return coder.Errorf(coder.Internal, "an earlier attempt has already sent part of its answer")
	}
	x.owner = a
	x.traceTarget(a)
	if x.hedge == a {
		x.supersede(x.current)
	}
	return nil
}

// keep ends the hedge of an attempt that has produced a part of the answer.
func (x *execution) keep(a *attempt) {
	if x.hedge != nil && x.hedge != a {
		x.supersede(x.hedge)
		x.lost, x.hedge = x.hedge, nil
	}
}

func (x *execution) supersede(a *attempt) {
	a.superseded = true
	a.cancel(errSuperseded)
}
