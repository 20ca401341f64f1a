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
	name  string
	spec  configurer.Service
	model configurer.Model
	wants []scaler.Want // by lane
	steps []step        // by target identity

	active int // targets that serve
	total  int // replicas wanted over all lanes
}

// services returns the configured services that have wants, in order of names.
func services(wants []scaler.Want, targets []messenger.Target, c *configurer.Configurer) []*service {
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
		s.wants = append(s.wants, w)
		s.total += w.Replicas
	}
	for i := range targets {
		t := &targets[i]
		if s := byName[t.Service]; s != nil && (!t.Leaving || t.Standby) {
			s.steps = append(s.steps, step{service: s, target: t, lane: t.Lane})
		}
	}
	out := make([]*service, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		slices.SortFunc(s.steps, func(a, b step) int { return cmp.Compare(a.target.ID, b.target.ID) })
		out = append(out, s)
	}
	return out
}

// place decides which targets should serve and in which lane. Those of the lane
// come first, then serving ones that another lane has too many of, then loaded
// ones on standby, which keep warm prefixes and need no weights.
func (s *service) place(under func(target string) bool) {
	for i := range s.steps {
		if s.steps[i].serves() {
			s.active++
		}
	}
	missing := make([]int, len(s.wants))
	for i, w := range s.wants {
		missing[i] = w.Replicas - s.fill(w.Key.Lane, w.Replicas, func(st *step) bool {
			return st.lane == w.Key.Lane && st.rank() <= warm
		})
	}
	for _, last := range []rank{warm, cold} {
		for i, w := range s.wants {
			missing[i] -= s.fill(w.Key.Lane, missing[i], func(st *step) bool { return st.rank() <= last })
		}
	}
	s.reduce()
	s.rollOut(under)
}

// fill has up to n further targets serve in a lane, those that can serve soonest
// first, and returns how many do.
func (s *service) fill(lane string, n int, fits func(*step) bool) int {
	var list []*step
	for i := range s.steps {
		if st := &s.steps[i]; !st.wanted && fits(st) {
			list = append(list, st)
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int { return cmp.Compare(a.rank(), b.rank()) })
	n = max(0, min(n, len(list)))
	for _, st := range list[:n] {
		st.wanted, st.lane = true, lane
	}
	return n
}

// reduce takes back standbys that would leave fewer targets serving than the
// least or the wanted number, as while others still load.
func (s *service) reduce() {
	room := s.active - max(s.spec.Least, s.total)
	for i := range slices.Backward(s.steps) {
		st := &s.steps[i]
		if st.wanted || !st.serves() {
			continue
		}
		if room <= 0 {
			st.wanted = true
			continue
		}
		room--
	}
}

// rollOut lets one target at a time change its model version: the one that is
// on its way already, else an idle one on standby, else the first that serves.
// The old version serves until the new one is there.
func (s *service) rollOut(under func(target string) bool) {
	var best *step
	for i := range s.steps {
		st := &s.steps[i]
		if !st.outdated() {
			continue
		}
		if under(st.target.ID) {
			best = st
			break
		}
		if best == nil || st.resting() && !best.resting() {
			best = st
		}
	}
	if best != nil {
		best.rolls = true
	}
}
