package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
	"bramleyshunt/weigher"
)

// serviceIndex holds the targets of one service by lane, so that the cost of a sample
// does not depend on the size of the service.
type serviceIndex struct {
	all        []*targetState
	short      []*targetState // targets whose lane accepts short prompts
	long       []*targetState // targets whose lane accepts long prompts
	idleLong   []*targetState // targets of the long lane; they accept short prompts while idle
	capacities [2]Capacity    // of short and of long

	bySlots bool           // whether every target reports its slots
	ranked  []*targetState // set if bySlots: all targets, in the order that every entry uses

	byRegions map[string]*serviceIndex // indexes of the targets in some regions, see Router.index
}

// Capacity is the total capacity of the targets that a request may be sent to.
type Capacity struct {
	Targets     int
	PrefillRate int // prefill tokens per second, sum of all targets
	DecodeRate  int // decode tokens per second and request, mean of all targets
	MaxMemory   int // tokens of memory of the largest target
}

// targetState is the state of one target as this entry knows it.
type targetState struct {
	target       messenger.Target
	hash         uint64      // of the target's id
	otherTokens  classTokens // prompt tokens waiting there that other entries sent
	ownTokens    classTokens // prompt tokens that this entry sent and that are not yet prefilled
	ownMemory    int         // tokens of memory for requests that this entry sent since the report
	reportedAt   time.Time   // when the target last reported its load
	refusedUntil time.Time   // no requests are sent before this time
	counts       slotCounts
	limit        rateLimit
	health       health
	sentTokens   int             // prompt and answer tokens that this entry sent, without cached ones
	reports      weigher.Reports // of cached tokens
	pausedUntil  time.Time       // end of the pause that the target asked for; refusedUntil is no earlier
	ramp         *ramper.Target  // nil if its service has no bound
	bound        ramper.Limit
}

// classTokens counts tokens by length class.
type classTokens [messenger.Classes]int

// sumUpTo returns the tokens of a class and of all shorter classes, which an engine
// prefills first.
func (n *classTokens) sumUpTo(c messenger.Class) int {
	sum := 0
	for _, v := range n[:c+1] {
		sum += v
	}
	return sum
}

// Update replaces the set of known targets. A load report older than the recorded one
// of the same incarnation is ignored.
func (r *Router) Update(now time.Time, targets []messenger.Target) {
	byID := make(map[string]*targetState, len(targets))
	byName := map[string]*serviceIndex{}
	for _, t := range targets {
		s := r.byID[t.ID]
		if s == nil || s.target.Incarnation != t.Incarnation {
			s = &targetState{target: t, hash: xxhash.Sum64String(t.ID), otherTokens: t.Load.ByClass, reportedAt: now}
		}
		s.update(now, t)
		if len(r.holds) > 0 {
			r.applyHold(s)
		}
		byID[t.ID] = s
		if !s.target.Leaving {
			x := byName[t.Service]
			if x == nil {
				x = &serviceIndex{}
				byName[t.Service] = x
			}
			x.add(s)
		}
	}
	for _, x := range byName {
		x.complete()
	}
	r.byID, r.byName = byID, byName
	r.updateRamps(now)
	r.applyPeers(now)
	r.expireHolds(now)
}

// capacityOf adds up the reported rates of a set of targets.
func capacityOf(set []*targetState) Capacity {
	var total Capacity
	for _, s := range set {
		total.Targets++
		total.PrefillRate += orDefault(s.target.Load.Speed, DefaultPrefillRate)
		total.DecodeRate += orDefault(s.target.Load.Pace, DefaultDecodeRate)
		total.MaxMemory = max(total.MaxMemory, s.target.Load.Memory)
	}
	total.DecodeRate /= max(1, total.Targets)
	return total
}

// orDefault returns v if it is positive, else fallback.
func orDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

// Capacity returns the capacity of the targets of a service that accept short or long
// prompts.
func (r *Router) Capacity(service string, long bool, regions ...string) Capacity {
	x := r.index(service, regions)
	switch {
	case x == nil:
		return Capacity{}
	case long:
		return x.capacities[1]
	default:
		return x.capacities[0]
	}
}

// IsLong reports whether a prompt of this many tokens is kept off the short lane.
func (r *Router) IsLong(prompt int) bool { return prompt > r.longPrompt() }

// update records the description of a target, and its load if that is newer than the
// recorded one.
func (s *targetState) update(now time.Time, t messenger.Target) {
	known := s.target.Load
	s.target = t
	if t.Load.Seq <= known.Seq {
		s.target.Load = known
		return
	}
	s.recordLoad(now, t.Load)
}

// recordLoad records a load report. The report includes the requests of this entry; they
// are subtracted, as ownTokens counts them separately.
func (s *targetState) recordLoad(now time.Time, l messenger.Load) {
	s.target.Load, s.reportedAt = l, now
	for c := range s.otherTokens {
		s.otherTokens[c] = max(0, l.ByClass[c]-s.ownTokens[c])
	}
	s.ownMemory = 0
}

// complete derives the remaining fields once all targets have been added.
func (x *serviceIndex) complete() {
	x.capacities = [2]Capacity{capacityOf(x.short), capacityOf(x.long)}
	if x.bySlots = !slices.ContainsFunc(x.all, func(s *targetState) bool { return s.slots() == 0 }); x.bySlots {
		x.ranked = rankTargets(x.all)
	}
}

// accepting returns the targets that accept long or short prompts.
func (x *serviceIndex) accepting(long bool) []*targetState {
	if long && !x.bySlots {
		return x.long
	}
	return x.all
}

func (x *serviceIndex) add(s *targetState) {
	x.all = append(x.all, s)
	lane := s.target.Lane
	if lane != LaneLong {
		x.short = append(x.short, s)
	}
	if lane != LaneShort {
		x.long = append(x.long, s)
	}
	if lane == LaneLong {
		x.idleLong = append(x.idleLong, s)
	}
}
