// Package scaler decides how many replicas each service and lane should have, by
// the token demand that its targets report. It goes up at once and down slowly:
// only when the highest need of a whole calm window leaves room, and one change
// per pause, so that a steady noisy load causes few changes.
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bramleyshunt/configurer"
)

// Defaults of a Scaler's fields.
const (
	DefaultFill    = 0.7              // share of engine memory in use that is aimed at
	DefaultHorizon = 2 * time.Second  // in which waiting prompt tokens should be prefilled
	DefaultSlots   = 32               // requests in flight per replica of a plain service
	DefaultSmooth  = 10 * time.Second // time constant of the need's moving average
	DefaultCalm    = 10 * time.Minute // window whose highest need bounds a reduction
	DefaultPause   = 5 * time.Minute  // between two reductions of a service's lane
	DefaultMargin  = 0.15             // room above the need that a reduction must leave
)

// MaxReplicas bounds a service without a bound of its own.
const MaxReplicas = 4096

// Key names a group of replicas that are counted together.
type Key struct {
	Service string
	Lane    string
}

// Sample sums up what the active targets of a group report. Counts are tokens but
// for Active and Running; Speed is in tokens a second.
type Sample struct {
	Key     Key
	Active  int // targets that serve
	Waiting int
	Used    int
	Memory  int
	Running int
	Speed   int
}

// Want is the number of replicas that a group should have.
type Want struct {
	Key      Key
	Replicas int
}

// Scaler decides for all groups. The zero value works with the defaults. Not safe
// for concurrent use.
type Scaler struct {
	Fill    float64
	Horizon time.Duration
	Slots   int
	Smooth  time.Duration
	Calm    time.Duration
	Pause   time.Duration
	Margin  float64

	groups map[Key]*group
}

// Step takes one observation and returns the replicas wanted, in order of service
// and lane. Call it about once a second. Samples without a configured service are
// ignored; a group that is not sampled keeps its number for a calm window. A service
// whose lanes together exceed its bound is cut, the lane with the least need
// first, but each lane keeps one replica as long as the bound allows it: without
// any, no need would be seen.
func (s *Scaler) Step(now time.Time, samples []Sample, services map[string]configurer.Service) []Want {
	if s.groups == nil {
		s.groups = map[Key]*group{}
	}
	c := s.withDefaults()
	for i := range samples {
		if m := &samples[i]; has(services, m.Key.Service) {
			s.group(now, m).observe(now, &c, m)
		}
	}
	maps.DeleteFunc(s.groups, func(k Key, g *group) bool {
		return !has(services, k.Service) || now.Sub(g.listed) > c.Calm
	})
	return s.wants(now, services)
}

func has(services map[string]configurer.Service, name string) bool {
	_, ok := services[name]
	return ok
}

func (s *Scaler) group(now time.Time, m *Sample) *group {
	g := s.groups[m.Key]
	if g == nil {
		g = &group{want: m.Active, began: now, reduced: now}
		s.groups[m.Key] = g
	}
	g.listed = now
	return g
}

func (s *Scaler) wants(now time.Time, services map[string]configurer.Service) []Want {
	byService := map[string][]Want{}
	for _, k := range slices.SortedFunc(maps.Keys(s.groups), compare) {
		byService[k.Service] = append(byService[k.Service], Want{Key: k, Replicas: s.groups[k].want})
	}
	var out []Want
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		list := byService[name]
		s.bound(list, services[name])
		for _, w := range list {
			s.groups[w.Key].settle(now, w.Replicas)
		}
		out = append(out, list...)
	}
	return out
}

// bound fits the lanes of one service to its bounds.
func (s *Scaler) bound(list []Want, b configurer.Service) {
	most := b.Most
	if most <= 0 {
		most = MaxReplicas
	}
	total := 0
	for i := range list {
		list[i].Replicas = max(list[i].Replicas, 1)
		total += list[i].Replicas
	}
	for ; total < min(b.Least, most); total++ {
		list[s.pressed(list, 1)].Replicas++
	}
	for ; total > most; total-- {
		list[s.pressed(list, -1)].Replicas--
	}
}

// pressed returns the lane with the most need per replica, or for a negative sign
// the one with the least among those that have several, if any has.
func (s *Scaler) pressed(list []Want, sign float64) int {
	best, score := 0, math.Inf(-1)
	for i, w := range list {
		v := sign * s.groups[w.Key].need / float64(max(w.Replicas, 1))
		if sign < 0 && w.Replicas <= 1 {
			v -= MaxReplicas * float64(2-w.Replicas)
		}
		if v > score {
			best, score = i, v
		}
	}
	return best
}

func (s *Scaler) withDefaults() Scaler {
	c := *s
	c.Fill = cmp.Or(c.Fill, DefaultFill)
	c.Horizon = cmp.Or(c.Horizon, DefaultHorizon)
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.Smooth = cmp.Or(c.Smooth, DefaultSmooth)
	c.Calm = cmp.Or(c.Calm, DefaultCalm)
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	return c
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Lane, b.Lane))
}
