package agent

import (
	"context"
	"time"

	"bramleyshunt/coder"
)

const (
	exchangeCloseTimeout = 5 * time.Second
	exchangePollInterval = 10 * time.Millisecond
)

// Drain refuses new work, announces that the target is leaving, and waits until
// every reservation, run and hold has ended. If ctx ends first, it returns the
// context's error with code DeadlineExceeded, and the target stays in the leaving
// state.
func (a *Agent) Drain(ctx context.Context) error {
	if err := a.setDraining(true); err != nil {
		return err
	}
	var drained chan struct{}
	if err := a.onControl(func(time.Time) { drained = a.drained }); err != nil {
		return err
	}
	select {
	case <-drained:
		return a.awaitExchanges(ctx)
	case <-a.ctx.Done():
		return coder.Errorf(coder.NotReady, "agent stopped")
	case <-ctx.Done():
		return &coder.Error{Code: coder.DeadlineExceeded, Cause: ctx.Err()}
	}
}

// awaitExchanges waits until entries have closed their exchanges, which they do once
// they have received the last frame. A lost or unresponsive connection ends its
// exchanges by itself; exchangeCloseTimeout bounds the wait for an entry that
// keeps one open.
func (a *Agent) awaitExchanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeCloseTimeout)
	defer cancel()
	t := time.NewTicker(exchangePollInterval)
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

// setDraining starts or ends a drain and announces the change. It also ends a standby.
func (a *Agent) setDraining(leaving bool) error {
	return a.onControl(func(time.Time) {
		if a.standby {
			a.standby = false
			a.announceNow()
		}
		a.setLeaving(leaving)
	})
}

// setStandby starts or ends a standby. It does not change a drain, which an
// operator or the process itself has started.
func (a *Agent) setStandby(standby bool) error {
	return a.onControl(func(time.Time) {
		if a.draining == standby || !standby && !a.standby {
			return
		}
		a.standby = standby
		a.setLeaving(standby)
	})
}

// setLeaving sets and announces whether the target is leaving. It runs on the
// control goroutine.
func (a *Agent) setLeaving(leaving bool) {
	if leaving == a.draining {
		return
	}
	a.draining = leaving
	defer a.announceNow()
	a.cfg.Log.WithField("leaving", leaving).Info("target drain state changed")
	if leaving {
		a.reserver.Leave()
		return
	}
	if !a.replaced {
		a.reserver.CancelLeave()
	}
	a.drained = make(chan struct{})
}
