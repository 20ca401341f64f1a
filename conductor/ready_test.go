package conductor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// withStartingConductor runs f with a Conductor that has just started and has a view
// after viewAfter. Setting *stale makes its view unconfirmed.
func withStartingConductor(t *testing.T, viewAfter time.Duration, f func(cd *Conductor, stale *error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var stale error
		cd, stop, err := New(Config{
			Pool: &pooler.Pooler{},
			View: func() *watcher.View {
				if time.Since(start) < viewAfter {
					return nil
				}
				return &watcher.View{Config: &configurer.Configurer{}}
			},
			Ready: func() error { return stale },
		})
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		f(cd, &stale)
	})
}

// timeAwaitReady returns how long AwaitReady took, and its error.
func timeAwaitReady(cd *Conductor, remaining time.Duration) (time.Duration, error) {
	start := time.Now()
	err := cd.AwaitReady(context.Background(), remaining)
	return time.Since(start), err
}

func expectResult(t *testing.T, err error, code coder.Code, took, minTook, maxTook time.Duration) {
	t.Helper()
	if (err == nil) != (code == coder.OK) || err != nil && coder.Of(err).Code != code {
		t.Errorf("got %v, want code %d", err, code)
	}
	if took < minTook || took > maxTook {
		t.Errorf("took %s, want %s to %s", took, minTook, maxTook)
	}
}

// Guards against refusing requests right after all processes were killed and
// restarted: callers retry before the keepers have elected a leader, and have no
// attempt left once they are refused.
func TestAwaitReadyHoldsRequestsWhileStarting(t *testing.T) {
	t.Run("until the first view", func(t *testing.T) {
		withStartingConductor(t, time.Second, func(cd *Conductor, _ *error) {
			took, err := timeAwaitReady(cd, 10*time.Second)
			expectResult(t, err, coder.OK, took, time.Second, time.Second+readyPollInterval)
		})
	})
	t.Run("for half of the request's remaining time", func(t *testing.T) {
		withStartingConductor(t, time.Hour, func(cd *Conductor, _ *error) {
			took, err := timeAwaitReady(cd, 800*time.Millisecond)
			expectResult(t, err, coder.NotReady, took, 400*time.Millisecond, 400*time.Millisecond+readyPollInterval)
		})
	})
	t.Run("no longer than startupHoldLimit", func(t *testing.T) {
		withStartingConductor(t, time.Hour, func(cd *Conductor, _ *error) {
			took, err := timeAwaitReady(cd, time.Hour)
			expectResult(t, err, coder.NotReady, took, startupHoldLimit, startupHoldLimit+readyPollInterval)
			took, err = timeAwaitReady(cd, time.Hour)
			expectResult(t, err, coder.NotReady, took, 0, 0)
		})
	})
	t.Run("not after the first view", func(t *testing.T) {
		withStartingConductor(t, 0, func(cd *Conductor, stale *error) {
			took, err := timeAwaitReady(cd, time.Second)
			expectResult(t, err, coder.OK, took, 0, 0)
			*stale = coder.Errorf(coder.Stale, "")
			took, err = timeAwaitReady(cd, time.Second)
			expectResult(t, err, coder.Stale, took, 0, 0)
		})
	})
	t.Run("not while draining", func(t *testing.T) {
		withStartingConductor(t, time.Hour, func(cd *Conductor, _ *error) {
			_ = cd.Drain(context.Background())
			took, err := timeAwaitReady(cd, time.Second)
			expectResult(t, err, coder.NotReady, took, 0, 0)
		})
	})
	t.Run("no more than maxHeldRequests at once", func(t *testing.T) {
		withStartingConductor(t, time.Hour, func(cd *Conductor, _ *error) {
			cd.heldRequests.Store(maxHeldRequests)
			took, err := timeAwaitReady(cd, time.Second)
			expectResult(t, err, coder.NotReady, took, 0, 0)
		})
	})
}
