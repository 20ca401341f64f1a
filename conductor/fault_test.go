package conductor

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// twoTargets returns a view of two targets of the plain service "s".
func twoTargets() *watcher.View {
	return &watcher.View{
		Version: 1,
		Config:  &configurer.Configurer{Services: map[string]configurer.Service{"s": {Kind: "plain", MaxTimeout: 10}}},
		Targets: []messenger.Target{{ID: "t1", Service: "s", Incarnation: 1, Slots: 4}, {ID: "t2", Service: "s", Incarnation: 1, Slots: 4}},
	}
}

// withTargets runs f with a Conductor before twoTargets, in the time of a synctest bubble.
// Further fields of cfg are kept.
func withTargets(t *testing.T, cfg Config, f func(cd *Conductor)) {
	t.Helper()
	view := twoTargets()
	synctest.Test(t, func(t *testing.T) {
		cfg.Pool, cfg.View = &pooler.Pooler{}, func() *watcher.View { return view }
		cd, stop, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		f(cd)
	})
}

// do passes a request through the filter chain and returns it with its error.
func do(t *testing.T, cd *Conductor, path configurer.Path) (*chainer.Request, error) {
	t.Helper()
	ctx, r, end, err := cd.Begin(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	r.Config, r.Service, r.PathConfig = cd.cfg.View().Config, "s", &path
	r.Answer = chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: func() bool { return true }, Resumable: func() bool { return true },
		Chunk: func(messenger.Chunk) error { return nil }, End: func(messenger.End) error { return nil },
	}
	return r, cd.Do(ctx, r)
}

// Guards against a slot that stays taken: the caller gives up at the moment at which its
// request is placed.
func TestRequestAbandonedWhenPlacedIsNotCountedAtItsTarget(t *testing.T) {
	withTargets(t, Config{}, func(cd *Conductor) {
		r := &chainer.Request{ID: "r", Service: "s", Prompt: 1, Config: &configurer.Configurer{}}
		ticket := newTicket(r, nil)
		placed := cd.control.enqueue(ticket, false)
		if n := len(cd.Sends()); n != 1 {
			t.Fatalf("%d targets have load after the placement, want 1", n)
		}
		cd.control.abandon(ticket, placed)
		if sends := cd.Sends(); len(sends) > 0 {
			t.Errorf("load is still counted: %+v", sends)
		}
	})
}

// Guards against blaming targets for an entry that has lost the keepers: each was excluded
// in turn, and the caller was told that there is no target.
func TestStaleEntryRefusesWithoutBlamingTargets(t *testing.T) {
	attempts := 0
	exchange := func(context.Context, *Attempt) error {
		attempts++
		return &coder.Error{Code: coder.Stale, Run: coder.NotRun, Cause: errors.New("not confirmed")}
	}
	withTargets(t, Config{Exchange: exchange}, func(cd *Conductor) {
		_, err := do(t, cd, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 3})
		c := coder.Of(err)
		if c == nil || c.Code != coder.Stale || c.Run != coder.NotRun || c.Retry != notReadyRetryAfter {
			t.Errorf("got %v, want code Stale with a retry after %s", err, notReadyRetryAfter)
		}
		if attempts != 1 {
			t.Errorf("%d attempts, want 1", attempts)
		}
	})
}

// Guards against a run that outlasts the claim of its key: claims are kept for the longest
// timeout of the service.
func TestTimeoutOfPathIsBoundedByService(t *testing.T) {
	exchange := func(context.Context, *Attempt) error { return nil }
	withTargets(t, Config{Exchange: exchange}, func(cd *Conductor) {
		r, err := do(t, cd, configurer.Path{Kind: configurer.KindSafe, Timeout: 7200})
		if err != nil || r.Timeout != 10*time.Second {
			t.Errorf("timeout %s, error %v; want 10s", r.Timeout, err)
		}
	})
}

// Guards against a retry ratio of the settings that is ignored: the default may exceed it.
func TestRetriesAreEarnedAtRatioOfSettings(t *testing.T) {
	const requests = 20
	for ratio, want := range map[float64]int{0.05: 1, 0.5: 10} {
		attempts := 0
		exchange := func(context.Context, *Attempt) error {
			attempts++
			return &coder.Error{Code: coder.EngineFailed, Run: coder.Ran}
		}
		cfg := Config{Exchange: exchange, RetryRatio: ratio, MaxRetryBudget: func(*watcher.View) float64 { return 1 }}
		withTargets(t, cfg, func(cd *Conductor) {
			for range requests {
				if _, err := do(t, cd, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 2}); err == nil {
					t.Fatal("a request succeeded at a failing target")
				}
			}
		})
		if retries := attempts - requests; retries < want || retries > want+1 {
			t.Errorf("%d retries of %d requests at ratio %g, want %d and the initial one", retries, requests, ratio, want)
		}
	}
}

// Guards against a new incarnation of a target that gets no requests because an attempt at
// the one before it failed late.
func TestFailureOfEarlierIncarnationDoesNotBlameTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var view atomic.Pointer[watcher.View]
		view.Store(oneTarget(1))
		var reached []uint64
		var cd *Conductor
		exchange := func(_ context.Context, a *Attempt) error {
			reached = append(reached, a.Target.Incarnation)
			if a.Target.Incarnation == 2 {
				return nil
			}
			cd.control.do(func() {
				view.Store(oneTarget(2))
				cd.control.refreshView()
			})
			return &coder.Error{Code: coder.TargetLost, Run: coder.NotRun}
		}
		cd, stop, err := New(Config{Pool: &pooler.Pooler{}, View: view.Load, Exchange: exchange})
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		path := configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 1}
		if _, err := do(t, cd, path); err == nil {
			t.Fatal("the first request succeeded at a target that is gone")
		}
		since := time.Now()
		if _, err := do(t, cd, path); err != nil || time.Since(since) >= unreachableBackoff {
			t.Errorf("error %v after %s, want an answer at once; incarnations %v", err, time.Since(since), reached)
		}
	})
}

// oneTarget returns a view of one target of the plain service "s".
func oneTarget(incarnation uint64) *watcher.View {
	v := twoTargets()
	v.Version, v.Targets = incarnation, []messenger.Target{{ID: "t1", Service: "s", Incarnation: incarnation, Slots: 4}}
	return v
}

// Guards against a retry that shares a kept connection with an earlier attempt of its request:
// a second copy of the earlier answer would be taken for its own (REFUSED, TWICE).
func TestRetryAtSameAddressIsMarkedAsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := twoTargets()
		for i := range v.Targets {
			v.Targets[i].Address = "10.0.0.1:80" // the second one has taken the place of the first
		}
		var repeated []bool
		exchange := func(_ context.Context, a *Attempt) error {
			if repeated = append(repeated, a.Repeated); len(repeated) == 1 {
				return coder.Errorf(coder.WrongIncarnation, "")
			}
			return nil
		}
		cd, stop, err := New(Config{Pool: &pooler.Pooler{}, View: func() *watcher.View { return v }, Exchange: exchange})
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		if _, err := do(t, cd, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 2}); err != nil {
			t.Fatal(err)
		}
		if want := []bool{false, true}; !slices.Equal(repeated, want) {
			t.Errorf("attempts marked as repeated: %v, want %v", repeated, want)
		}
	})
}
