package placer

import (
	"cmp"
	"maps"
	"slices"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/scaler"
)

// service is one service with its targets and what is wanted of it.
type service struct {
	name    string
	spec    configurer.Service
	model   configurer.Model
	desired []scaler.Desired // by lane
	plans   []plan           // by target identity

	active       int // targets that serve
	desiredTotal int // replicas wanted over all lanes
}

// services returns the configured services that have wants, in order of names.
func services(wants []scaler.Desired, targets []messenger.Target, c *configurer.Configurer) []*service {
	byName := map[string]*service{}
	for _, w := range wants {
		spec, ok := c.Services[w.Key.Service]
		if !ok {
			continue
		}
		s := byName[w.Key.Service]
		if s == nil {
			s = &service{name: w.Key.Service, spec: spec, model: c.Models[spec.Model]}
			byName[s.name] = s
		}
		s.desired = append(s.desired, w)
		s.desiredTotal += w.Replicas
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

// assignTargets decides which targets should serve and in which lane. Those of the lane
// come first, then serving ones that another lane has too many of, then loaded
// ones on standby, which keep warm prefixes and need no weights.
func (s *service) assignTargets(under func(target string) bool) {
	for i := range s.plans {
		if s.plans[i].serves() {
			s.active++
		}
	}
	missing := make([]int, len(s.desired))
	for i, w := range s.desired {
		missing[i] = w.Replicas - s.assign(w.Key.Lane, w.Replicas, func(st *plan) bool {
			return st.lane == w.Key.Lane && st.rank() <= warm
		})
	}
	for _, last := range []rank{warm, cold} {
		for i, w := range s.desired {
			missing[i] -= s.assign(w.Key.Lane, missing[i], func(st *plan) bool { return st.rank() <= last })
		}
	}
	s.keepMinimum()
	s.pickUpdate(under)
}

// assign has up to n further targets serve in a lane, those that can serve soonest
// first, and returns how many do.
func (s *service) assign(lane string, n int, fits func(*plan) bool) int {
	var list []*plan
	for i := range s.plans {
		if st := &s.plans[i]; !st.shouldServe && fits(st) {
			list = append(list, st)
		}
	}
	slices.SortStableFunc(list, func(a, b *plan) int { return cmp.Compare(a.rank(), b.rank()) })
	n = max(0, min(n, len(list)))
	for _, st := range list[:n] {
		st.shouldServe, st.lane = true, lane
	}
	return n
}

// keepMinimum takes back standbys that would leave fewer targets serving than the
// least or the wanted number, as while others still load.
func (s *service) keepMinimum() {
	room := s.active - max(s.spec.Least, s.desiredTotal)
	for i := range slices.Backward(s.plans) {
		st := &s.plans[i]
		if st.shouldServe || !st.serves() {
			continue
		}
		if room <= 0 {
			st.shouldServe = true
			continue
		}
		room--
	}
}

// pickUpdate lets one target at a time change its model version: the one that is
// on its way already, else an idle one on standby, else the first that serves.
// The old version serves until the new one is there.
func (s *service) pickUpdate(under func(target string) bool) {
	var best *plan
	for i := range s.plans {
		st := &s.plans[i]
		if !st.outdated() {
			continue
		}
		if under(st.target.ID) {
			best = st
			break
		}
		if best == nil || st.idle() && !best.idle() {
			best = st
		}
	}
	if best != nil {
		best.mayUpdate = true
	}
}
