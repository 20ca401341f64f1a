package placer

import (
	"cmp"
	"maps"
	"slices"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/scaler"
)

// service is a service with the plans for its targets.
type service struct {
	name    string
	spec    configurer.Service
	model   configurer.Model
	desired []scaler.Desired // one for each lane
	plans   []plan           // ordered by target identity

	active       int // targets that accept requests
	desiredTotal int // desired replicas over all lanes
}

// services returns the configured services with desired replicas, ordered by name.
// Targets that leave without Standby are left out.
func services(desired []scaler.Desired, targets []messenger.Target, c *configurer.Configurer) []*service {
	byName := map[string]*service{}
	for _, d := range desired {
		spec, ok := c.Services[d.Key.Service]
		if !ok {
			continue
		}
		s := byName[d.Key.Service]
		if s == nil {
			s = &service{name: d.Key.Service, spec: spec, model: c.Models[spec.Model]}
			byName[s.name] = s
		}
		s.desired = append(s.desired, d)
		s.desiredTotal += d.Replicas
	}
	for i := range targets {
		t := &targets[i]
		if s := byName[t.Service]; s != nil && (!t.Leaving || t.Standby) {
			s.plans = append(s.plans, plan{service: s, target: t, lane: t.Lane})
		}
	}
	out := make([]*service, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		slices.SortFunc(s.plans, func(a, b plan) int { return cmp.Compare(a.target.ID, b.target.ID) })
		out = append(out, s)
	}
	return out
}

// assignTargets decides which targets should serve, and in which lane. It prefers serving
// and loaded targets of the lane, then surplus serving targets of other lanes, then loaded
// targets on standby, which have warm prefix caches and need not load weights.
func (s *service) assignTargets(updating func(target string) bool) {
	for i := range s.plans {
		if s.plans[i].serves() {
			s.active++
		}
	}
	missing := make([]int, len(s.desired))
	for i, d := range s.desired {
		missing[i] = d.Replicas - s.assign(d.Key.Lane, d.Replicas, func(p *plan) bool {
			return p.lane == d.Key.Lane && p.rank() <= warm
		})
	}
	for _, maxRank := range []rank{warm, cold} {
		for i, d := range s.desired {
			missing[i] -= s.assign(d.Key.Lane, missing[i], func(p *plan) bool { return p.rank() <= maxRank })
		}
	}
	s.keepMinimum()
	s.pickUpdate(updating)
}

// assign assigns up to n further targets to a lane, those that can serve soonest first,
// and returns their number.
func (s *service) assign(lane string, n int, fits func(*plan) bool) int {
	var candidates []*plan
	for i := range s.plans {
		if p := &s.plans[i]; !p.shouldServe && fits(p) {
			candidates = append(candidates, p)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *plan) int { return cmp.Compare(a.rank(), b.rank()) })
	n = max(0, min(n, len(candidates)))
	for _, p := range candidates[:n] {
		p.shouldServe, p.lane = true, lane
	}
	return n
}

// keepMinimum lets surplus targets continue to serve if their standby would leave fewer
// serving targets than the configured minimum or the desired number, as happens while
// other targets load.
func (s *service) keepMinimum() {
	excess := s.active - max(s.spec.MinReplicas, s.desiredTotal)
	for i := range slices.Backward(s.plans) {
		p := &s.plans[i]
		if p.shouldServe || !p.serves() {
			continue
		}
		if excess <= 0 {
			p.shouldServe = true
			continue
		}
		excess--
	}
}

// pickUpdate lets one target at a time change its model version: the one that is already
// changing it, else an idle one on standby, else the first outdated one. That target
// serves the old version until the new one is loaded.
func (s *service) pickUpdate(updating func(target string) bool) {
	var chosen *plan
	for i := range s.plans {
		p := &s.plans[i]
		if !p.outdated() {
			continue
		}
		if updating(p.target.ID) {
			chosen = p
			break
		}
		if chosen == nil || p.idle() && !chosen.idle() {
			chosen = p
		}
	}
	if chosen != nil {
		chosen.mayUpdate = true
	}
}
