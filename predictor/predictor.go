// Package predictor predicts the prefill and decode times of an engine from the speed that
// its service declares.
package predictor

import (
	"math"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// MaxUnsplitPrefill is the longest prefill that is not split: together with a decode
	// pass it stays within the inter-token gap that streams of short prompts allow.
	MaxUnsplitPrefill = 70 * time.Millisecond
	// PrefillPerTarget is the maximum prefill time per replica of a split prompt.
	PrefillPerTarget = 50 * time.Millisecond
)

// Predictor predicts the times of one replica. The zero value predicts zero.
type Predictor struct {
	Engine configurer.Engine
}

// HasPrefillRate reports whether the service declares the prefill rate of its engines.
func (p Predictor) HasPrefillRate() bool { return p.Engine.Read > 0 }

// Prefill returns the time that each of the given number of replicas takes to prefill its
// part of a prompt, without concurrent streams. The parts are equal both in tokens and in
// attention pairs (a token and an earlier one).
func (p Predictor) Prefill(tokens, parts int) time.Duration {
	if !p.HasPrefillRate() || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / p.Engine.Read * 1e3
	pairs := n * n / 2 / 1e6 * p.Engine.Pairs
	return milliseconds((linear + pairs) / float64(max(1, parts)))
}

// PrefillTargets returns the number of replicas among which to split a prompt so that none
// of them takes longer than perTarget; one if the whole prefill takes at most maxUnsplit.
func (p Predictor) PrefillTargets(tokens int, maxUnsplit, perTarget time.Duration) int {
	prefill := p.Prefill(tokens, 1)
	if prefill <= maxUnsplit || perTarget <= 0 {
		return 1
	}
	return int(math.Ceil(float64(prefill) / float64(perTarget)))
}

// Pass returns the duration of a decode pass with the given number of streams and no
// prefill. The context is the sum of their tokens. Each stream receives one event per pass.
func (p Predictor) Pass(streams, context int) time.Duration {
	e := p.Engine
	step := e.Step + float64(streams)*e.Seq + float64(context)/1e3*e.Context
	return milliseconds(step * float64(max(1, e.Stride)))
}

// BusyPass returns the duration of a decode pass with a stream of the usual length in each
// slot.
func (p Predictor) BusyPass() time.Duration {
	return p.Pass(p.Engine.Slots, p.Engine.Slots*int(p.Engine.Prompt))
}

// Decode returns the engine time that a busy replica spends on the given number of answer
// tokens of one stream, which is the stream's part of each decode pass.
func (p Predictor) Decode(tokens int) time.Duration {
	e := p.Engine
	return p.BusyPass() * time.Duration(max(0, tokens)) / time.Duration(max(1, e.Stride)*max(1, e.Slots))
}

// DecodeRate returns the tokens per second of each of the given number of streams.
func (p Predictor) DecodeRate(streams, context int) int {
	pass := p.Pass(streams, context)
	if pass <= 0 {
		return 0
	}
	return int(float64(max(1, p.Engine.Stride)) / pass.Seconds())
}

// Load returns the load assumed for a replica that does not report any.
func (p Predictor) Load() messenger.Load {
	streams := p.Engine.Slots / 2 // usual for a busy engine
	return messenger.Load{
		Seq: 1, Speed: int(p.Engine.Read), Memory: p.Engine.Memory,
		Pace: p.DecodeRate(streams, streams*int(p.Engine.Prompt)),
	}
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
