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

// starting runs f with a Conductor that has just started and gets its view after a
// time, or is stale from then on.
func starting(t *testing.T, viewAfter time.Duration, f func(cd *Conductor, stale *error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		born := time.Now()
		var stale error
		cd, stop, err := New(Config{
			Pool: &pooler.Pooler{},
			View: func() *watcher.View {
				if time.Since(born) < viewAfter {
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

// await returns what Await said and after how long.
func await(cd *Conductor, left time.Duration) (time.Duration, error) {
	at := time.Now()
	err := cd.Await(context.Background(), left)
	return time.Since(at), err
}

func expect(t *testing.T, err error, code coder.Code, took, least, most time.Duration) {
	t.Helper()
	if (err == nil) != (code == coder.OK) || err != nil && coder.Of(err).Code != code {
		t.Errorf("got %v, want code %d", err, code)
	}
	if took < least || took > most {
		t.Errorf("took %s, want %s to %s", took, least, most)
	}
}

// These answer the moments after all processes were killed: callers come back before
// keepers have elected a leader, and have no try left when they are refused.
func TestAwaitHoldsWhileStarting(t *testing.T) {
	t.Run("until the view comes", func(t *testing.T) {
		starting(t, time.Second, func(cd *Conductor, _ *error) {
			took, err := await(cd, 10*time.Second)
			expect(t, err, coder.OK, took, time.Second, time.Second+heldEvery)
		})
	})
	t.Run("for half of the request's time", func(t *testing.T) {
		starting(t, time.Hour, func(cd *Conductor, _ *error) {
			took, err := await(cd, 800*time.Millisecond)
			expect(t, err, coder.NotReady, took, 400*time.Millisecond, 400*time.Millisecond+heldEvery)
		})
	})
	t.Run("no longer than a start takes", func(t *testing.T) {
		starting(t, time.Hour, func(cd *Conductor, _ *error) {
			took, err := await(cd, time.Hour)
			expect(t, err, coder.NotReady, took, startLimit, startLimit+heldEvery)
			took, err = await(cd, time.Hour)
			expect(t, err, coder.NotReady, took, 0, 0)
		})
	})
	t.Run("not once it had a view", func(t *testing.T) {
		starting(t, 0, func(cd *Conductor, stale *error) {
			took, err := await(cd, time.Second)
			expect(t, err, coder.OK, took, 0, 0)
			*stale = coder.Errorf(coder.Stale, "")
			took, err = await(cd, time.Second)
			expect(t, err, coder.Stale, took, 0, 0)
		})
	})
	t.Run("not while it leaves", func(t *testing.T) {
		starting(t, time.Hour, func(cd *Conductor, _ *error) {
			_ = cd.Drain(context.Background())
			took, err := await(cd, time.Second)
			expect(t, err, coder.NotReady, took, 0, 0)
		})
	})
	t.Run("no more than a bounded number", func(t *testing.T) {
		starting(t, time.Hour, func(cd *Conductor, _ *error) {
			cd.held.Store(mostHeld)
			took, err := await(cd, time.Second)
			expect(t, err, coder.NotReady, took, 0, 0)
		})
	})
}
