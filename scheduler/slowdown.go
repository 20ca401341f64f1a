package scheduler

import "math"

const (
	sampleWeight = 0.05 // weight of one request in the moving averages
	deviations   = 2    // added to the mean for the upper bound
	maxSlowdown  = 16.0 // samples are clamped to it
)

// slowdown is the ratio of the measured prefill time to that on an idle target: a moving
// average and its mean absolute deviation. Nil and the zero value stand for a ratio of one.
type slowdown struct {
	mean      float64
	deviation float64
}

func (s *slowdown) record(ratio float64) {
	ratio = min(max(ratio, 1), maxSlowdown)
	if s.mean == 0 {
		s.mean = 1
	}
	s.deviation += sampleWeight * (math.Abs(ratio-s.mean) - s.deviation)
	s.mean += sampleWeight * (ratio - s.mean)
}

// upperBound returns a ratio that most requests stay below; it is at least one.
func (s *slowdown) upperBound() float64 {
	if s == nil || s.mean == 0 {
		return 1
	}
	return s.mean + deviations*s.deviation
}
