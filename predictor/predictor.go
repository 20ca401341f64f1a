// Package predictor predicts how long an engine takes, from the speed that its
// service declares.
package predictor

import (
	"math"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// WholeRead is the longest read that one replica does alone: with a pass it
	// stays within the pauses that streams of short prompts allow.
	WholeRead = 120 * time.Millisecond
	// PieceRead is how long each of several replicas should read.
	PieceRead = 50 * time.Millisecond
)

// Predictor predicts the times of one replica. The zero value predicts none.
type Predictor struct {
	Engine configurer.Engine
}

// Known reports whether the service declares how fast its engines read.
func (p Predictor) Known() bool { return p.Engine.Read > 0 }

// Read returns how long each of so many replicas reads its part of a prompt,
// without the writers beside it. The parts are even, in tokens and in pairs of a
// token and an earlier one.
func (p Predictor) Read(tokens, parts int) time.Duration {
	if !p.Known() || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / p.Engine.Read * 1e3
	pairs := n * n / 2 / 1e6 * p.Engine.Pairs
	return milliseconds((linear + pairs) / float64(max(1, parts)))
}

// Parts returns how many replicas should read a prompt so that none of them reads
// for longer than piece; one if the whole is read within whole.
func (p Predictor) Parts(tokens int, whole, piece time.Duration) int {
	read := p.Read(tokens, 1)
	if read <= whole || piece <= 0 {
		return 1
	}
	return int(math.Ceil(float64(read) / float64(piece)))
}

// Pass returns how long a pass with so many writers takes that reads nothing. The
// context is the sum of their tokens. Each writer gets one event a pass.
func (p Predictor) Pass(writers, context int) time.Duration {
	e := p.Engine
	step := e.Step + float64(writers)*e.Seq + float64(context)/1e3*e.Context
	return milliseconds(step * float64(max(1, e.Stride)))
}

// Busy returns how long a pass takes with a writer of the usual length in each slot.
func (p Predictor) Busy() time.Duration {
	return p.Pass(p.Engine.Slots, p.Engine.Slots*int(p.Engine.Prompt))
}

// Pace returns the tokens a second of one stream among so many writers.
func (p Predictor) Pace(writers, context int) int {
	pass := p.Pass(writers, context)
	if pass <= 0 {
		return 0
	}
	return int(float64(max(1, p.Engine.Stride)) / pass.Seconds())
}

// Load returns the speed and memory of a replica that reports none.
func (p Predictor) Load() messenger.Load {
	writers := p.Engine.Slots / 2 // a busy engine's usual
	return messenger.Load{
		Seq: 1, Speed: int(p.Engine.Read), Memory: p.Engine.Memory,
		Pace: p.Pace(writers, writers*int(p.Engine.Prompt)),
	}
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
