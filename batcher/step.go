package batcher

import (
	"slices"
	"time"
)

// computeStep computes one step: it decodes one token of each decoding request, then
// prefills in chunks with the remaining budget, both by priority and arrival.
func (b *Batcher) computeStep(now time.Time) {
	b.admit()
	budget := b.Config.Budget
	for _, j := range slices.Clone(b.jobs) {
		if j.stage == decoding && budget > 0 {
			budget--
			b.decode(now, j)
		}
	}
	for _, j := range slices.Clone(b.jobs) {
		if j.stage != prefilling || budget == 0 {
			continue
		}
		if j.Crash {
			b.crashed = true
			b.emit(Action{Kind: Crashed, ID: j.ID})
			return
		}
		budget -= b.prefill(now, j, budget)
	}
}

// admit reserves memory for waiting requests by priority and arrival. The first one
// that does not fit blocks those behind it, so that large requests don't starve.
func (b *Batcher) admit() {
	for _, j := range b.jobs {
		if j.stage != waiting {
			continue
		}
		keys := blockKeys(b.weights.epoch, j.BlockHashes)
		if !b.memory.fits(keys, j.private) {
			return
		}
		b.memory.reserve(keys, j.private)
		j.keys, j.epoch, j.stage = keys, b.weights.epoch, prefilling
	}
}

func blockKeys(epoch uint64, hashes []uint64) []key {
	keys := make([]key, len(hashes))
	for i, h := range hashes {
		keys[i] = key{epoch: epoch, hash: h}
	}
	return keys
}

// prefill computes at most budget tokens of a prompt and returns their number.
func (b *Batcher) prefill(now time.Time, j *job, budget int) int {
	b.skipCached(j)
	n := min(budget, b.Config.Chunk, j.Prompt-j.prefilled)
	first := j.prefilled / b.Config.Block
	j.prefilled += n
	for _, k := range j.keys[first : j.prefilled/b.Config.Block] {
		b.memory.markReady(k)
	}
	if j.prefilled < j.Prompt {
		return n
	}
	if j.Prefill {
		b.hold(j)
		return n
	}
	j.stage = decoding
	b.decode(now, j)
	return n
}

// skipCached advances past blocks that are in the cache. The last prompt token is
// always computed, because the first answer token depends on it.
func (b *Batcher) skipCached(j *job) {
	size := b.Config.Block
	for j.prefilled%size == 0 && j.prefilled+size < j.Prompt && b.memory.isReady(j.keys[j.prefilled/size]) {
		j.prefilled += size
		j.cached += size
	}
}

func (b *Batcher) decode(now time.Time, j *job) {
	j.generated++
	b.emit(Action{Kind: Token, ID: j.ID, Seq: uint64(j.generated)})
	if j.generated == j.Output {
		b.finish(now, j, nil)
	}
}
