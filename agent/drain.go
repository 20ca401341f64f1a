package agent

import (
	"context"
	"time"

	"bramleyshunt/coder"
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
		return nil
	case <-a.ctx.Done():
		return coder.Errorf(coder.NotReady, "agent stopped")
	case <-ctx.Done():
		return &coder.Error{Code: coder.DeadlineExceeded, Cause: ctx.Err()}
	}
}

// depart starts or ends a drain and announces it.
func (a *Agent) depart(leave bool) error {
	return a.step(func(time.Time) {
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
			a.reserver.Stay()
		}
		a.drained = make(chan struct{})
	})
}
