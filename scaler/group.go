package scaler

import (
	"math"
	"time"
)

// windowParts is the number of parts into which the stabilization window is divided;
// the highest need of each part is recorded.
const windowParts = 10

// group is the state of one lane of a service.
type group struct {
	desired       int
	lastDesired   int       // after the bounds of the service, in the last update
	need          float64   // required replicas, exponential moving average
	measured      time.Time // time of the last sample with a measurable need
	sampled       time.Time // time of the last sample
	created       time.Time // time of the first sample
	lastReduction time.Time // time of the last reduction; at first that of the first sample

	peaks      [windowParts + 1]float64 // highest need of each part of the stabilization window
	newestPart int64                    // number of the newest part, counted from the Unix epoch
}

// observe records a sample and updates the desired number of replicas. It raises the
// number at once; it reduces the number only when the group has been observed for a
// stabilization window and the reduction interval has passed.
func (g *group) observe(now time.Time, c *Scaler, s *Sample) {
	n, ok := requiredReplicas(c, s)
	if !ok {
		return
	}
	g.smooth(now, c, n)
	g.recordPeak(now, c)
	if required := int(math.Ceil(g.need)); required > g.desired {
		g.desired = min(required, MaxReplicas)
		return
	}
	if now.Sub(g.created) < c.StabilizationWindow || now.Sub(g.lastReduction) < c.ReductionInterval {
		return
	}
	reduced := int(math.Ceil(g.peak() * (1 + c.ReductionMargin)))
	if reduced < g.desired {
		g.desired = reduced
	}
}

// setDesired sets the number that the bounds of the service allow, and records the
// time if it is a reduction.
func (g *group) setDesired(now time.Time, n int) {
	if n < g.lastDesired {
		g.lastReduction = now
	}
	g.desired = n
	g.lastDesired = n
}

// requiredReplicas returns the number of replicas that the load of a sample requires,
// at most twice the active ones. It returns false if no target of the group is active.
// The load of targets that report no memory is their number of running requests.
func requiredReplicas(c *Scaler, s *Sample) (float64, bool) {
	if s.Active == 0 {
		return 0, false
	}
	active := float64(s.Active)
	if s.Memory <= 0 {
		return float64(s.Running) / float64(c.RequestsPerReplica), true
	}
	n := active * float64(s.Used) / float64(s.Memory) / c.MemoryUtilization
	if s.Speed > 0 {
		n = max(n, active*float64(s.Waiting)/(float64(s.Speed)*c.PrefillTime.Seconds()))
	}
	return min(n, 2*active), true
}

// smooth adds a need to the moving average.
func (g *group) smooth(now time.Time, c *Scaler, n float64) {
	if g.measured.IsZero() {
		g.need = n
	} else {
		elapsed := now.Sub(g.measured).Seconds() / c.Smoothing.Seconds()
		g.need += (n - g.need) * (1 - math.Exp(-elapsed))
	}
	g.measured = now
}

// recordPeak records the need in the part of the window that now falls into, and
// clears the parts that have left the window.
func (g *group) recordPeak(now time.Time, c *Scaler) {
	part := now.UnixNano() / int64(c.StabilizationWindow/windowParts)
	for i := max(g.newestPart+1, part-windowParts); i <= part; i++ {
		g.peaks[i%(windowParts+1)] = 0
	}
	g.newestPart = max(g.newestPart, part)
	p := &g.peaks[g.newestPart%(windowParts+1)]
	*p = max(*p, g.need)
}

// peak returns the highest need within the stabilization window.
func (g *group) peak() float64 {
	highest := 0.0
	for _, p := range g.peaks {
		highest = max(highest, p)
	}
	return highest
}
