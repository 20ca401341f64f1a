package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// This file selects gangs: several targets that prefill one prompt together, each a part
// of it. The request is sent to the first of them; the other ones are its helpers. While a
// target prefills its part, all its streams stop. Package ganger forms gangs of another
// kind, for prompts that exceed the memory of every target: their members prefill one after
// another.
const (
	// maxPrefillTargets is the maximum number of targets that prefill one prompt: the
	// first and 16 helpers.
	maxPrefillTargets = 17
	// gapFraction of the allowed inter-token gap may be spent on a decode pass and the
	// prefill within it; the remainder is left for transmission to the caller.
	gapFraction = 0.9
	// heavyGapFraction of the prompt's own allowed gap is the longest part of a prompt that
	// is not heavy. The remainder is left for the decode pass and for other prefill in it.
	heavyGapFraction = 0.35
	// queueFraction of the time-to-first-token objective may be spent waiting for targets
	// whose streams allow the prefill. The remainder is left for the prefill itself.
	queueFraction = 0.25
	// heavyQueueFraction is the same for heavy prompts, which are refused after it. Callers
	// give up at four times the objective.
	heavyQueueFraction = 2
	// exclusiveFraction of the time-to-first-token objective may be spent on a prefill that
	// has idle targets to itself. The remainder is left for the time before it starts.
	exclusiveFraction = 0.8
	// delayedFraction of the objective may be spent on an exclusive prefill that misses the
	// objective in any case. Callers give up at four times the objective.
	delayedFraction = 2.4
	// idleQueueFraction of the time-to-first-token objective may be spent on the prefill at a
	// target without streams, that of earlier prompts included.
	idleQueueFraction = 0.4
	// filledFraction of a target's slots in use marks it as one that unsplit prompts fill.
	filledFraction = 0.25
	// reservationSlack is reserved in addition at each helper, as targets allocate memory in
	// blocks.
	reservationSlack = 64
	// memoryFraction of a target's memory is assigned to requests: answers may grow beyond
	// the announced length, and a target that runs out of memory takes it back from the
	// request that received it last.
	memoryFraction = 0.95
)

// ShouldRefuse reports whether a prompt is heavy, so that no target accepts it beside
// streams that its prefill would delay, and has waited for eligible targets for the
// maximum time.
func (r *Router) ShouldRefuse(req Request) bool {
	x := r.index(req.Service, req.Regions)
	return x != nil && x.bySlots && !r.Disabled.Heavy && req.heavy(len(x.ranked)) && !r.mayWait(req, len(x.ranked))
}

// mayWait reports whether a prompt may wait longer for targets, of n of the service,
// whose streams allow its prefill.
func (r *Router) mayWait(req Request, n int) bool {
	fraction := queueFraction
	if req.heavy(n) && !r.Disabled.Heavy {
		fraction = heavyQueueFraction
	}
	return req.MaxGap > 0 && float64(req.QueueTime) < fraction*float64(req.Objective)
}

// pickGang selects targets that prefill a prompt together: those whose streams allow it
// and that have the memory, or, if there are none for some time, those where the prefill
// delays the fewest streams. The service has n targets, of which the open ones may accept
// requests.
func (r *Router) pickGang(now time.Time, n int, open []*targetState, req Request) (Pick, bool) {
	byPendingPrefill := func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.pendingPrefill(), b.pendingPrefill()), cmp.Compare(a.running(now), b.running(now)))
	}
	if req.MaxGap > 0 && !r.Disabled.Apart {
		sorted := slices.Clone(open)
		slices.SortStableFunc(sorted, byPendingPrefill)
		if p, ok := r.newGang(now, open, r.withinGaps(sorted, req, n), req); ok {
			return p, true
		}
		if req.heavy(n) && !r.Disabled.Heavy || r.mayWait(req, n) {
			return Pick{}, false
		}
	}
	set := slices.Clone(open)
	if !r.Disabled.Apart {
		set = gangCandidates(now, open)
	}
	slices.SortStableFunc(set, byPendingPrefill)
	most := min(len(set), maxPrefillTargets)
	for k := min(most, req.PrefillTargets); k <= most; k++ { // the shorter the parts, the shorter the delay of each stream
		if p, ok := r.newGang(now, open, set[:k], req); ok {
			return p, true
		}
	}
	return Pick{}, false
}

