package agent

import (
	"context"
	"time"

	"bramleyshunt/coder"
)

const (
	lingerLimit = 5 * time.Second
	lingerEvery = 10 * time.Millisecond
)

// Drain refuses new work at once, announces it, and returns when everything
// reserved, running or held has ended. It returns the context's error, coded
// DeadlineExceeded, if that ends first; the target stays leaving.
func (a *Agent) Drain(ctx context.Context) error {
	if err := a.depart(true); err != nil {
		return err
	}
	var drained chan struct{}
	if err := a.step(func(time.Time) { drained = a.drained }); err != nil {
		return err
	}
	select {
	case <-drained:
		return a.linger(ctx)
	case <-a.ctx.Done():
		return coder.Errorf(coder.NotReady, "agent stopped")
	case <-ctx.Done():
		return &coder.Error{Code: coder.DeadlineExceeded, Cause: ctx.Err()}
	}
}

// linger waits until entries have closed their exchanges, which they do once
// they hold the last frame. A connection that is lost or silent ends its
// exchanges by itself; lingerLimit bounds an entry that keeps one open.
func (a *Agent) linger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lingerLimit)
	defer cancel()
	t := time.NewTicker(lingerEvery)
	defer t.Stop()
	for a.exchanges.Load() > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
	return nil
}

// depart starts or ends a drain and announces it.
func (a *Agent) depart(leave bool) error {
	return a.step(func(time.Time) {
		if a.standby {
			a.standby = false
			a.kick()
		}
		a.turn(leave)
	})
}

// setStandby starts or ends a standby. It leaves a drain, which is an operator's or
// the process's own, as it is.
func (a *Agent) setStandby(by bool) error {
	return a.step(func(time.Time) {
		if a.draining == by || !by && !a.standby {
			return
		}
		a.standby = by
		a.turn(by)
	})
}

// turn sets whether the target leaves, on the control goroutine.
func (a *Agent) turn(leave bool) {
	if leave == a.draining {
		return
	}
	a.draining = leave
	defer a.kick()
	a.cfg.Log.WithField("leaving", leave).Info("target changes state")
	if leave {
		a.reserver.Leave()
		return
	}
	if !a.replaced {
		a.reserver.CancelLeave()
	}
	a.drained = make(chan struct{})
}
