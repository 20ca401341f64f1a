package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

// Targets that tell their slots are given requests by count, not by tokens, and
// prompts may be read by several of them at once. All entries rank the targets of
// a service alike, without a word between them. Prompts read in one piece fill
// them in that order, so that few targets write for them; prompts read in pieces
// use the others, where a long read holds up nobody who writes.

const (
	// fillShare of a target's slots are used by prompts read in one piece before
	// the next target gets any. The rest is left for what other entries send
	// meanwhile.
	fillShare = 0.7
	// sharersPerSpare is the number of other entries for which one more target than is
	// needed is filled at a time: the more they are, the later they hear of each other.
	sharersPerSpare = 10
	// reportHolds is how long a target's own count of its requests is believed. A
	// short answer lasts about that long.
	reportHolds = 3 * time.Second
	// heldUp is the pending reading at a target above which a prompt read in one
	// piece goes elsewhere: it would cost most of the time that short prompts have.
	heldUp = 100 * time.Millisecond
)

// counts is what this entry knows of a target that tells its slots.
type counts struct {
	flying  int            // own requests there
	others  int            // other entries' requests, as of heard
	heard   time.Time      // when the target last told its count
	reading time.Duration  // own reads that have not ended
	held    int            // tokens of own requests
	tight   int            // of flying, those whose prompt is read in one piece
	gaps    pauses         // that the streams of flying allow
	shared  messenger.Sent // what the other entries told of theirs, added up
	sharing bool           // some entry did
}

// pauses counts streams by the pause that they allow.
type pauses map[time.Duration]int

func (p *pauses) add(gap time.Duration, n int) {
	if gap == 0 {
		return
	}
	if *p == nil {
		*p = pauses{}
	}
	if (*p)[gap] += n; (*p)[gap] <= 0 {
		delete(*p, gap)
	}
}

// least returns the shortest pause, zero if there is none.
func (p pauses) least() time.Duration {
	least := time.Duration(0)
	for gap := range p {
		least = shorter(least, gap)
	}
	return least
}

// shorter returns the shorter of two pauses, of which zero is none.
func shorter[T int | time.Duration](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// busy returns the requests at a target. What other entries tell is newer than
// what the target last did.
func (s *state) busy(now time.Time) int {
	switch {
	case s.counts.sharing:
		return s.counts.flying + s.counts.shared.Flying
	case now.Sub(s.counts.heard) > reportHolds:
		return s.counts.flying
	default:
		return s.counts.flying + s.counts.others
	}
}

// reading returns what is still to be read at a target.
func (s *state) reading() time.Duration {
	return s.counts.reading + time.Duration(s.counts.shared.Reading)*time.Millisecond
}

// memory returns the tokens of memory that requests have or will have at a target.
func (s *state) memory() int { return s.counts.held + s.counts.shared.Held }

func (s *state) slots() int { return s.target.Slots }

// rank orders the targets of a service in the same way at every entry.
func rank(set []*state) []*state {
	out := slices.Clone(set)
	slices.SortFunc(out, func(a, b *state) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.target.ID), xxhash.Sum64String(b.target.ID)), cmp.Compare(a.target.ID, b.target.ID))
	})
	return out
}

// pickCounted chooses among targets that tell their slots.
func (r *Router) pickCounted(now time.Time, x *index, c Case) (Pick, bool) {
	open := slices.DeleteFunc(slices.Clone(x.ranked), func(s *state) bool {
		r.Examined++
		return now.Before(s.until) || slices.Contains(c.Exclude, s.target.ID) || s.busy(now) >= s.slots()
	})
	switch {
	case len(open) == 0:
		return Pick{}, false
	case c.Read == 0:
		return r.even(now, open), true
	case c.Pieces > 1 && !r.Disabled.Pieces:
		return r.spread(now, len(x.ranked), open, c)
	case r.Disabled.Fill:
		return r.even(now, open), true
	default:
		return r.fill(now, open), true
	}
}

// even picks the target with the most free slots; equal ones take turns.
func (r *Router) even(now time.Time, open []*state) Pick {
	best := r.swap(open, 0)
	for _, s := range open[1:] {
		if s.busy(now)*best.slots() < best.busy(now)*s.slots() {
			best = s
		}
	}
	return Pick{Target: best.target, Busy: best.busy(now)}
}

