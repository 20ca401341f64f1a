package bencher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"bramleyshunt/bencher"
	"bramleyshunt/messenger"
)

// prefixPatterns are the load patterns of docs/design/PREFIX-AFFINITY.md.
func prefixPatterns() []variant {
	return []variant{
		{"usual prefixes", func(*bencher.Bencher) {}},
		{"one prefix in half of the traffic", func(b *bencher.Bencher) { b.Prefixes.HotShare = 0.5 }},
		{"one prefix, holders full", func(b *bencher.Bencher) { b.Prefixes = bencher.Prefixes{HotShare: 0.5, Full: true} }},
		{"one prefix, hints wrong", func(b *bencher.Bencher) { b.Prefixes = bencher.Prefixes{HotShare: 0.5, NoCache: true} }},
		{"one prefix, restart of everything", func(b *bencher.Bencher) { b.Prefixes = bencher.Prefixes{HotShare: 0.5, Restart: true} }},
	}
}

// prefixRules are the ways to use hints that the note compares.
func prefixRules() []variant {
	return []variant{
		{"no hints", func(b *bencher.Bencher) { b.Disabled.Router.Cached = true }},
		{"before", func(b *bencher.Bencher) { b.Disabled.Router.Weighing = true }},
		{"weighed", func(*bencher.Bencher) {}},
	}
}

// runPrefixes runs traces of several seeds and merges their results.
func runPrefixes(b bencher.Bencher, seeds int) *bencher.Result {
	all := &bencher.Result{}
	list := make([]uint64, seeds)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	for _, r := range (iter.Mapper[uint64, *bencher.Result]{MaxGoroutines: workers}).Map(list, func(s *uint64) *bencher.Result {
		x := b
		x.Seed = *s
		return x.Run()
	}) {
		all.Add(r)
	}
	return all
}

// TestPrefixTable prints the table of docs/design/PREFIX-AFFINITY.md if the -tables flag is
// "prefixes".
func TestPrefixTable(*testing.T) {
	if *tables != "prefixes" {
		return
	}
	for _, d := range deployments() {
		if !strings.Contains(d.Name, *fleet) {
			continue
		}
		for _, load := range []float64{0.8} {
			for _, p := range prefixPatterns() {
				for _, v := range prefixRules() {
					b := bencher.Bencher{Deployment: d, Load: load, Length: bencher.DefaultLength}
					p.edit(&b)
					v.edit(&b)
					fmt.Printf("| %s | %.0f %% | %s | %s | %s\n", d.Name, 100*load, p.name, v.name, prefixRow(&b, runPrefixes(b, 16)))
				}
			}
		}
	}
}

func prefixRow(b *bencher.Bencher, r *bencher.Result) string {
	ms := func(c messenger.Class, p float64) int64 { return r.TTFT(c, p).Milliseconds() }
	c := r.Cached
	return fmt.Sprintf("%d | %d | %d | %d | %d | %.2f | %.1f | %d | %.1f | %.2f |",
		ms(messenger.Short, 0.5), ms(messenger.Short, 0.95), ms(messenger.Short, 0.99), ms(messenger.Medium, 0.5), ms(messenger.Medium, 0.95),
		100*r.InTime(), 100*float64(c.Reported)/float64(max(1, c.Prompt)), c.Picks, 100*float64(c.Wrong)/float64(max(1, c.Picks)), r.Goodput(b))
}

// TestPrefixAffinity checks each load pattern on some seeds: hints must not cost first tokens in
// time, nor deadlines, against no hints at all.
func TestPrefixAffinity(t *testing.T) {
	for _, p := range prefixPatterns() {
		t.Run(p.name, func(t *testing.T) {
			run := func(hints bool) *bencher.Result {
				b := bencher.Bencher{Deployment: bencher.Laufspur(), Load: 0.8, Length: 20 * time.Second}
				p.edit(&b)
				b.Disabled.Router.Cached = !hints
				return runPrefixes(b, 2)
			}
			with, without := run(true), run(false)
			atLeast(t, "share of first tokens within 0.48 s", with.InTime(), without.InTime()-0.005)
			atMost(t, "TTFT p95 of short prompts, ms", float64(with.TTFT(messenger.Short, 0.95).Milliseconds()), 1.05*float64(without.TTFT(messenger.Short, 0.95).Milliseconds()))
			atMost(t, "TTFT p50 of medium prompts, ms", float64(with.TTFT(messenger.Medium, 0.5).Milliseconds()), 1.05*float64(without.TTFT(messenger.Medium, 0.5).Milliseconds()))
			atMost(t, "requests past their deadline", float64(with.Missed()), float64(without.Missed()))
			if with.Cached.Picks == 0 {
				t.Error("no request followed a cached prefix")
			}
		})
	}
}

// TestWrongHintsLoseTheirEffect guards against requests that go on to follow hints of engines
// which find nothing in their caches.
func TestWrongHintsLoseTheirEffect(t *testing.T) {
	b := bencher.Bencher{Deployment: bencher.Laufspur(), Load: 0.8, Length: bencher.DefaultLength}
	b.Prefixes = bencher.Prefixes{HotShare: 0.5, NoCache: true}
	before := b
	before.Disabled.Router.Weighing = true
	weighed, certain := runPrefixes(b, 1), runPrefixes(before, 1)
	atMost(t, "wrong hints, against those that are taken for certain", float64(weighed.Cached.Wrong), 0.5*float64(certain.Cached.Wrong))
	atMost(t, "tokens expected, against those of hints that are taken for certain", float64(weighed.Cached.Expected), 0.5*float64(certain.Cached.Expected))
}