// withinGaps returns the targets that finish the prefill of a prompt earliest without
// delaying a stream beyond its allowed gap; none if there are too few. The open targets
// are sorted by pending prefill; the service has n targets, open or not.
func (r *Router) withinGaps(open []*targetState, req Request, n int) []*targetState {
	slack := make([]time.Duration, len(open))
	for i, s := range open {
		slack[i] = r.prefillSlack(s, req, req.exclusive(n))
	}
	best, last, earliest := 0, -1, time.Duration(math.MaxInt64)
	for k := req.minPrefillTargets(n, len(open)); k <= min(len(open), maxPrefillTargets, req.PrefillTargets); k++ {
		part := req.Prefill / time.Duration(k)
		i := nth(slack, part, k)
		if i < 0 {
			continue
		}
		if end := open[i].pendingPrefill() + part; end < earliest {
			best, last, earliest = k, i, end
		}
	}
	var set []*targetState
	for i, s := range open[:last+1] {
		if slack[i] >= req.Prefill/time.Duration(best) {
			set = append(set, s)
		}
	}
	return set
}

// nth returns the index of the k-th target with enough slack for a part, or -1 if there
// are fewer.
func nth(slack []time.Duration, part time.Duration, k int) int {
	for i, d := range slack {
		if d >= part {
			k--
		}
		if k == 0 {
			return i
		}
	}
	return -1
}

// exclusive reports whether n targets cannot prefill a prompt without delaying streams
// with the same allowed gap beyond it. Such a prompt is prefilled by idle targets, which
// receive no other requests meanwhile.
func (rq Request) exclusive(n int) bool {
	return rq.Prefill/time.Duration(max(1, min(n, maxPrefillTargets))) > rq.prefillBudget(rq.MaxGap)
}

// prefillBudget returns the prefill time that fits in a decode pass beside streams that
// allow the given gap.
func (rq Request) prefillBudget(gap time.Duration) time.Duration {
	return time.Duration(gapFraction*float64(gap)) - rq.PassTime
}

// minPrefillTargets returns the minimum number of targets that prefill a prompt, given n
// targets of which some are open. For an exclusive prefill it is the number that meets
// the time-to-first-token objective, or, if n targets are too few for that, all open ones,
// as long as the first token comes before the caller gives up.
func (rq Request) minPrefillTargets(n, open int) int {
	if !rq.exclusive(n) || rq.Objective == 0 {
		return 1
	}
	k := ceilRatio(rq.Prefill, exclusiveFraction*float64(rq.Objective))
	if k <= min(n, maxPrefillTargets) {
		return k
	}
	return max(min(open, maxPrefillTargets), ceilRatio(rq.Prefill, delayedFraction*float64(rq.Objective)))
}

// prefillSlack returns how long a target may prefill a prompt. An exclusive prefill may
// use idle targets for any time.
func (r *Router) prefillSlack(s *targetState, req Request, exclusive bool) time.Duration {
	gap := messenger.ShorterGap(s.counts.gaps.shortest(), time.Duration(s.counts.peers.MinGap)*time.Millisecond)
	if gap == 0 && exclusive {
		if s.pendingPrefill() > 0 {
			return -1
		}
		return math.MaxInt64
	}
	if gap == 0 && req.Objective > 0 && !r.Disabled.IdleQueue {
		return time.Duration(idleQueueFraction*float64(req.Objective)) - s.pendingPrefill()
	}
	return req.prefillBudget(messenger.ShorterGap(gap, req.MaxGap)) - s.pendingPrefill()
}

