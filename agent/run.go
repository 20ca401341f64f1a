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
	// cancelTimeout bounds the call that frees an attempt at the engine; what it
	// doesn't reach is freed by reconciliation.
	cancelTimeout = 2 * time.Second
	// maxResumes bounds how often a lost stream of the engine is taken up again.
	maxResumes = 3
	// endedKept and endedBytes bound the answers kept after their end.
	endedKept  = 10 * time.Second
	endedBytes = 32 << 20
)

// run starts an attempt, once, and follows it.
func (a *Agent) run(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Run
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var at *attempt
	var err error
	if stopped := a.step(func(now time.Time) { at, err = a.start(now, &m) }); stopped != nil {
		err = stopped
	}
	if err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	return a.follow(ctx, s, at, 0)
}

// start returns the attempt that m starts or started, on the control goroutine.
func (a *Agent) start(now time.Time, m *messenger.Run) (*attempt, error) {
	started, err := a.reserver.Run(now, m)
	if err != nil {
		return nil, err
	}
	if !started {
		a.count("doubled")
		return a.known(m.Attempt, m.Incarnation)
	}
	a.count("ran")
	at := newAttempt(a.ctx, m.Attempt, a.reserver.Deadline(m.Attempt), a.cfg.Now)
	at.hold = m.Prefill
	a.attempts[m.Attempt] = at
	priority := a.reserver.Priority(m.Attempt)
	deadline := a.reserver.Deadline(m.Attempt)
	a.wg.Go(func() { a.drive(at, m, priority, deadline) })
	return at, nil
}

// known returns an attempt whose answer is kept, on the control goroutine.
func (a *Agent) known(id string, incarnation uint64) (*attempt, error) {
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

// resume follows an attempt that was started over another connection.
func (a *Agent) resume(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Resume
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var at *attempt
	var err error
	if stopped := a.step(func(time.Time) { at, err = a.known(m.Attempt, m.Incarnation) }); stopped != nil {
		err = stopped
	}
	if err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	a.count("resumed")
	return a.follow(ctx, s, at, m.Seq)
}

// drive runs an attempt at the target to its end.
func (a *Agent) drive(at *attempt, m *messenger.Run, priority int, deadline time.Time) {
	var end messenger.End
	var err error
	if a.plain() {
		err = a.call(at, m, deadline)
	} else {
		end, err = a.prompt(at, m, priority, deadline)
	}
	end, err = at.seal(end, at.fault(err), a.cfg.Now())
	if err != nil {
		// The answer has failed at once; its memory is free once the engine says so.
		at.publish()
		a.freeEngine(at.id)
	}
	_ = a.step(func(now time.Time) { a.closed(now, at, end, err) })
	at.publish()
	at.stop(nil)
}

// fault returns the coded reason why a run failed: what stopped the attempt goes
// before what the target said.
func (at *attempt) fault(err error) error {
	if err == nil {
		return nil
	}
	e := *coder.Of(err)
	var cause *coder.Error
	if errors.As(context.Cause(at.ctx), &cause) {
		e = *cause
	}
	if e.Run == coder.Unknown && at.last() > 0 {
		e.Run = coder.Ran
	}
	return &e
}

func (a *Agent) plain() bool { return a.cfg.Settings.Target.Kind == kindPlain }

// call runs a plain call.
func (a *Agent) call(at *attempt, m *messenger.Run, deadline time.Time) error {
	r := *m
	r.Remaining = deadline.Sub(a.cfg.Now())
	return a.engine.Call(at.ctx, r, func(c messenger.Chunk) error {
		a.first(at)
		return at.append(c)
	})
}

// prompt runs a prompt at the engine, taking a lost stream up again.
func (a *Agent) prompt(at *attempt, m *messenger.Run, priority int, deadline time.Time) (messenger.End, error) {
	emit := func(data []byte) error {
		a.first(at)
		return at.append(messenger.Chunk{Data: data})
	}
	res, err := a.engine.Run(at.ctx, driver.Request{
		ID: at.id, Body: m.Body, Priority: priority, Remaining: deadline.Sub(a.cfg.Now()),
		Import: m.Import, Prefill: m.Prefill,
	}, emit)
	lost := broken(err)
	for range maxResumes {
		if !broken(err) || at.ctx.Err() != nil {
			break
		}
		a.count("taken-up")
		res, err = a.engine.Resume(at.ctx, at.id, at.last(), emit)
	}
	if lost && err != nil {
		err = verdict(coder.Of(err))
	}
	return messenger.End{Usage: res.Usage, Export: res.Export}, err
}

// verdict returns why a stream that was lost could not be taken up. TargetLost
// is kept for an engine that is gone or has no record of the attempt, so that no
// request is suspected for a lost connection alone. What a resume says of
// execution holds for the resume alone.
func verdict(e *coder.Error) error {
	v := &coder.Error{Code: e.Code, Run: coder.Unknown, Text: e.Text, Cause: e.Cause}
	switch {
	case e.Code == coder.UnknownAttempt:
		v.Code = coder.TargetLost
	case broken(e):
		v.Code = coder.EngineFailed
	}
	return v
}

// broken reports whether an engine's stream was lost after it had been opened.
func broken(err error) bool {
	e := coder.Of(err)
	return e != nil && e.Code == coder.TargetLost && e.Run != coder.NotRun
}

func (at *attempt) last() uint64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.kept.Last()
}

// first tells the reserver of the first piece of an answer.
func (a *Agent) first(at *attempt) {
	if at.last() == 0 {
		_ = a.step(func(now time.Time) { a.reserver.FirstToken(now, at.id) })
	}
}

// closed ends an attempt on the control goroutine and keeps its answer for a while.
func (a *Agent) closed(now time.Time, at *attempt, end messenger.End, err error) {
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

// sweep drops kept answers, on the control goroutine. Those of held gang members
// stay, as a Resume renews the hold.
func (a *Agent) sweep(now time.Time) {
	total := 0
	for _, at := range a.ended {
		total += at.size()
	}
	a.ended = slices.DeleteFunc(a.ended, func(at *attempt) bool {
		fresh := total <= endedBytes && now.Sub(at.endedAt) < endedKept
		if fresh || a.reserver.Phase(at.id) == reserver.Holding {
			return false
		}
		total -= at.size()
		delete(a.attempts, at.id)
		return true
	})
}

// discard frees an attempt at the engine in the background.
func (a *Agent) discard(id string) {
	a.wg.Go(func() { a.freeEngine(id) })
}

// freeEngine frees an attempt at the engine. A failure is left to reconciliation.
func (a *Agent) freeEngine(id string) {
	if a.plain() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	if a.engine.Cancel(ctx, id) != nil {
		a.count("unfreed")
	}
}
