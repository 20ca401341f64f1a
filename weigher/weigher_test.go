package weigher_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/weigher"
)

// The seed is fixed so that each run has the same result. The flags -rapid.seed and
// -rapid.checks on the command line take precedence.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func drawCandidate(t *rapid.T) weigher.Candidate {
	prompt := rapid.IntRange(1, 1_000_000).Draw(t, "prompt")
	return weigher.Candidate{
		Prompt: prompt, Rate: rapid.IntRange(1, 100_000).Draw(t, "rate"),
		Wait:     time.Duration(rapid.IntRange(0, 10_000).Draw(t, "wait")) * time.Millisecond,
		Hinted:   rapid.IntRange(0, 2*prompt).Draw(t, "hinted"),
		Age:      time.Duration(rapid.IntRange(0, 150).Draw(t, "age")) * time.Second,
		Sent:     rapid.IntRange(0, 1_000_000).Draw(t, "sent"),
		Left:     rapid.OneOf(rapid.Just(weigher.Unbounded), rapid.IntRange(-1000, 1_000_000)).Draw(t, "left"),
		Reported: rapid.Float64Range(-0.5, 1.5).Draw(t, "reported"),
	}
}

func drawWeigher(t *rapid.T) weigher.Weigher {
	return weigher.Weigher{Cache: rapid.IntRange(-1, 500_000).Draw(t, "cache"), Certain: rapid.Bool().Draw(t, "certain")}
}

// TestWeighingIsMonotonic guards against a target that becomes a better choice by a longer
// wait, or a worse one as its prefix is more likely to be cached.
func TestWeighingIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, c := drawWeigher(t), drawCandidate(t)
		e := w.Estimate(c)
		for name, change := range map[string]func(*weigher.Candidate){
			"longer wait":    func(c *weigher.Candidate) { c.Wait += time.Duration(rapid.IntRange(0, 1e9).Draw(t, "more wait")) },
			"older hint":     func(c *weigher.Candidate) { c.Age += time.Duration(rapid.IntRange(0, 1e11).Draw(t, "more age")) },
			"more sent":      func(c *weigher.Candidate) { c.Sent += rapid.IntRange(0, 1e6).Draw(t, "more sent") },
			"less memory":    func(c *weigher.Candidate) { c.Left -= rapid.IntRange(0, 1e6).Draw(t, "less left") },
			"less reported":  func(c *weigher.Candidate) { c.Reported -= rapid.Float64Range(0, 1).Draw(t, "less reported") },
			"shorter prefix": func(c *weigher.Candidate) { c.Hinted = max(0, c.Hinted-rapid.IntRange(0, 1e6).Draw(t, "less hinted")) },
		} {
			worse := c
			change(&worse)
			if got := w.Estimate(worse); got.TTFT < e.TTFT || got.Probability > e.Probability && worse.Hinted > 0 && c.Hinted > 0 {
				t.Errorf("%s: %+v is better than %+v", name, got, e)
			}
		}
	})
}

// TestEstimateIsBounded guards against savings beyond the prefill and probabilities beyond one.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCandidate(t)
		e := drawWeigher(t).Estimate(c)
		if e.Hinted < e.Cached || e.Hinted >= c.Prompt || e.Probability < 0 || e.Probability > 1 || e.Cached < 0 || e.Cached >= c.Prompt || e.TTFT < c.Wait {
			t.Errorf("%+v of %+v", e, c)
		}
	})
}

// TestNoSavingWithoutMemoryOrCache guards against requests that follow a prefix to a target
// that can't have kept it.
func TestNoSavingWithoutMemoryOrCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, c := drawWeigher(t), drawCandidate(t)
		switch rapid.IntRange(0, 3).Draw(t, "why") {
		case 0:
			c.Left = -rapid.IntRange(0, 1e6).Draw(t, "lacking")
		case 1:
			w.Cache = -1
		case 2:
			c.Age = weigher.MaxAge + 1
		default:
			c.Hinted = 0
		}
		without := c
		without.Hinted = 0
		if e := w.Estimate(c); e.Cached != 0 || e.TTFT != w.Estimate(without).TTFT {
			t.Errorf("%+v of %+v", e, c)
		}
	})
}

