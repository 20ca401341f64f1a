package retrier_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/retrier"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "200", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// testWindow and testBudget bound the retries of the node under test.
const (
	testWindow = 10 * time.Second
	testBudget = 4
	testRatio  = 0.25
)

// node is a node whose process is replaced now and then.
type node struct {
	now      time.Time
	retrier  retrier.Retrier
	requests []time.Time
	retries  []time.Time
}

func (n *node) restart() {
	n.retrier = retrier.Retrier{Window: testWindow, Started: n.now}
	n.retrier.SetMaxBudget(n.now, testBudget)
}

func (n *node) request() {
	n.requests = append(n.requests, n.now)
	n.retrier.RecordRequest("s", testRatio)
}

func (n *node) fail() {
	f := retrier.Failure{Service: "s", Err: coder.Errorf(coder.TargetLost, ""), Remaining: time.Hour}
	if _, err := n.retrier.Retry(n.now, f); err == nil {
		n.retries = append(n.retries, n.now)
	}
}

// checkWindows fails if a window holds more retries than allowed.
func (n *node) checkWindows(t *rapid.T) {
	for _, from := range n.retries {
		retries, requests := within(n.retries, from), within(n.requests, from)
		if bound := testBudget + testRatio*float64(requests); float64(retries) > bound {
			t.Fatalf("%d retries in a window with %d requests, want at most %g", retries, requests, bound)
		}
	}
}

func within(times []time.Time, from time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(testWindow)) {
			n++
		}
	}
	return n
}

// Guards against retries beyond the budget in any window, whenever the process is replaced
// and however its maximum changes below the node's part.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &node{now: time.Unix(1000, 0)}
		n.restart()
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { n.request() },
			"fail":    func(*rapid.T) { n.fail() },
			"failAll": func(*rapid.T) {
				for range 2 * testBudget {
					n.fail()
				}
			},
			"restart": func(*rapid.T) { n.restart() },
			"resize": func(t *rapid.T) {
				n.retrier.SetMaxBudget(n.now, rapid.Float64Range(0.1, testBudget).Draw(t, "budget"))
			},
			"wait": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, int(testWindow/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { n.checkWindows(t) },
		})
	})
}
