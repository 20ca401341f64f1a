package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/reserver"
)

const (
	// cancelTimeout bounds the call that frees an attempt at the engine.
	// Reconciliation frees the attempts for which the call fails.
	cancelTimeout = 2 * time.Second
	// maxResumes bounds how often a run resumes a lost engine stream.
	maxResumes = 3
	// answerRetention and maxKeptBytes bound the answers kept for a resume.
	answerRetention = 10 * time.Second
	maxKeptBytes    = 32 << 20
)

// run starts an attempt, unless it was started before, and follows it.
func (a *Agent) run(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Run
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var at *attempt
	var err error
	if stopped := a.onControl(func(now time.Time) { at, err = a.start(now, &m) }); stopped != nil {
		err = stopped
	}
	if err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	return a.follow(ctx, s, at, 0)
}

// start returns the attempt of m and starts it if it is new. It runs on the
// control goroutine.
func (a *Agent) start(now time.Time, m *messenger.Run) (*attempt, error) {
	started, err := a.reserver.Run(now, m)
	if err != nil {
		return nil, err
	}
	if !started {
		a.count("doubled")
		return a.find(m.Attempt, m.Incarnation)
	}
	a.count("ran")
	at := newAttempt(a.ctx, m.Attempt, a.reserver.Deadline(m.Attempt), a.cfg.Now)
	at.hold = m.Prefill
	a.attempts[m.Attempt] = at
	priority := a.reserver.Priority(m.Attempt)
	deadline := a.reserver.Deadline(m.Attempt)
	a.wg.Go(func() { a.runAttempt(at, m, priority, deadline) })
	return at, nil
}

// find returns an attempt whose answer is kept. It runs on the control goroutine.
func (a *Agent) find(id string, incarnation uint64) (*attempt, error) {
	if at := a.attempts[id]; at != nil {
		return at, nil
	}
	if a.reserver.Phase(id) == reserver.Ended || a.reserver.Phase(id) == reserver.Holding {
		return nil, coder.Errorf(coder.AlreadyRan, "attempt %s: its answer is not kept", id)
	}
	code := coder.UnknownAttempt
	if incarnation != a.reserver.Incarnation {
		code = coder.WrongIncarnation
	}
	e := coder.Errorf(code, "attempt %s", id)
	e.Run = coder.Unknown
	return nil, e
}

// resume follows an attempt that was started over a connection since lost.
func (a *Agent) resume(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Resume
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var at *attempt
	var err error
	if stopped := a.onControl(func(time.Time) { at, err = a.find(m.Attempt, m.Incarnation) }); stopped != nil {
		err = stopped
	}
	if err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	a.count("resumed")
	return a.follow(ctx, s, at, m.Seq)
}

// runAttempt executes an attempt at the target and records its outcome.
func (a *Agent) runAttempt(at *attempt, m *messenger.Run, priority int, deadline time.Time) {
	var end messenger.End
	var err error
	if a.isPlain() {
		err = a.runCall(at, m, deadline)
	} else {
		end, err = a.runPrompt(at, m, priority, deadline)
	}
	end, err = at.decide(end, at.codedError(err), a.cfg.Now())
	if err != nil {
		// Readers receive the failure at once, whereas the reservation's memory
		// becomes free only after the call that frees the engine.
		at.publish()
		a.freeEngine(at.id)
	}
	_ = a.onControl(func(now time.Time) { a.recordEnd(now, at, end, err) })
	at.publish()
	at.cancel(nil)
}

// codedError returns the reason why a run failed. The cause that cancelled the attempt
// takes precedence over the target's error.
func (at *attempt) codedError(err error) error {
	if err == nil {
		return nil
	}
	e := *coder.Of(err)
	var cause *coder.Error
	if errors.As(context.Cause(at.ctx), &cause) {
		e = *cause
	}
	if e.Run == coder.Unknown && at.lastSeq() > 0 {
		e.Run = coder.Ran
	}
	return &e
}

func (a *Agent) isPlain() bool { return a.cfg.Settings.Target.Kind == kindPlain }

