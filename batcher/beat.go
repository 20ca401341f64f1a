package batcher

import (
	"slices"
	"time"
)

// beat computes one step: a token for each decoding request, then prefill in
// chunks with what is left of the budget, both by priority and arrival.
func (b *Batcher) beat(now time.Time) {
	b.admit()
	budget := b.Config.Budget
	for _, w := range slices.Clone(b.works) {
		if w.stage == decoding && budget > 0 {
			budget--
			b.decode(now, w)
		}
	}
	for _, w := range slices.Clone(b.works) {
		if w.stage != prefilling || budget == 0 {
			continue
		}
		if w.Crash {
			b.crashed = true
			b.act(Action{Kind: Crashed, ID: w.ID})
			return
		}
		budget -= b.prefill(now, w, budget)
	}
}

// admit gives memory to waiting requests by priority and arrival. The first
// that does not fit keeps those behind it waiting, so that none starves.
func (b *Batcher) admit() {
	for _, w := range b.works {
		if w.stage != waiting {
			continue
		}
		keys := keysOf(b.weights.state, w.Blocks)
		if !b.memory.fits(keys, w.private) {
			return
		}
		b.memory.take(keys, w.private)
		w.keys, w.state, w.stage = keys, b.weights.state, prefilling
	}
}

func keysOf(state uint64, hashes []uint64) []key {
	keys := make([]key, len(hashes))
	for i, h := range hashes {
		keys[i] = key{state: state, hash: h}
	}
	return keys
}

// prefill computes at most budget tokens of a prompt and returns how many.
func (b *Batcher) prefill(now time.Time, w *work, budget int) int {
	b.skip(w)
	n := min(budget, b.Config.Chunk, w.Prompt-w.done)
	first := w.done / b.Config.Block
	w.done += n
	for _, k := range w.keys[first : w.done/b.Config.Block] {
		b.memory.mark(k)
	}
	if w.done < w.Prompt {
		return n
	}
	if w.Prefill {
		b.hold(w)
		return n
	}
	w.stage = decoding
	b.decode(now, w)
	return n
}

// skip passes over blocks that are in the cache. The last token is always
// computed, for the answer follows from it.
func (b *Batcher) skip(w *work) {
	size := b.Config.Block
	for w.done%size == 0 && w.done+size < w.Prompt && b.memory.isReady(w.keys[w.done/size]) {
		w.done += size
		w.cached += size
	}
}

func (b *Batcher) decode(now time.Time, w *work) {
	w.made++
	b.act(Action{Kind: Token, ID: w.ID, Seq: uint64(w.made)})
	if w.made == w.Output {
		b.finish(now, w, nil)
	}
}
