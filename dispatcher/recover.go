package dispatcher

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/sleeper"
)

// again goes on after a lost stream: it withdraws the attempt if nothing is
// known of its start, else asks for the chunks after the last one received.
func (x *exchange) again(ctx context.Context) (*muxer.Stream, error) {
	delay := firstDelay
	for range reconnects {
		if conn, err := x.d.Pool.Get(ctx, x.job.Address); err == nil {
			s, again, err := x.ask(ctx, conn)
			if !again {
				return s, err
			}
		}
		if err := sleeper.Sleep(ctx, delay); err != nil {
			x.d.cancel(ctx, x.job)
			return nil, x.ended(ctx)
		}
		delay *= 2
	}
	return nil, x.lost("no answer from its agent")
}

// ask returns a stream that resumes the attempt, or its final outcome. It
// reports again when the connection gave no answer.
func (x *exchange) ask(ctx context.Context, conn *muxer.Muxer) (s *muxer.Stream, again bool, err error) {
	if x.got == 0 {
		again, err := x.void(ctx, conn)
		if again || err != nil {
			return nil, again, err
		}
	}
	j := x.job.Run
	s, err = conn.Open(messenger.KindResume, &messenger.Resume{Attempt: j.Attempt, Incarnation: j.Incarnation, Seq: x.got})
	if err != nil {
		return nil, true, nil
	}
	return s, false, nil
}

// void returns nil if the attempt had started, so that it can be resumed.
func (x *exchange) void(ctx context.Context, conn *muxer.Muxer) (again bool, err error) {
	bound, stop := context.WithTimeout(ctx, controlLimit)
	defer stop()
	j := x.job.Run
	var v messenger.Voided
	err = conn.Call(bound, messenger.KindVoid, &messenger.Void{Attempt: j.Attempt, Incarnation: j.Incarnation}, &v)
	if err != nil {
		c := coder.Of(err).Code
		if c == coder.Silent || bound.Err() != nil {
			return true, nil
		}
		return false, x.lost(err.Error())
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

// lost is the outcome of an attempt whose target can't tell any more.
func (x *exchange) lost(text string) error {
	return &coder.Error{Code: coder.TargetLost, Run: x.run(), Text: text}
}

func (x *exchange) run() coder.Run {
	if x.got > 0 {
		return coder.Ran
	}
	return coder.Unknown
}

// ended is the outcome of an attempt that was sent and whose context has ended.
func (x *exchange) ended(ctx context.Context) error {
	e := *coder.Of(reason(ctx, coder.Cancelled, ctx.Err()))
	e.Run = x.run()
	return &e
}

// reason prefers what the context's owner gave as its cause.
func reason(ctx context.Context, c coder.Code, err error) error {
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

// notRun is the outcome of an attempt whose run was never sent.
func notRun(ctx context.Context, c coder.Code, err error) error {
	e := *coder.Of(reason(ctx, c, err))
	e.Run = coder.NotRun
	return &e
}

// cancel tells the agent that nobody waits for the attempt any more.
func (d *Dispatcher) cancel(ctx context.Context, j Job) {
	d.tell(ctx, j.Address, func(ctx context.Context, conn *muxer.Muxer) error {
		var out messenger.Cancelled
		return conn.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: j.Run.Attempt}, &out)
	})
}

// release gives a reservation back, also one whose answer never came.
func (d *Dispatcher) release(ctx context.Context, j Job) {
	d.tell(ctx, j.Address, func(_ context.Context, conn *muxer.Muxer) error {
		s, err := conn.Open(messenger.KindRelease, &messenger.Release{Attempt: j.Reserve.Attempt})
		if err == nil {
			s.Close()
		}
		return err
	})
}

// tell sends a control message in its own time, over a fresh connection if the
// first one is lost.
func (d *Dispatcher) tell(ctx context.Context, addr string, send func(context.Context, *muxer.Muxer) error) {
	ctx = context.WithoutCancel(ctx)
	d.wg.Go(func() {
		bound, stop := context.WithTimeout(ctx, controlLimit)
		defer stop()
		for range reconnects {
			conn, err := d.Pool.Get(bound, addr)
			if err == nil && coder.Of(send(bound, conn)) == nil {
				return
			}
			if sleeper.Sleep(bound, firstDelay) != nil {
				return
			}
		}
	})
}
