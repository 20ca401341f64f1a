package batcher_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/batcher"
	"bramleyshunt/messenger"
)

// init fixes the seed; the command line still overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// machine drives an engine at random and checks what must hold after each step.
type machine struct {
	b       *batcher.Batcher
	now     time.Time
	count   int
	open    map[string]bool   // accepted and not ended
	holds   map[string]bool   // submitted to be held
	tokens  map[string]uint64 // last number seen
	cache   map[uint64]int
	changes uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		b: small(), now: start, open: map[string]bool{}, holds: map[string]bool{},
		tokens: map[string]uint64{}, cache: map[uint64]int{},
	}
	m.b.Config.Chunk = rapid.IntRange(5, 100).Draw(t, "chunk")
	m.b.Config.Kept = time.Second
	return m
}

func (m *machine) step(t *rapid.T, e batcher.Event) {
	for _, a := range m.b.Step(m.now, e) {
		m.take(t, a)
	}
	f := m.b.Figures()
	if f.Used < 0 || f.Cached < 0 || f.Used+f.Cached > f.Memory {
		t.Fatalf("used %d and cached %d of %d tokens", f.Used, f.Cached, f.Memory)
	}
	if (len(f.Live) == 0) != (f.Used == 0) && f.Running == 0 {
		t.Fatalf("%d tokens used by %v", f.Used, f.Live)
	}
	m.compare(t)
}

func (m *machine) take(t *rapid.T, a batcher.Action) {
	switch a.Kind {
	case batcher.Accepted:
		m.open[a.ID] = true
	case batcher.Token:
		if !m.open[a.ID] || a.Seq != m.tokens[a.ID]+1 {
			t.Fatalf("token %d of %s after %d", a.Seq, a.ID, m.tokens[a.ID])
		}
		m.tokens[a.ID]++
	case batcher.Ended:
		if !m.open[a.ID] || a.Seq != m.tokens[a.ID]+1 || uint64(a.Usage.Output) != m.tokens[a.ID] {
			t.Fatalf("end %d of %s after %d with %+v", a.Seq, a.ID, m.tokens[a.ID], a.Usage)
		}
		delete(m.open, a.ID)
	case batcher.Changed:
		m.change(t, a)
	}
}

func (m *machine) change(t *rapid.T, a batcher.Action) {
	if a.Seq != m.changes+1 {
		t.Fatalf("change %d follows %d", a.Seq, m.changes)
	}
	m.changes = a.Seq
	for _, h := range a.Added {
		m.cache[h]++
	}
	for _, h := range a.Removed {
		m.cache[h]--
		if m.cache[h] == 0 {
			delete(m.cache, h)
		}
	}
}

// compare checks that the changes add up to the cache.
func (m *machine) compare(t *rapid.T) {
	var want []uint64
	for h, n := range m.cache {
		if n < 0 {
			t.Fatalf("block %d removed more often than added", h)
		}
		want = append(want, slices.Repeat([]uint64{h}, n)...)
	}
	slices.Sort(want)
	if seq, got := m.b.Cache(); seq != m.changes || !slices.Equal(got, want) {
		t.Fatalf("cache %d of change %d, changes %d of %d", len(got), seq, len(want), m.changes)
	}
}

func (m *machine) submit(t *rapid.T) {
	m.count++
	r := prompt(fmt.Sprint("r", m.count), rapid.Uint64Range(1, 3).Draw(t, "family"),
		rapid.IntRange(1, 600).Draw(t, "prompt"), rapid.IntRange(1, 20).Draw(t, "output"))
	r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	r.Prefill = rapid.IntRange(0, 4).Draw(t, "prefill") == 0
	r.Remaining = time.Duration(rapid.IntRange(0, 300).Draw(t, "remaining")) * time.Millisecond
	m.holds[r.ID] = r.Prefill
	m.step(t, batcher.Event{Kind: batcher.Submit, Request: r})
}

func (m *machine) cancel(t *rapid.T) {
	id := fmt.Sprint("r", rapid.IntRange(0, m.count+1).Draw(t, "id"))
	m.step(t, batcher.Event{Kind: batcher.Cancel, ID: id})
}

func (m *machine) beat(t *rapid.T) {
	m.now = m.now.Add(step)
	m.step(t, batcher.Event{})
}

func (m *machine) version(t *rapid.T) {
	o := messenger.Order{Verb: batcher.VerbVersion, Version: fmt.Sprint(m.count)}
	m.step(t, batcher.Event{Kind: batcher.Order, Order: o})
}

// settle gives up the holds and runs until every request has ended.
func (m *machine) settle(t *rapid.T) {
	for i := 1; i <= m.count; i++ {
		if id := fmt.Sprint("r", i); m.holds[id] {
			m.step(t, batcher.Event{Kind: batcher.Cancel, ID: id})
		}
	}
	for range 100 * m.count {
		if !m.b.Busy() {
			break
		}
		m.beat(t)
	}
	if f := m.b.Figures(); f.Used != 0 || len(f.Live) != 0 || len(m.open) != 0 {
		t.Fatalf("idle engine has %d tokens, %v, open %v", f.Used, f.Live, m.open)
	}
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "cancel": m.cancel, "beat": m.beat, "version": m.version,
		})
		m.settle(t)
	})
}