// runCall sends a call to a plain service.
func (a *Agent) runCall(at *attempt, m *messenger.Run, deadline time.Time) error {
	r := *m
	r.Remaining = deadline.Sub(a.cfg.Now())
	return a.engine.Call(at.ctx, r, func(c messenger.Chunk) error {
		a.recordFirst(at)
		return at.append(c)
	})
}

// runPrompt runs a prompt at the engine and resumes a lost stream up to maxResumes
// times.
func (a *Agent) runPrompt(at *attempt, m *messenger.Run, priority int, deadline time.Time) (messenger.End, error) {
	emit := func(data []byte) error {
		a.recordFirst(at)
		return at.append(messenger.Chunk{Data: data})
	}
	res, err := a.engine.Run(at.ctx, driver.Request{
		ID: at.id, Body: m.Body, Priority: priority, Remaining: deadline.Sub(a.cfg.Now()),
		Import: m.Import, Prefill: m.Prefill,
	}, emit)
	lost := streamLost(err)
	for range maxResumes {
		if !streamLost(err) || at.ctx.Err() != nil {
			break
		}
		a.count("taken-up")
		res, err = a.engine.Resume(at.ctx, at.id, at.lastSeq(), emit)
	}
	if lost && err != nil {
		err = resumeError(coder.Of(err))
	}
	return messenger.End{Usage: res.Usage, Export: res.Export}, err
}

// resumeError returns the error of a run whose stream was lost and could not be
// resumed. The code is TargetLost only if the engine is gone or has no record of
// the attempt, so that a lost connection alone makes no request a suspect. The run
// state is Unknown, as the resume's own state says nothing of the run.
func resumeError(e *coder.Error) error {
	v := &coder.Error{Code: e.Code, Run: coder.Unknown, Text: e.Text, Cause: e.Cause}
	switch {
	case e.Code == coder.UnknownAttempt:
		v.Code = coder.TargetLost
	case streamLost(e):
		v.Code = coder.EngineFailed
	}
	return v
}

// streamLost reports whether err means that an engine stream was lost after the
// connection had been opened.
func streamLost(err error) bool {
	e := coder.Of(err)
	return e != nil && e.Code == coder.TargetLost && e.Run != coder.NotRun
}

func (at *attempt) lastSeq() uint64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.chunks.Last()
}

// recordFirst notifies the reserver if the next chunk is the first of the answer.
func (a *Agent) recordFirst(at *attempt) {
	if at.lastSeq() == 0 {
		_ = a.onControl(func(now time.Time) { a.reserver.FirstToken(now, at.id) })
	}
}

// recordEnd ends an attempt at the reserver and keeps its answer for a resume. It runs
// on the control goroutine.
func (a *Agent) recordEnd(now time.Time, at *attempt, end messenger.End, err error) {
	code := coder.OK
	if err != nil {
		code = coder.Of(err).Code
	}
	a.count("ended." + code.String())
	a.reserver.End(now, at.id, reserver.Outcome{
		Usage: end.Usage,
		Hold:  at.hold && err == nil,
		Lost:  code == coder.TargetLost,
	})
	a.ended = append(a.ended, at)
	if code == coder.TargetLost {
		a.requestReport()
	}
}

// evictAnswers drops kept answers that exceed answerRetention or maxKeptBytes. It runs
// on the control goroutine. Answers of gang members that hold a KV cache stay, as a
// Resume renews the hold.
func (a *Agent) evictAnswers(now time.Time) {
	total := 0
	for _, at := range a.ended {
		total += at.size()
	}
	a.ended = slices.DeleteFunc(a.ended, func(at *attempt) bool {
		keep := total <= maxKeptBytes && now.Sub(at.endedAt) < answerRetention
		if keep || a.reserver.Phase(at.id) == reserver.Holding {
			return false
		}
		total -= at.size()
		delete(a.attempts, at.id)
		return true
	})
}

// freeInBackground frees an attempt at the engine without blocking the control
// goroutine.
func (a *Agent) freeInBackground(id string) {
	a.wg.Go(func() { a.freeEngine(id) })
}

// freeEngine frees an attempt at the engine. If the call fails, a later
// reconciliation frees the attempt.
func (a *Agent) freeEngine(id string) {
	if a.isPlain() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	if a.engine.Cancel(ctx, id) != nil {
		a.count("unfreed")
	}
}
