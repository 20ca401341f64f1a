package conductor

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// retryFleet is a fleet of entries whose targets fail every attempt. The entries share
// the bound on retries: in any window at most ratio of the requests, and slack more.
type retryFleet struct {
	entries  int
	ratio    float64
	slack    float64
	window   time.Duration
	interval time.Duration // between two requests of an entry
	requests []time.Time
	retries  []time.Time
}

// start returns a new entry and a function that stops it.
func (f *retryFleet) start(t *testing.T) (*Conductor, func()) {
	t.Helper()
	view := twoTargets()
	seen := map[string]bool{}
	cd, stop, err := New(Config{
		Pool: &pooler.Pooler{}, View: func() *watcher.View { return view }, RetryRatio: f.ratio, RetryWindow: f.window,
		MaxRetryBudget: func(*watcher.View) float64 { return f.slack / float64(f.entries) },
		Exchange: func(_ context.Context, a *Attempt) error {
			times := &f.requests
			if seen[a.Request.ID] {
				times = &f.retries
			}
			seen[a.Request.ID] = true
			*times = append(*times, time.Now())
			return &coder.Error{Code: coder.EngineFailed, Run: coder.Ran}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cd, stop
}

// run sends requests to every entry in turn. Entry i is replaced by a new process at each
// of the times that restarts returns for it.
func (f *retryFleet) run(t *testing.T, length time.Duration, restarts func(i int) []time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nodes := make([]*retryNode, f.entries)
		for i := range nodes {
			nodes[i] = &retryNode{restarts: restarts(i)}
			nodes[i].cd, nodes[i].stop = f.start(t)
		}
		since := time.Now()
		for time.Since(since) < length {
			for _, n := range nodes {
				n.restartIfDue(t, f, time.Since(since))
				if _, err := do(t, n.cd, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 2}); err == nil {
					t.Fatal("a request succeeded at a failing target")
				}
				time.Sleep(f.interval / time.Duration(f.entries))
			}
		}
		for _, n := range nodes {
			n.stop()
		}
	})
}

// retryNode is a node of a retryFleet with its current process.
type retryNode struct {
	cd       *Conductor
	stop     func()
	restarts []time.Duration // times of the restarts to come
}

func (n *retryNode) restartIfDue(t *testing.T, f *retryFleet, elapsed time.Duration) {
	t.Helper()
	if len(n.restarts) == 0 || elapsed < n.restarts[0] {
		return
	}
	n.restarts = n.restarts[1:]
	n.stop()
	n.cd, n.stop = f.start(t)
}

// expectWithinBound checks every window that begins with a retry.
func (f *retryFleet) expectWithinBound(t *testing.T) {
	t.Helper()
	for _, from := range f.retries {
		retries, requests := countIn(f.retries, from, f.window), countIn(f.requests, from, f.window)
		if bound := f.ratio*float64(requests) + f.slack; float64(retries) > bound {
			t.Fatalf("%d retries and %d requests in %s, want at most %.0f retries", retries, requests, f.window, bound)
		}
	}
}

// countIn returns how many of the sorted times are within a window.
func countIn(times []time.Time, from time.Time, window time.Duration) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		return i
	}
	return index(from.Add(window)) - index(from)
}

// Guards against retries beyond the bound of the fleet: a restarted entry does not know
// what the process before it has spent of its share.
func TestRetriesStayWithinBoundAcrossRestarts(t *testing.T) {
	everyFour := []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second, 16 * time.Second}
	for name, restarts := range map[string]func(i int) []time.Duration{
		"no restart":            func(int) []time.Duration { return nil },
		"all entries at once":   func(int) []time.Duration { return everyFour },
		"one entry repeatedly":  func(i int) []time.Duration { return everyFour[:min(len(everyFour), 4-4*min(i, 1))] },
		"the entries in a turn": func(i int) []time.Duration { return []time.Duration{time.Duration(3+i) * time.Second} },
	} {
		t.Run(name, func(t *testing.T) {
			f := retryFleet{entries: 4, ratio: 0.2, slack: 40, window: 10 * time.Second, interval: 200 * time.Millisecond}
			f.run(t, 30*time.Second, restarts)
			f.expectWithinBound(t)
		})
	}
}
