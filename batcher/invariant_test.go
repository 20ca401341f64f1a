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

// init fixes the seed. A seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// model drives an engine with random events and checks its invariants after each one.
type model struct {
	b           *batcher.Batcher
	now         time.Time
	count       int
	active      map[string]bool   // accepted and not ended, by id
	prefillOnly map[string]bool   // by id
	tokens      map[string]uint64 // number of the last token, by id
	cache       map[uint64]int
	changes     uint64
}

func newModel(t *rapid.T) *model {
	m := &model{
		b: newSmallEngine(), now: start, active: map[string]bool{}, prefillOnly: map[string]bool{},
		tokens: map[string]uint64{}, cache: map[uint64]int{},
	}
	m.b.Config.Chunk = rapid.IntRange(5, 100).Draw(t, "chunk")
	m.b.Config.Retention = time.Second
	return m
}

func (m *model) step(t *rapid.T, e batcher.Event) {
	for _, a := range m.b.Step(m.now, e) {
		m.handle(t, a)
	}
	stats := m.b.Stats()
	if stats.Used < 0 || stats.Cached < 0 || stats.Used+stats.Cached > stats.Memory {
		t.Fatalf("%d tokens used and %d cached of %d in total", stats.Used, stats.Cached, stats.Memory)
	}
	if (len(stats.Live) == 0) != (stats.Used == 0) && stats.Running == 0 {
		t.Fatalf("%d tokens in use with live requests %v", stats.Used, stats.Live)
	}
	m.checkCache(t)
}

func (m *model) handle(t *rapid.T, a batcher.Action) {
	switch a.Kind {
	case batcher.Accepted:
		m.active[a.ID] = true
	case batcher.Token:
		if !m.active[a.ID] || a.Seq != m.tokens[a.ID]+1 {
			t.Fatalf("token %d of request %s follows token %d", a.Seq, a.ID, m.tokens[a.ID])
		}
		m.tokens[a.ID]++
	case batcher.Ended:
		if !m.active[a.ID] || a.Seq != m.tokens[a.ID]+1 || uint64(a.Usage.Output) != m.tokens[a.ID] {
			t.Fatalf("end %d of request %s follows token %d, usage %+v", a.Seq, a.ID, m.tokens[a.ID], a.Usage)
		}
		delete(m.active, a.ID)
	case batcher.CacheChanged:
		m.applyCacheChange(t, a)
	}
}

func (m *model) applyCacheChange(t *rapid.T, a batcher.Action) {
	if a.Seq != m.changes+1 {
		t.Fatalf("cache change %d follows change %d", a.Seq, m.changes)
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

// checkCache checks that the reported changes add up to the content of the cache.
func (m *model) checkCache(t *rapid.T) {
	var want []uint64
	for h, n := range m.cache {
		if n < 0 {
			t.Fatalf("cache block %d removed more often than added", h)
		}
		want = append(want, slices.Repeat([]uint64{h}, n)...)
	}
	slices.Sort(want)
	if seq, got := m.b.Cache(); seq != m.changes || !slices.Equal(got, want) {
		t.Fatalf("cache has %d blocks at change %d, reported changes give %d blocks at change %d", len(got), seq, len(want), m.changes)
	}
}

func (m *model) submit(t *rapid.T) {
	m.count++
	r := prompt(fmt.Sprint("r", m.count), rapid.Uint64Range(1, 3).Draw(t, "family"),
		rapid.IntRange(1, 600).Draw(t, "prompt"), rapid.IntRange(1, 20).Draw(t, "output"))
	r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	r.Prefill = rapid.IntRange(0, 4).Draw(t, "prefill") == 0
	r.Remaining = time.Duration(rapid.IntRange(0, 300).Draw(t, "remaining")) * time.Millisecond
	m.prefillOnly[r.ID] = r.Prefill
	m.step(t, batcher.Event{Kind: batcher.Submit, Request: r})
}

func (m *model) cancel(t *rapid.T) {
	id := fmt.Sprint("r", rapid.IntRange(0, m.count+1).Draw(t, "id"))
	m.step(t, batcher.Event{Kind: batcher.Cancel, ID: id})
}

func (m *model) computeStep(t *rapid.T) {
	m.now = m.now.Add(step)
	m.step(t, batcher.Event{})
}

func (m *model) version(t *rapid.T) {
	o := messenger.Order{Verb: batcher.VerbVersion, Version: fmt.Sprint(m.count)}
	m.step(t, batcher.Event{Kind: batcher.Order, Order: o})
}

// drain cancels the holds and computes steps until every request has ended.
func (m *model) drain(t *rapid.T) {
	for i := 1; i <= m.count; i++ {
		if id := fmt.Sprint("r", i); m.prefillOnly[id] {
			m.step(t, batcher.Event{Kind: batcher.Cancel, ID: id})
		}
	}
	for range 100 * m.count {
		if !m.b.Busy() {
			break
		}
		m.computeStep(t)
	}
	if stats := m.b.Stats(); stats.Used != 0 || len(stats.Live) != 0 || len(m.active) != 0 {
		t.Fatalf("idle engine has %d tokens in use, live requests %v, requests without end %v", stats.Used, stats.Live, m.active)
	}
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "cancel": m.cancel, "beat": m.computeStep, "version": m.version,
		})
		m.drain(t)
	})
}
