package scheduler

import "math"

const (
	weight     = 0.05 // of one request in the moving averages
	deviations = 2
	most       = 16.0
)

// stretch is how much longer prefill takes than on an idle target: a moving
// average and its mean absolute deviation. Nil and zero mean not at all.
type stretch struct {
	mean      float64
	deviation float64
}

func (x *stretch) learn(ratio float64) {
	ratio = min(max(ratio, 1), most)
	if x.mean == 0 {
		x.mean = 1
	}
	x.deviation += weight * (math.Abs(ratio-x.mean) - x.deviation)
	x.mean += weight * (ratio - x.mean)
}

// upper returns a bound that most requests stay below, at least one.
func (x *stretch) upper() float64 {
	if x == nil || x.mean == 0 {
		return 1
	}
	return x.mean + deviations*x.deviation
}
