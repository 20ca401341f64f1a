package dispatcher

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/sleeper"
)

// reconnect continues after a lost stream. It withdraws the attempt if no chunk was
// received and it has not started; otherwise it returns a stream that resumes after
// the last chunk received.
func (x *exchange) reconnect(ctx context.Context) (*muxer.Stream, error) {
	delay := minReconnectDelay
	for range maxReconnects {
		if conn, err := x.d.Pool.Get(ctx, x.job.Address); err == nil {
			s, retry, err := x.resumeOrVoid(ctx, conn)
			if !retry {
				return s, err
			}
		}
		if err := sleeper.Sleep(ctx, delay); err != nil {
			x.d.cancel(ctx, x.job)
			return nil, x.contextEnded(ctx)
		}
		delay *= 2
	}
	return nil, x.targetLost("no answer from its agent")
}

// resumeOrVoid returns a stream that resumes the attempt, or the error that ends it.
// It reports retry if the connection gave no answer.
func (x *exchange) resumeOrVoid(ctx context.Context, conn *muxer.Muxer) (s *muxer.Stream, retry bool, err error) {
	if x.received == 0 {
		retry, err := x.void(ctx, conn)
		if retry || err != nil {
			return nil, retry, err
		}
	}
	j := x.job.Run
	s, err = conn.Open(messenger.KindResume, &messenger.Resume{Attempt: j.Attempt, Incarnation: j.Incarnation, Seq: x.received})
	if err != nil {
		return nil, true, nil
	}
	return s, false, nil
}

// void withdraws the attempt unless it has started, in which case it returns no error
// and the attempt can be resumed.
func (x *exchange) void(ctx context.Context, conn *muxer.Muxer) (retry bool, err error) {
	voidCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	j := x.job.Run
	var v messenger.Voided
	err = conn.Call(voidCtx, messenger.KindVoid, &messenger.Void{Attempt: j.Attempt, Incarnation: j.Incarnation}, &v)
	if err != nil {
		c := coder.Of(err).Code
		if c == coder.Silent || voidCtx.Err() != nil {
			return true, nil
		}
		return false, x.targetLost(err.Error())
	}
	switch v.Run {
	case coder.NotRun:
		return false, coder.Errorf(coder.Voided, "the answer to its start was lost")
	case coder.Ran:
		return false, nil
	default:
		return false, &coder.Error{Code: coder.OutcomeUnknown, Run: coder.Unknown}
	}
}

// targetLost returns the outcome of an attempt whose target can no longer report it.
func (x *exchange) targetLost(text string) error {
	return &coder.Error{Code: coder.TargetLost, Run: x.execution(), Text: text}
}

// execution reports what is known about the execution of an attempt whose run was
// sent.
func (x *exchange) execution() coder.Run {
	if x.received > 0 {
		return coder.Ran
	}
	return coder.Unknown
}

// contextEnded returns the outcome of an attempt whose run was sent and whose context
// has ended.
func (x *exchange) contextEnded(ctx context.Context) error {
	e := *coder.Of(contextError(ctx, coder.Cancelled, ctx.Err()))
	e.Run = x.execution()
	return &e
}

// contextError returns the error for a failed operation, preferring the context's
// cause.
func contextError(ctx context.Context, c coder.Code, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return &coder.Error{Code: c, Cause: err}
	case cause == context.DeadlineExceeded:
		return &coder.Error{Code: coder.DeadlineExceeded}
	case cause == context.Canceled:
		return &coder.Error{Code: coder.Cancelled}
	default:
		return cause
	}
}

// notRun returns the outcome of an attempt whose run was never sent.
func notRun(ctx context.Context, c coder.Code, err error) error {
	e := *coder.Of(contextError(ctx, c, err))
	e.Run = coder.NotRun
	return &e
}

// cancel notifies the agent in the background that the attempt is no longer wanted.
func (d *Dispatcher) cancel(ctx context.Context, j Job) {
	d.sendControl(ctx, j.Address, func(ctx context.Context, conn *muxer.Muxer) error {
		var out messenger.Cancelled
		return conn.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: j.Run.Attempt}, &out)
	})
}

// release releases a reservation in the background, also one whose answer never
// arrived.
func (d *Dispatcher) release(ctx context.Context, j Job) {
	d.sendControl(ctx, j.Address, func(_ context.Context, conn *muxer.Muxer) error {
		s, err := conn.Open(messenger.KindRelease, &messenger.Release{Attempt: j.Reserve.Attempt})
		if err == nil {
			s.Close()
		}
		return err
	})
}

// sendControl sends a control message in the background, independently of the end of
// ctx and over a new connection if the first one is lost.
func (d *Dispatcher) sendControl(ctx context.Context, addr string, send func(context.Context, *muxer.Muxer) error) {
	ctx = context.WithoutCancel(ctx)
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		for range maxReconnects {
			conn, err := d.Pool.Get(ctx, addr)
			if err == nil && coder.Of(send(ctx, conn)) == nil {
				return
			}
			if sleeper.Sleep(ctx, minReconnectDelay) != nil {
				return
			}
		}
	})
}