// newGang assigns the prefill and the memory of a prompt to a set of targets. The one that
// decodes may replace the last of them; otherwise it is the one with the least reserved
// memory. It returns false if the set is empty or lacks the memory. The open targets are in
// rank order.
func (r *Router) newGang(now time.Time, open, set []*targetState, req Request) (Pick, bool) {
	if len(set) == 0 {
		return Pick{}, false
	}
	first := r.decodeTarget(open, set, req)
	switch {
	case first == nil:
		first = slices.MinFunc(set, func(a, b *targetState) int {
			return cmp.Or(cmp.Compare(a.reservedMemory(), b.reservedMemory()), cmp.Compare(a.running(now), b.running(now)))
		})
	case !slices.Contains(set, first):
		set = append([]*targetState{first}, set[:len(set)-1]...)
	}
	p := Pick{Target: first.target, Running: first.running(now)}
	for _, s := range set {
		if s != first {
			p.Helpers = append(p.Helpers, s.target)
			p.HelperMemory = append(p.HelperMemory, 0)
		}
	}
	return p, reserveMemory(&p, first, set, req.Prompt+req.Output)
}

// decodeTarget returns the first target in rank order that has the memory for a prompt and
// whose streams allow a part of its prefill, nil if there is none. As all long prompts
// decode on few targets, the other ones can prefill without delaying a stream.
func (r *Router) decodeTarget(open, set []*targetState, req Request) *targetState {
	if r.Disabled.Group {
		return nil
	}
	part := req.Prefill / time.Duration(len(set))
	for _, s := range open {
		if s.freeMemory() >= req.Prompt+req.Output && (slices.Contains(set, s) || r.prefillSlack(s, req, false) >= part) {
			return s
		}
	}
	return nil
}

// heavy reports whether the prefill of a prompt, split among n targets, would delay their
// streams by about the gap that the prompt itself allows.
func (rq Request) heavy(n int) bool {
	return rq.MaxGap > 0 && float64(rq.Prefill) > float64(min(n, maxPrefillTargets))*heavyGapFraction*float64(rq.MaxGap)
}

// ceilRatio returns total divided by part, rounded up.
func ceilRatio(total time.Duration, part float64) int { return int(math.Ceil(float64(total) / part)) }

// reserveMemory distributes among the helpers the memory that the first target lacks, and
// reports whether all of them together have enough. A first target of unknown memory has
// enough.
func reserveMemory(p *Pick, first *targetState, set []*targetState, need int) bool {
	need -= first.freeMemory()
	helpers := slices.DeleteFunc(slices.Clone(set), func(s *targetState) bool { return s == first })
	for i, s := range helpers {
		if need <= 0 || first.target.Load.Memory == 0 {
			return true
		}
		remaining := len(helpers) - i
		p.HelperMemory[i] = min((need+remaining-1)/remaining+reservationSlack, s.freeMemory())
		need -= max(0, p.HelperMemory[i]-reservationSlack)
	}
	return need <= 0 || first.target.Load.Memory == 0
}

// unsplit returns the number of requests at a target with an unsplit prompt, whose streams
// a long prefill would delay.
func (s *targetState) unsplit() int { return s.counts.unsplit + s.counts.peers.Unsplit }

// freeMemory returns the tokens of memory that are free for requests at a target.
func (s *targetState) freeMemory() int {
	return max(0, int(memoryFraction*float64(s.target.Load.Memory))-s.reservedMemory())
}

// gangCandidates returns the targets that long prefills may use: those without streams
// that the prefill would delay, or, if these are less than half of the open targets, the
// second half in rank order.
func gangCandidates(now time.Time, open []*targetState) []*targetState {
	set := slices.DeleteFunc(slices.Clone(open[filledPrefix(now, open):]), func(s *targetState) bool { return s.unsplit() > 0 })
	if half := open[len(open)/2:]; len(set) < len(half) {
		return slices.Clone(half)
	}
	return set
}

// filledPrefix returns the number of targets, from the first in rank order, that unsplit
// prompts fill.
func filledPrefix(now time.Time, ranked []*targetState) int {
	for i, s := range ranked {
		if float64(s.running(now)) < filledFraction*float64(s.slots()) {
			return i
		}
	}
	return len(ranked)
}
