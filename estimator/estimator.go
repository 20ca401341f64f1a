// Package estimator predicts the number of prompt and answer tokens of a request. It relies
// on the usage that engines of the model reported for earlier requests, never on numbers
// claimed by a caller.
package estimator

import (
	"math"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// DefaultBytesPerToken is the number of prompt bytes per token assumed without
	// configuration or usage reports.
	DefaultBytesPerToken = 4.0
	// DefaultOutput is the number of answer tokens assumed without a bound, configuration or
	// usage reports.
	DefaultOutput = 256

	sampleWeight   = 0.05 // weight of one usage report in the moving averages
	deviations     = 2    // added to the mean answer length, so that most answers stay below the prediction
	minPromptBytes = 64   // shorter prompts give an unreliable number of bytes per token
)

// Size is the predicted size of a request in tokens.
type Size struct {
	Prompt int
	Output int
}

// Estimator keeps usage averages by model. The zero value is ready to use.
type Estimator struct {
	models map[string]*averages
}

// averages holds the moving averages of one model.
type averages struct {
	bytesPerToken   float64 // zero until usage is reported
	meanOutput      float64 // in tokens; zero until usage is reported
	outputDeviation float64 // mean absolute deviation of the answer tokens
}

// Predict returns the size of a request with the given number of prompt bytes. Bound is the
// maximum number of answer tokens that the caller allows, or zero for no bound.
func (e *Estimator) Predict(model string, cfg configurer.Model, promptBytes, bound int) Size {
	a := e.models[model]
	if a == nil {
		a = &averages{}
	}
	bytesPerToken := firstPositive(a.bytesPerToken, cfg.Bytes, DefaultBytesPerToken)
	prompt := int(math.Ceil(float64(promptBytes) / bytesPerToken))
	return Size{Prompt: max(1, prompt), Output: a.predict(cfg, bound)}
}

func (a *averages) predict(cfg configurer.Model, bound int) int {
	limit := bound
	if limit <= 0 {
		limit = int(firstPositive(float64(cfg.Output), DefaultOutput))
	}
	if a.meanOutput == 0 {
		return limit
	}
	predicted := int(math.Ceil(a.meanOutput + deviations*a.outputDeviation))
	return max(1, min(predicted, limit))
}

// RecordUsage records the usage that an engine reported for a complete answer to a prompt
// of the given number of bytes.
func (e *Estimator) RecordUsage(model string, promptBytes int, u messenger.Usage) {
	if e.models == nil {
		e.models = map[string]*averages{}
	}
	a := e.models[model]
	if a == nil {
		a = &averages{}
		e.models[model] = a
	}
	if u.Prompt > 0 && promptBytes >= minPromptBytes {
		a.bytesPerToken = movingAverage(a.bytesPerToken, float64(promptBytes)/float64(u.Prompt))
	}
	if u.Output > 0 {
		a.outputDeviation = movingAverage(a.outputDeviation, math.Abs(float64(u.Output)-firstPositive(a.meanOutput, float64(u.Output))))
		a.meanOutput = movingAverage(a.meanOutput, float64(u.Output))
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// firstPositive returns the first positive value, or the last value if there is none.
func firstPositive(vs ...float64) float64 {
	for _, v := range vs {
		if v > 0 {
			return v
		}
	}
	return vs[len(vs)-1]
}
