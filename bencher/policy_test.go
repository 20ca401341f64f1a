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
	tables = flag.String("tables", "", "print the tables of docs/POLICY.md whose names contain this text")
	fleet  = flag.String("fleet", "", "only the deployments whose names contain this text")
)

const seed = 1

// runPair runs a trace with and without its long prompts. The latter is the reference for
// slowdowns.
func runPair(b bencher.Bencher) (r, reference *bencher.Result) {
	b.Seed = seed
	withoutLong := b
	withoutLong.NoLong = true
	return b.Run(), withoutLong.Run()
}

func row(name string, b bencher.Bencher) string {
	r, reference := runPair(b)
	return fmt.Sprintf("| %s | %.0f %% | %s", name, 100*b.Load, r.Row(&b, reference))
}

func deployments() []bencher.Deployment {
	return []bencher.Deployment{bencher.Laufspur(), bencher.Barua()}
}

// forEachDeployment runs a check for each deployment at the given load.
func forEachDeployment(t *testing.T, load float64, check func(t *testing.T, b bencher.Bencher)) {
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

// TestPolicyLatency checks the latency objectives up to 80 % load.
func TestPolicyLatency(t *testing.T) {
	for _, load := range []float64{0.5, 0.8} {
		forEachDeployment(t, load, func(t *testing.T, b bencher.Bencher) {
			r, reference := runPair(b)
			atLeast(t, "share of first tokens within 0.48 s", r.InTime(), 0.95)
			atLeast(t, "share of inter-token gaps within 50 ms", r.GapsWithinBound(), 0.95)
			atMost(t, "slowdown p95 of short prompts", r.Slowdown(reference, 0.95), 1.5)
			atMost(t, "slowdown p99 of short prompts", r.Slowdown(reference, 0.99), 3)
			atMost(t, "requests past their deadline", float64(r.Missed()), 0)
		})
	}
}

// TestPolicyOverload checks that goodput does not fall as overload grows, and that every
// admitted request gets its final reply by its deadline.
func TestPolicyOverload(t *testing.T) {
	forEachDeployment(t, 1, func(t *testing.T, b bencher.Bencher) {
		b.Length = 2 * time.Minute
		before := 0.0
		for _, load := range []float64{1, 1.3, 2} {
			over := b
			over.Load = load
			r := over.Run()
			atLeast(t, fmt.Sprintf("goodput at %.0f %%", 100*load), r.Goodput(&over), before)
			atMost(t, "requests past their deadline", float64(r.Missed()), 0)
			before = r.Goodput(&over)
		}
	})
}

// TestPolicyTight checks that admission refuses long prompts whose deadlines cannot all be
// met, rather than let admitted ones miss them.
func TestPolicyTight(t *testing.T) {
	forEachDeployment(t, 1.3, func(t *testing.T, b bencher.Bencher) {
		b.LongTimeoutFactor = 0.3
		r := b.Run()
		atMost(t, "requests past their deadline", float64(r.Missed()), 0)
		atLeast(t, "share refused on arrival", r.Refused(), 0.0001)
	})
}

// TestPolicyFair checks that an account that sends ten times its share raises the TTFT
// p95 of short prompts of the other accounts by at most half.
func TestPolicyFair(t *testing.T) {
	forEachDeployment(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		overloaded := b
		overloaded.LastAccountFactor = 10
		others := func(account int) bool { return account != len(b.Deployment.Accounts)-1 }
		before := b.Run().AccountTTFT(messenger.Short, 0.95, others)
		after := overloaded.Run().AccountTTFT(messenger.Short, 0.95, others)
		atMost(t, "TTFT p95 of the other accounts, ms", float64(after.Milliseconds()), 1.5*float64(before.Milliseconds()))
	})
}

// TestPolicyLost checks that no request misses its deadline when a target is lost, and
// that the TTFT objectives still hold.
func TestPolicyLost(t *testing.T) {
	forEachDeployment(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		b.LoseTarget = true
		r := b.Run()
		atMost(t, "requests past their deadline", float64(r.Missed()), 0)
		atLeast(t, "share of first tokens within 0.48 s", r.InTime(), 0.95)
		atMost(t, "TTFT p99 of short prompts, ms", float64(r.TTFT(messenger.Short, 0.99).Milliseconds()), 480)
	})
}

// TestPolicyFairLong checks the median TTFT of the other accounts' longer prompts in the
// scenario of TestPolicyFair.
func TestPolicyFairLong(t *testing.T) {
	forEachDeployment(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		overloaded := b
		overloaded.LastAccountFactor = 10
		before, after := b.Run(), overloaded.Run()
		for _, c := range []messenger.Class{messenger.Medium, messenger.Long, messenger.Huge} {
			atMost(t, c.String()+" TTFT p50 of the other accounts, ratio", ttftRatio(b, before, after, c, 0.5), 1.5)
		}
	})
}

// TestPolicyFairSeeds checks the scenario of TestPolicyFair over several traces, which
// together have enough long prompts to check the p95 too. It also checks that the bound
// does not hold without the fair queue.
func TestPolicyFairSeeds(t *testing.T) {
	forEachDeployment(t, 0.8, func(t *testing.T, b bencher.Bencher) {
		overloaded := b
		overloaded.LastAccountFactor = 10
		before, after := runSeeds(b), runSeeds(overloaded)
		for _, c := range []messenger.Class{messenger.Short, messenger.Medium, messenger.Long, messenger.Huge} {
			atMost(t, c.String()+" TTFT p50 of the other accounts, ratio", ttftRatio(b, before, after, c, 0.5), 1.5)
		}
		for _, c := range []messenger.Class{messenger.Short, messenger.Medium, messenger.Huge} {
			atMost(t, c.String()+" TTFT p95 of the other accounts, ratio", ttftRatio(b, before, after, c, 0.95), 1.5)
		}
	})
	t.Run("without the fair queue", func(t *testing.T) {
		b := bencher.Bencher{Deployment: bencher.Laufspur(), Load: 0.8}
		unfair := b
		unfair.LastAccountFactor, unfair.Disabled.Fair = 10, true
		atLeast(t, "Huge TTFT p95 of the other accounts, ratio", ttftRatio(b, runSeeds(b), runSeeds(unfair), messenger.Huge, 0.95), 1.5)
	})
}

// ttftRatio returns the factor by which a percentile of the TTFT of all accounts but the
// overloading one has changed.
func ttftRatio(b bencher.Bencher, before, after *bencher.Result, c messenger.Class, p float64) float64 {
	others := func(account int) bool { return account != len(b.Deployment.Accounts)-1 }
	return float64(after.AccountTTFT(c, p, others)) / float64(before.AccountTTFT(c, p, others))
}

// runSeeds runs eight traces and merges their results.
func runSeeds(b bencher.Bencher) *bencher.Result {
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
