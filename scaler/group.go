package scaler

import (
	"math"
	"time"
)

// parts is the number of parts of a calm window that peaks are kept for.
const parts = 10

// group is what is known of one service's lane.
type group struct {
	want    int
	last    int       // wanted after the bounds, at the last step
	need    float64   // replicas, moving average
	seen    time.Time // last sample that tells a need
	listed  time.Time // last sample
	began   time.Time // of the observations
	reduced time.Time // last reduction

	peaks [parts + 1]float64 // highest need of each part of the calm window
	part  int64              // number of the newest part
}

// observe takes a sample and sets the wanted number.
func (g *group) observe(now time.Time, c *Scaler, m *Sample) {
	n, ok := need(c, m)
	if !ok {
		return
	}
	g.average(now, c, n)
	g.keep(now, c)
	if up := int(math.Ceil(g.need)); up > g.want {
		g.want = min(up, MaxReplicas)
		return
	}
	if now.Sub(g.began) < c.Calm || now.Sub(g.reduced) < c.Pause {
		return
	}
	room := int(math.Ceil(g.peak() * (1 + c.Margin)))
	if room < g.want {
		g.want = room
	}
}

// settle takes the number after the service's bounds and notes a reduction.
func (g *group) settle(now time.Time, n int) {
	if n < g.last {
		g.reduced = now
	}
	g.want = n
	g.last = n
}

// need returns the replicas that a sample asks for. It is false if the targets
// report too little to tell.
func need(c *Scaler, m *Sample) (float64, bool) {
	if m.Active == 0 {
		return 0, false
	}
	active := float64(m.Active)
	if m.Memory <= 0 {
		return float64(m.Running) / float64(c.Slots), true
	}
	n := active * float64(m.Used) / float64(m.Memory) / c.Fill
	if m.Speed > 0 {
		n = max(n, active*float64(m.Waiting)/(float64(m.Speed)*c.Horizon.Seconds()))
	}
	return min(n, 2*active), true
}

func (g *group) average(now time.Time, c *Scaler, n float64) {
	if g.seen.IsZero() {
		g.need = n
	} else {
		past := now.Sub(g.seen).Seconds() / c.Smooth.Seconds()
		g.need += (n - g.need) * (1 - math.Exp(-past))
	}
	g.seen = now
}

// keep notes the need in the part of the window that now is in.
func (g *group) keep(now time.Time, c *Scaler) {
	part := now.UnixNano() / int64(c.Calm/parts)
	for i := max(g.part+1, part-parts); i <= part; i++ {
		g.peaks[i%(parts+1)] = 0
	}
	g.part = max(g.part, part)
	p := &g.peaks[g.part%(parts+1)]
	*p = max(*p, g.need)
}

func (g *group) peak() float64 {
	top := 0.0
	for _, p := range g.peaks {
		top = max(top, p)
	}
	return top
}