// fill picks the first target in rank that has room, else the one where the least
// waits. Many entries would all take the same one before they hear of each other: they
// take the better one of two at random among as many as are needed and some more.
func (r *Router) fill(now time.Time, open []*state) Pick {
	if spare := len(r.shares) / sharersPerSpare; spare > 0 {
		few := slices.DeleteFunc(slices.Clone(open[:min(len(open), needed(open)+spare)]), func(s *state) bool { return !s.takes(now) })
		if len(few) > 0 {
			return r.either(now, few)
		}
	}
	best := open[0]
	for _, s := range open {
		if s.takes(now) {
			return Pick{Target: s.target, Busy: s.busy(now)}
		}
		if less(now, s, best) {
			best = s
		}
	}
	return Pick{Target: best.target, Busy: best.busy(now)}
}

// either picks the better one of two at random.
func (r *Router) either(now time.Time, few []*state) Pick {
	s := r.swap(few, 0)
	if len(few) > 1 && less(now, r.swap(few, 1), s) {
		s = few[1]
	}
	return Pick{Target: s.target, Busy: s.busy(now)}
}

// needed returns how many targets the requests read in one piece fill.
func needed(open []*state) int {
	load := 0
	for _, s := range open {
		load += s.tight()
	}
	return int(math.Ceil(float64(load) / (fillShare * float64(open[0].slots()))))
}

// takes reports whether a target has room for a prompt read in one piece and is not
// reading for long.
func (s *state) takes(now time.Time) bool {
	return float64(s.busy(now)) < fillShare*float64(s.slots()) && s.reading() <= heldUp
}

func less(now time.Time, a, b *state) bool {
	return cmp.Or(cmp.Compare(a.reading(), b.reading()), cmp.Compare(a.busy(now), b.busy(now))) < 0
}

// sentCounted notes a request that was given to its targets.
func (r *Router) sentCounted(p Pick, c Case) {
	s := r.byID[p.Target.ID]
	s.counts.flying++
	s.counts.gaps.add(c.Gap, 1)
	if c.Pieces <= 1 {
		s.counts.tight++
	}
	r.holding(p, c, 1)
	r.reading(p, c, 1)
}

// holding adds a request's memory to what its targets hold, or takes it away.
func (r *Router) holding(p Pick, c Case, sign int) {
	own := c.Prompt + c.Output
	for i, n := range p.Shares {
		own -= n
		r.hold(p.Helpers[i], sign*n)
	}
	r.hold(p.Target, sign*max(0, own))
}

func (r *Router) hold(t messenger.Target, n int) {
	if s := r.byID[t.ID]; s != nil && s.target.Incarnation == t.Incarnation {
		s.counts.held = max(0, s.counts.held+n)
	}
}

// reading adds a request's part to what its targets read, or takes it away.
func (r *Router) reading(p Pick, c Case, sign time.Duration) {
	part := c.Read / time.Duration(1+len(p.Helpers))
	for _, t := range append([]messenger.Target{p.Target}, p.Helpers...) {
		if s := r.byID[t.ID]; s != nil && s.target.Incarnation == t.Incarnation {
			s.counts.reading = max(0, s.counts.reading+sign*part)
		}
	}
}

// Ended records that a request is over. Targets that don't tell their slots are
// not counted.
func (r *Router) Ended(p Pick, c Case) {
	s := r.byID[p.Target.ID]
	if s == nil || s.slots() == 0 || s.target.Incarnation != p.Target.Incarnation {
		return
	}
	s.counts.flying = max(0, s.counts.flying-1)
	s.counts.gaps.add(c.Gap, -1)
	if c.Pieces <= 1 {
		s.counts.tight = max(0, s.counts.tight-1)
	}
	r.holding(p, c, -1)
}

// reportCounted takes a target's count of its requests.
func (s *state) reportCounted(now time.Time, l messenger.Load) {
	s.counts.others, s.counts.heard = max(0, l.Running-s.counts.flying), now
}
