// Package measurer predicts the tokens of a request from what the engines of its
// model reported for earlier ones, never from a caller's claim.
package measurer

import (
	"math"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// DefaultBytes is the bytes of prompt text per token before anything is known.
	DefaultBytes = 4.0
	// DefaultOutput is the answer in tokens before anything is known.
	DefaultOutput = 256

	weight     = 0.05 // of one usage report in the moving averages
	deviations = 2    // added to the mean answer length, so that most fit
	leastText  = 64   // bytes of prompt below which a report says little of the ratio
)

// Size is a predicted request in tokens.
type Size struct {
	Prompt int
	Output int
}

// Measurer learns the token sizes of models. The zero value knows nothing yet.
type Measurer struct {
	models map[string]*learned
}

// learned holds moving averages of one model.
type learned struct {
	bytes     float64 // per token; zero until a report came
	output    float64 // mean answer tokens; zero until a report came
	deviation float64 // mean absolute deviation of the answer
}

// Predict returns the size of a request with text bytes of prompt. Bound is the
// most answer tokens the caller allows, zero for no bound.
func (m *Measurer) Predict(model string, cfg configurer.Model, text, bound int) Size {
	l := m.models[model]
	if l == nil {
		l = &learned{}
	}
	bytes := first(l.bytes, cfg.Bytes, DefaultBytes)
	prompt := int(math.Ceil(float64(text) / bytes))
	return Size{Prompt: max(1, prompt), Output: l.predict(cfg, bound)}
}

func (l *learned) predict(cfg configurer.Model, bound int) int {
	most := bound
	if most <= 0 {
		most = int(first(float64(cfg.Output), DefaultOutput))
	}
	if l.output == 0 {
		return most
	}
	want := int(math.Ceil(l.output + deviations*l.deviation))
	return max(1, min(want, most))
}

// Learn takes the usage that an engine reported for a whole answer.
func (m *Measurer) Learn(model string, text int, u messenger.Usage) {
	if m.models == nil {
		m.models = map[string]*learned{}
	}
	l := m.models[model]
	if l == nil {
		l = &learned{}
		m.models[model] = l
	}
	if u.Prompt > 0 && text >= leastText {
		l.bytes = blend(l.bytes, float64(text)/float64(u.Prompt))
	}
	if u.Output > 0 {
		l.deviation = blend(l.deviation, math.Abs(float64(u.Output)-first(l.output, float64(u.Output))))
		l.output = blend(l.output, float64(u.Output))
	}
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

// first returns the first positive value, or the last.
func first(vs ...float64) float64 {
	for _, v := range vs {
		if v > 0 {
			return v
		}
	}
	return vs[len(vs)-1]
}
