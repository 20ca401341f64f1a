package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// Targets that report their slots are assigned requests by count instead of by tokens,
// and a prompt may be split among several of them. Every entry ranks the targets of a
// service in the same order without communication. Unsplit prompts fill the targets in
// that order, so that few targets decode for them. Split prompts use the remaining
// targets, where a long prefill delays no stream.

const (
	// fillFraction of a target's slots is filled with unsplit prompts before the next
	// target receives any. The remaining slots are left for requests that other entries
	// send meanwhile.
	fillFraction = 0.7
	// peersPerSpareTarget is the number of other entries for which one target more than
	// needed is filled at the same time: the more entries there are, the older their
	// reports of each other's requests.
	peersPerSpareTarget = 10
	// spareChoices is the number of random targets of which the least loaded one is selected
	// where spare targets are filled.
	spareChoices = 4
	// runningTTL is how long a request count reported by a target stays valid. A short
	// answer lasts about that long.
	runningTTL = 3 * time.Second
	// maxPendingPrefill is the pending prefill time at a target above which an unsplit
	// prompt is placed at another target: a longer wait would use up most of the time
	// available to a short prompt.
	maxPendingPrefill = 100 * time.Millisecond
)

// slotCounts is the load of a target that reports its slots, as this entry knows it.
type slotCounts struct {
	inFlight       int            // requests of this entry
	otherInFlight  int            // requests of other entries, as of reportedAt
	reportedAt     time.Time      // when the target last reported its number of requests
	pendingPrefill time.Duration  // prefill of this entry's requests that has not ended
	memory         int            // tokens reserved for requests of this entry
	unsplit        int            // of inFlight, those whose prompt is not split
	gaps           gapCounts      // inter-token gaps that the inFlight requests allow
	peers          messenger.Sent // sum of the reports of the other entries
	hasPeers       bool           // whether reports of other entries are valid
}

// gapCounts counts streams by the inter-token gap that they allow.
type gapCounts map[time.Duration]int

func (g *gapCounts) add(gap time.Duration, n int) {
	if gap == 0 {
		return
	}
	if *g == nil {
		*g = gapCounts{}
	}
	if (*g)[gap] += n; (*g)[gap] <= 0 {
		delete(*g, gap)
	}
}

// shortest returns the shortest gap, or zero if there is none.
func (g gapCounts) shortest() time.Duration {
	lowest := time.Duration(0)
	for gap := range g {
		lowest = messenger.ShorterGap(lowest, gap)
	}
	return lowest
}

// running returns the number of requests at a target. Reports of other entries are
// preferred, as they are newer than the target's own report.
func (s *targetState) running(now time.Time) int {
	switch {
	case s.counts.hasPeers:
		return s.counts.inFlight + s.counts.peers.InFlight
	case now.Sub(s.counts.reportedAt) > runningTTL:
		return s.counts.inFlight
	default:
		return s.counts.inFlight + s.counts.otherInFlight
	}
}

// pendingPrefill returns the prefill time that is outstanding at a target, for all
// entries.
func (s *targetState) pendingPrefill() time.Duration {
	return s.counts.pendingPrefill + time.Duration(s.counts.peers.PendingPrefill)*time.Millisecond
}

// reservedMemory returns the tokens of memory that requests of all entries use or will
// use at a target.
func (s *targetState) reservedMemory() int { return s.counts.memory + s.counts.peers.Memory }

func (s *targetState) slots() int { return s.target.Slots }

// rankTargets sorts the targets of a service in the same order at every entry.
func rankTargets(set []*targetState) []*targetState {
	out := slices.Clone(set)
	slices.SortFunc(out, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target.ID, b.target.ID))
	})
	return out
}

// pickBySlots selects among targets that report their slots.
func (r *Router) pickBySlots(now time.Time, x *serviceIndex, req Request) (Pick, bool) {
	limit := r.slotLimit(now, x)
	open := slices.DeleteFunc(slices.Clone(x.ranked), func(s *targetState) bool {
		r.Examined++
		return !r.mayGet(now, s, req) || slices.Contains(req.Exclude, s.target.ID) || s.running(now) >= limit(s)
	})
	switch {
	case len(open) == 0:
		return Pick{}, false
	case req.Prefill == 0:
		return r.pickLeastLoaded(now, open), true
	case req.PrefillTargets > 1 && !r.Disabled.Pieces:
		return r.pickGang(now, len(x.ranked), withoutLimited(now, open), req)
	case r.Disabled.Fill:
		return r.preferHolder(now, open, r.pickLeastLoaded(now, open), req), true
	default:
		return r.preferHolder(now, open, r.pickFirstFit(now, open), req), true
	}
}

// pickLeastLoaded returns the target with the smallest share of its slots in use,
// starting from a random one, so that ties do not always go to the same target.
func (r *Router) pickLeastLoaded(now time.Time, open []*targetState) Pick {
	best := r.sample(open, 0)
	for _, s := range open[1:] {
		if s.running(now)*best.slots() < best.running(now)*s.slots() {
			best = s
		}
	}
	return Pick{Target: best.target, Running: best.running(now)}
}

