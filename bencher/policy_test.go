package bencher_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"bramleyshunt/bencher"
	"bramleyshunt/messenger"
)

var (
	tables = flag.String("tables", "", "print the tables of docs/POLICY.md whose name holds this text")
	fleet  = flag.String("fleet", "", "only the deployments whose name holds this text")
)

const seed = 1

// pair runs a trace with and without its long prompts.
func pair(b bencher.Bencher) (r, alone *bencher.Result) {
	b.Seed = seed
	quiet := b
	quiet.NoLong = true
	return b.Run(), quiet.Run()
}

func row(name string, b bencher.Bencher) string {
	r, alone := pair(b)
	return fmt.Sprintf("| %s | %.0f %% | %s", name, 100*b.Load, r.Row(&b, alone))
}

func deployments() []bencher.Deployment {
	return []bencher.Deployment{bencher.Laufspur(), bencher.Barua()}
}

// each runs a check for both deployments at a load.
func each(t *testing.T, load float64, check func(t *testing.T, b bencher.Bencher)) {
	for _, d := range deployments() {
		t.Run(d.Name, func(t *testing.T) {
			check(t, bencher.Bencher{Deployment: d, Load: load, Seed: seed})
		})
	}
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s is %.3f, want at least %.3f", what, got, want)
	}
}

func atMost(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got > want {
		t.Errorf("%s is %.3f, want at most %.3f", what, got, want)
	}
}

// TestPolicyLatency holds the stated targets up to 80 % load.
func TestPolicyLatency(t *testing.T) {
	for _, load := range []float64{0.5, 0.8} {
		each(t, load, func(t *testing.T, b bencher.Bencher) {
			r, alone := pair(b)
			atLeast(t, "share of first tokens in 0.48 s", r.InTime(), 0.95)
			atLeast(t, "share of gaps in 50 ms", r.Steady(), 0.95)
			atMost(t, "slowdown of short p95", r.Slowdown(alone, 0.95), 1.5)
			atMost(t, "slowdown of short p99", r.Slowdown(alone, 0.99), 3)
			atMost(t, "requests out of time", float64(r.Missed()), 0)
		})
	}
}

// TestPolicyOverload checks that overload costs neither goodput nor promises.
func TestPolicyOverload(t *testing.T) {
	each(t, 1, func(t *testing.T, b bencher.Bencher) {
		b.Length = 2 * time.Minute
		before := 0.0
		for _, load := range []float64{1, 1.3, 2} {
			over := b
			over.Load = load
			r := over.Run()
			atLeast(t, fmt.Sprintf("goodput at %.0f %%", 100*load), r.Goodput(&over), before)
			atMost(t, "requests out of time", float64(r.Missed()), 0)
			before = r.Goodput(&over)
		}
	})
}

// TestPolicyTight checks admission where the longest prompts can't all make it.
func TestPolicyTight(t *testing.T) {
	each(t, 1.3, func(t *testing.T, b bencher.Bencher) {
		b.Tight = 0.3
		r := b.Run()
		atMost(t, "requests out of time", float64(r.Missed()), 0)
		atLeast(t, "share refused at once", r.Refused(), 0.0001)
	})
}

// TestPolicyFair checks that an account at ten times its share doesn't raise the
// time to first token of the others.
func TestPolicyFair(t *testing.T) {
	each(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		greedy := b
		greedy.Greedy = 10
		others := func(account int) bool { return account != len(b.Deployment.Accounts)-1 }
		before := b.Run().Account(messenger.Short, 0.95, others)
		after := greedy.Run().Account(messenger.Short, 0.95, others)
		atMost(t, "time to first token of the others, ms", float64(after.Milliseconds()), 1.5*float64(before.Milliseconds()))
	})
}

// TestPolicyLost checks that the loss of a target fails nobody out of time.
func TestPolicyLost(t *testing.T) {
	each(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		b.Kill = true
		r := b.Run()
		atMost(t, "requests out of time", float64(r.Missed()), 0)
		atLeast(t, "share of first tokens in 0.48 s", r.InTime(), 0.95)
		atMost(t, "short p99, ms", float64(r.First(messenger.Short, 0.99).Milliseconds()), 480)
	})
}

// TestPolicyFairLong checks the same for the others' longer prompts.
func TestPolicyFairLong(t *testing.T) {
	each(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		greedy := b
		greedy.Greedy = 10
		before, after := b.Run(), greedy.Run()
		for _, c := range []messenger.Class{messenger.Medium, messenger.Long, messenger.Huge} {
			atMost(t, c.String()+" p50 of the others, times", rise(b, before, after, c, 0.5), 1.5)
		}
	})
}

// TestPolicyFairSeeds checks it over several traces, which hold enough long prompts
// for more than their median, and that the fair queue is what keeps the bound.
func TestPolicyFairSeeds(t *testing.T) {
	each(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		greedy := b
		greedy.Greedy = 10
		before, after := pooled(b), pooled(greedy)
		for _, c := range []messenger.Class{messenger.Short, messenger.Medium, messenger.Long, messenger.Huge} {
			atMost(t, c.String()+" p50 of the others, times", rise(b, before, after, c, 0.5), 1.5)
		}
		for _, c := range []messenger.Class{messenger.Short, messenger.Medium, messenger.Huge} {
			atMost(t, c.String()+" p95 of the others, times", rise(b, before, after, c, 0.95), 1.5)
		}
	})
	t.Run("without the fair queue", func(t *testing.T) {
		b := bencher.Bencher{Deployment: bencher.Laufspur(), Load: 0.8}
		unfair := b
		unfair.Greedy, unfair.Disabled.Fair = 10, true
		atLeast(t, "Huge p95 of the others, times", rise(b, pooled(b), pooled(unfair), messenger.Huge, 0.95), 1.5)
	})
}

// rise returns by what factor the time to first token of all accounts but the
// greedy one went up.
func rise(b bencher.Bencher, before, after *bencher.Result, c messenger.Class, p float64) float64 {
	others := func(account int) bool { return account != len(b.Deployment.Accounts)-1 }
	return float64(after.Account(c, p, others)) / float64(before.Account(c, p, others))
}

// pooled runs eight traces and returns their requests together.
func pooled(b bencher.Bencher) *bencher.Result {
	runs := iter.Mapper[uint64, *bencher.Result]{MaxGoroutines: workers}.Map([]uint64{1, 2, 3, 4, 5, 6, 7, 8}, func(s *uint64) *bencher.Result {
		x := b
		x.Seed = *s
		return x.Run()
	})
	all := &bencher.Result{}
	for _, r := range runs {
		all.Add(r)
	}
	return all
}
