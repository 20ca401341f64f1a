// Package scaler decides how many replicas each lane of a service should have, based
// on the load that its targets report. It scales up at once. It scales down only as far
// as the highest need of a whole stabilization window allows, and at most once per
// reduction interval, so that a steady noisy load causes few changes.
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bramleyshunt/configurer"
)

// Defaults for the fields of a Scaler that are zero.
const (
	DefaultMemoryUtilization   = 0.7              // fraction of engine memory that should be in use
	DefaultPrefillTime         = 2 * time.Second  // time in which all waiting prompt tokens should be prefilled
	DefaultRequestsPerReplica  = 32               // running requests per replica whose targets report no memory, as in a plain service
	DefaultSmoothing           = 10 * time.Second // time constant of the moving average of the need
	DefaultStabilizationWindow = 10 * time.Minute // period whose highest need bounds a reduction
	DefaultReductionInterval   = 5 * time.Minute  // minimum time between two reductions of a lane
	DefaultReductionMargin     = 0.15             // fraction by which the replicas after a reduction must exceed the need
)

// MaxReplicas is the maximum number of replicas of a lane, and of a service that sets
// no maximum.
const MaxReplicas = 4096

// Key identifies a group of replicas that are scaled together.
type Key struct {
	Service string
	Lane    string
}

// Sample is the total load of the active targets of a group. Active counts targets and
// Running counts requests; the other counts are in tokens, Speed in tokens per second.
type Sample struct {
	Key     Key
	Active  int // targets that accept requests
	Waiting int
	Used    int
	Memory  int
	Running int
	Speed   int
}

// Desired is the number of replicas that a group should have.
type Desired struct {
	Key      Key
	Replicas int
}

// Scaler scales all groups. Fields that are zero have the defaults given above. A
// Scaler is not safe for concurrent use.
type Scaler struct {
	MemoryUtilization   float64
	PrefillTime         time.Duration
	RequestsPerReplica  int
	Smoothing           time.Duration
	StabilizationWindow time.Duration
	ReductionInterval   time.Duration
	ReductionMargin     float64

	groups map[Key]*group
}

// Update processes one observation and returns the desired numbers of replicas, ordered
// by service and lane. Call it about once a second. Samples of services that are not
// configured are ignored; a group without samples keeps its number for a stabilization
// window. If the lanes of a service together exceed its maximum, the lane with the least
// need per replica is reduced first. Each lane keeps one replica as long as the maximum
// allows it, since the need of a lane without replicas can't be measured.
func (s *Scaler) Update(now time.Time, samples []Sample, services map[string]configurer.Service) []Desired {
	if s.groups == nil {
		s.groups = map[Key]*group{}
	}
	c := s.withDefaults()
	for i := range samples {
		if sample := &samples[i]; configured(services, sample.Key.Service) {
			s.group(now, sample).observe(now, &c, sample)
		}
	}
	maps.DeleteFunc(s.groups, func(k Key, g *group) bool {
		return !configured(services, k.Service) || now.Sub(g.sampled) > c.StabilizationWindow
	})
	return s.desired(now, services)
}

func configured(services map[string]configurer.Service, name string) bool {
	_, ok := services[name]
	return ok
}

// group returns the group of a sample. A new group starts with the number of its active
// targets.
func (s *Scaler) group(now time.Time, sample *Sample) *group {
	g := s.groups[sample.Key]
	if g == nil {
		g = &group{desired: sample.Active, created: now, lastReduction: now}
		s.groups[sample.Key] = g
	}
	g.sampled = now
	return g
}

// desired returns the desired numbers of all groups within the bounds of their services.
func (s *Scaler) desired(now time.Time, services map[string]configurer.Service) []Desired {
	byService := map[string][]Desired{}
	for _, k := range slices.SortedFunc(maps.Keys(s.groups), compareKeys) {
		byService[k.Service] = append(byService[k.Service], Desired{Key: k, Replicas: s.groups[k].desired})
	}
	var out []Desired
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		lanes := byService[name]
		s.applyBounds(lanes, services[name])
		for _, d := range lanes {
			s.groups[d.Key].setDesired(now, d.Replicas)
		}
		out = append(out, lanes...)
	}
	return out
}

// applyBounds fits the lanes of a service to its minimum and maximum.
func (s *Scaler) applyBounds(lanes []Desired, service configurer.Service) {
	limit := service.MaxReplicas
	if limit <= 0 {
		limit = MaxReplicas
	}
	total := 0
	for i := range lanes {
		lanes[i].Replicas = max(lanes[i].Replicas, 1)
		total += lanes[i].Replicas
	}
	for ; total < min(service.MinReplicas, limit); total++ {
		lanes[s.pickLane(lanes, 1)].Replicas++
	}
	for ; total > limit; total-- {
		lanes[s.pickLane(lanes, -1)].Replicas--
	}
}

// pickLane returns the index of the lane with the highest need per replica. If sign is
// negative it returns the one with the lowest need, and prefers lanes with more than one
// replica.
func (s *Scaler) pickLane(lanes []Desired, sign float64) int {
	best, highest := 0, math.Inf(-1)
	for i, d := range lanes {
		score := sign * s.groups[d.Key].need / float64(max(d.Replicas, 1))
		if sign < 0 && d.Replicas <= 1 {
			score -= MaxReplicas * float64(2-d.Replicas)
		}
		if score > highest {
			best, highest = i, score
		}
	}
	return best
}

func (s *Scaler) withDefaults() Scaler {
	c := *s
	c.MemoryUtilization = cmp.Or(c.MemoryUtilization, DefaultMemoryUtilization)
	c.PrefillTime = cmp.Or(c.PrefillTime, DefaultPrefillTime)
	c.RequestsPerReplica = cmp.Or(c.RequestsPerReplica, DefaultRequestsPerReplica)
	c.Smoothing = cmp.Or(c.Smoothing, DefaultSmoothing)
	c.StabilizationWindow = cmp.Or(c.StabilizationWindow, DefaultStabilizationWindow)
	c.ReductionInterval = cmp.Or(c.ReductionInterval, DefaultReductionInterval)
	c.ReductionMargin = cmp.Or(c.ReductionMargin, DefaultReductionMargin)
	return c
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Lane, b.Lane))
}