// pickFirstFit returns the first target in rank order that accepts an unsplit prompt, or
// the least loaded one if there is none. Many entries would all select the same target
// before they receive each other's reports; they select the least loaded of some random
// targets among as many as are needed, plus some spare ones.
func (r *Router) pickFirstFit(now time.Time, open []*targetState) Pick {
	if spare := r.peers.entries/peersPerSpareTarget + r.unknownEntries(); spare > 0 && !r.Disabled.Spare {
		candidates := slices.DeleteFunc(slices.Clone(open[:min(len(open), targetsNeeded(open)+spare)]), func(s *targetState) bool { return !s.acceptsUnsplit(now) })
		if len(candidates) > 0 {
			return r.pickOfSome(now, candidates)
		}
	}
	best := open[0]
	for _, s := range open {
		if s.acceptsUnsplit(now) {
			return Pick{Target: s.target, Running: s.running(now)}
		}
		if lessLoaded(now, s, best) {
			best = s
		}
	}
	return Pick{Target: best.target, Running: best.running(now)}
}

// unknownEntries returns the number of other live entries whose requests are not known, as
// after a restart of all. Each of them may fill the same targets as this one.
func (r *Router) unknownEntries() int { return max(0, len(r.entries)-1-r.peers.entries) }

// pickOfSome returns the least loaded of spareChoices random targets.
func (r *Router) pickOfSome(now time.Time, candidates []*targetState) Pick {
	best := r.sample(candidates, 0)
	for i := 1; i < min(spareChoices, len(candidates)); i++ {
		if s := r.sample(candidates, i); lessLoaded(now, s, best) {
			best = s
		}
	}
	return Pick{Target: best.target, Running: best.running(now)}
}

// targetsNeeded returns the number of targets that the running unsplit requests fill.
func targetsNeeded(open []*targetState) int {
	load := 0
	for _, s := range open {
		load += s.unsplit()
	}
	return int(math.Ceil(float64(load) / (fillFraction * float64(open[0].slots()))))
}

// acceptsUnsplit reports whether a target has a slot for an unsplit prompt and little
// enough pending prefill.
func (s *targetState) acceptsUnsplit(now time.Time) bool {
	return float64(s.running(now)) < fillFraction*float64(s.slots()) && s.pendingPrefill() <= maxPendingPrefill
}

// lessLoaded compares targets by pending prefill, then by number of requests.
func lessLoaded(now time.Time, a, b *targetState) bool {
	return cmp.Or(cmp.Compare(a.pendingPrefill(), b.pendingPrefill()), cmp.Compare(a.running(now), b.running(now))) < 0
}

// sentBySlots records a request that was sent to its targets.
func (r *Router) sentBySlots(p Pick, req Request) {
	s := r.byID[p.Target.ID]
	s.counts.inFlight++
	s.counts.gaps.add(req.MaxGap, 1)
	if req.PrefillTargets <= 1 {
		s.counts.unsplit++
	}
	r.addMemory(p, req, 1)
	r.addPrefill(p, req, 1)
}

// addMemory adds the memory of a request to its targets (sign 1) or subtracts it (sign -1).
func (r *Router) addMemory(p Pick, req Request, sign int) {
	own := req.Prompt + req.Output
	for i, n := range p.HelperMemory {
		own -= n
		r.addTargetMemory(p.Helpers[i], sign*n)
	}
	r.addTargetMemory(p.Target, sign*max(0, own))
}

func (r *Router) addTargetMemory(t messenger.Target, n int) {
	if s := r.byID[t.ID]; s != nil && s.target.Incarnation == t.Incarnation {
		s.counts.memory = max(0, s.counts.memory+n)
	}
}

// addPrefill adds the parts of a request's prefill to its targets (sign 1) or subtracts
// them (sign -1).
func (r *Router) addPrefill(p Pick, req Request, sign time.Duration) {
	part := p.prefill(req) / time.Duration(1+len(p.Helpers))
	for _, t := range append([]messenger.Target{p.Target}, p.Helpers...) {
		if s := r.byID[t.ID]; s != nil && s.target.Incarnation == t.Incarnation {
			s.counts.pendingPrefill = max(0, s.counts.pendingPrefill+sign*part)
		}
	}
}

// Ended records that a request is over. It has no effect for targets that do not report
// their slots.
func (r *Router) Ended(p Pick, req Request) {
	s := r.byID[p.Target.ID]
	if s == nil || s.slots() == 0 || s.target.Incarnation != p.Target.Incarnation {
		return
	}
	s.counts.inFlight = max(0, s.counts.inFlight-1)
	s.counts.gaps.add(req.MaxGap, -1)
	if req.PrefillTargets <= 1 {
		s.counts.unsplit = max(0, s.counts.unsplit-1)
	}
	r.addMemory(p, req, -1)
}

// recordRunning records the number of requests that a target reports.
func (s *targetState) recordRunning(now time.Time, l messenger.Load) {
	s.counts.otherInFlight, s.counts.reportedAt = max(0, l.Running-s.counts.inFlight), now
}