// TestSecondCopyIsWorthItsPrefill guards against requests that pile up at the one holder of a
// prefix, and against a second copy while the holder's wait is shorter than its prefill.
func TestSecondCopyIsWorthItsPrefill(t *testing.T) {
	const rate = 10_000
	copied := weigher.Weigher{}.Estimate(weigher.Candidate{Prompt: 5000, Rate: rate})
	for wait, want := range map[time.Duration]bool{0: false, 300 * time.Millisecond: false, 390 * time.Millisecond: false, 410 * time.Millisecond: true, time.Second: true} {
		holder := weigher.Weigher{}.Estimate(weigher.Candidate{Prompt: 5000, Rate: rate, Hinted: 4000, Left: weigher.Unbounded, Reported: 1, Wait: wait})
		if got := copied.TTFT < holder.TTFT; got != want {
			t.Errorf("wait of %v: second copy %t, want %t", wait, got, want)
		}
	}
}

// TestProbability guards against hints that are trusted though the prefix is likely to have been
// evicted.
func TestProbability(t *testing.T) {
	fresh := weigher.Candidate{Prompt: 5000, Rate: 10_000, Hinted: 4000, Left: 100_000, Reported: 1}
	for name, c := range map[string]struct {
		change func(*weigher.Candidate)
		cache  int
		want   float64
	}{
		"fresh":                       {func(*weigher.Candidate) {}, 0, 1},
		"old":                         {func(c *weigher.Candidate) { c.Age = weigher.MaxAge }, 0, 0.5},
		"little sent since":           {func(c *weigher.Candidate) { c.Sent = 50_000 }, 0, 1},
		"memory sent since":           {func(c *weigher.Candidate) { c.Sent = 100_000 }, 0, 0.5},
		"much sent since":             {func(c *weigher.Candidate) { c.Sent = 150_000 }, 0, 0},
		"more than the cache":         {func(c *weigher.Candidate) { c.Sent = 50_000 }, 20_000, 0},
		"half reported":               {func(c *weigher.Candidate) { c.Reported = 0.5 }, 0, 0.5},
		"large cache, no memory":      {func(c *weigher.Candidate) { c.Left = 0 }, 1 << 30, 0},
		"memory not known":            {func(c *weigher.Candidate) { c.Left, c.Sent = weigher.Unbounded, 1<<40 }, 0, 1},
		"engine that keeps no prompt": {func(*weigher.Candidate) {}, -1, 0},
	} {
		cand := fresh
		c.change(&cand)
		if got := (weigher.Weigher{Cache: c.cache}).Estimate(cand).Probability; got != c.want {
			t.Errorf("%s: probability %v, want %v", name, got, c.want)
		}
	}
}

// TestReports guards against a target whose hints are always wrong and that is nevertheless
// preferred, and against one that never recovers from wrong hints.
func TestReports(t *testing.T) {
	var r weigher.Reports
	now := time.Unix(1000, 0)
	if got := r.Share(now); got != 1 {
		t.Errorf("share without reports %v, want 1", got)
	}
	for range 10 {
		r.Add(now, 4000, 0)
	}
	if got := r.Share(now); got > 0.1 {
		t.Errorf("share after ten wrong hints %v, want at most 0.1", got)
	}
	if got := r.Share(now.Add(10 * time.Minute)); got < 0.9 {
		t.Errorf("share ten minutes later %v, want at least 0.9", got)
	}
	for range 100 {
		r.Add(now, 200, 0)
		r.Add(now, 200, 200)
	}
	if got := r.Share(now); got > 0.1 {
		t.Errorf("share after hints within a block, of which nothing can be told, %v, want at most 0.1", got)
	}
	for range 10 {
		r.Add(now, 4000, 3900)
	}
	if got := r.Share(now); got < 0.9 {
		t.Errorf("share after ten right hints %v, want at least 0.9", got)
	}
}

// TestIsWrong guards against hints that count as wrong as engines cache whole blocks.
func TestIsWrong(t *testing.T) {
	for _, c := range []struct {
		expected, reported int
		want               bool
	}{{0, 0, false}, {200, 0, false}, {1000, 768, false}, {1000, 700, true}, {8000, 6000, false}, {8000, 5999, true}, {8000, 9000, false}} {
		if got := weigher.IsWrong(c.expected, c.reported); got != c.want {
			t.Errorf("expected %d, reported %d: wrong %t, want %t", c.expected, c.reported, got, c.want)
		}
	}
}
