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
	// packedShare of a target's slots in use marks it as one that such prompts fill.
	packedShare = 0.25
	// mostPieces is the most targets that read one prompt: the first and 16 helpers.
	mostPieces = 17
	// reportHolds is how long a target's own count of its requests is believed. A
	// short answer lasts about that long.
	reportHolds = 3 * time.Second
	// memoryShare of a target's memory is given to requests: their answers may grow
	// beyond what was told, and a target that runs out takes back what it gave last.
	memoryShare = 0.95
	// gapShare of the pause that streams allow may go by for a read beside them; the
	// rest is for the pass itself.
	gapShare = 0.9
	// heavyShare of the time for the first token may be spent on the read of a heavy
	// prompt. Callers give up at four times that time.
	heavyShare = 2.4
	// shareSlack is set aside beyond each share, as targets keep memory in blocks.
	shareSlack = 64
	// heldUp is the pending reading at a target above which a prompt read in one
	// piece goes elsewhere: it would cost most of the time that short prompts have.
	heldUp = 100 * time.Millisecond
)

// Heavy reports whether a prompt is placed on idle targets alone. It should not
// wait for them: they are idle for moments only while others come.
func (r *Router) Heavy(c Case) bool {
	x := r.byName[c.Service]
	return x != nil && x.counted && r.heavy(c, x)
}

// counts is what this entry knows of a target that tells its slots.
type counts struct {
	flying  int            // own requests there
	others  int            // other entries' requests, as of heard
	heard   time.Time      // when the target last told its count
	reading time.Duration  // own reads that have not ended
	held    int            // tokens of own requests
	tight   int            // of flying, those whose prompt is read in one piece
	shared  messenger.Sent // what the other entries told of theirs, added up
	sharing bool           // some entry did
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
		return r.spread(now, open, c, r.heavy(c, x))
	case r.Disabled.Fill:
		return r.even(now, open), true
	default:
		return fill(now, open), true
	}
}

func (r *Router) heavy(c Case, x *index) bool {
	return !r.Disabled.Heavy && c.heavy(len(x.ranked))
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

// fill picks the first target in rank that has room and is not reading for long,
// else the one where the least waits.
func fill(now time.Time, open []*state) Pick {
	best := open[0]
	for _, s := range open {
		if float64(s.busy(now)) < fillShare*float64(s.slots()) && s.reading() <= heldUp {
			return Pick{Target: s.target, Busy: s.busy(now)}
		}
		if less(now, s, best) {
			best = s
		}
	}
	return Pick{Target: best.target, Busy: best.busy(now)}
}

func less(now time.Time, a, b *state) bool {
	return cmp.Or(cmp.Compare(a.reading(), b.reading()), cmp.Compare(a.busy(now), b.busy(now))) < 0
}

// spread picks targets that read a prompt together, beyond those that prompts in
// one piece fill. The one with the most room holds it and writes.
func (r *Router) spread(now time.Time, open []*state, c Case, heavy bool) (Pick, bool) {
	set := slices.Clone(open)
	if !r.Disabled.Apart {
		set = loose(now, open)
	}
	if heavy {
		set = slices.DeleteFunc(set, func(s *state) bool { return s.busy(now) > 0 || s.reading() > 0 })
	}
	if len(set) == 0 {
		return Pick{}, false
	}
	slices.SortStableFunc(set, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.reading(), b.reading()), cmp.Compare(a.busy(now), b.busy(now)))
	})
	n := pieces(c, set, heavy)
	if n == 0 {
		return Pick{}, false
	}
	for ; n <= min(len(set), mostPieces); n++ {
		if p, ok := team(now, set[:n], c); ok {
			return p, true
		}
	}
	return Pick{}, false
}

// team has the targets of a set read and hold a prompt. It reports whether they
// have the memory.
func team(now time.Time, set []*state, c Case) (Pick, bool) {
	first := slices.MinFunc(set, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.memory(), b.memory()), cmp.Compare(a.busy(now), b.busy(now)))
	})
	p := Pick{Target: first.target, Busy: first.busy(now)}
	for _, s := range set {
		if s != first {
			p.Helpers = append(p.Helpers, s.target)
			p.Shares = append(p.Shares, 0)
		}
	}
	return p, divide(&p, first, set, c.Prompt+c.Output)
}

// pieces returns how many of a set's targets read a prompt, those with the least
// to read first: so many that it is read soonest. The first token follows the last
// part, so that one more target helps only if it is free before the others have
// read. A heavy prompt gets as few as it needs to be served at all; zero means that
// there are too few.
func pieces(c Case, set []*state, heavy bool) int {
	n := min(len(set), mostPieces)
	if heavy {
		if k := ceil(c.Read, heavyShare*float64(c.Aim)); k <= n {
			return k
		}
		return 0
	}
	best, soonest := 1, time.Duration(math.MaxInt64)
	for k := 1; k <= min(n, c.Pieces); k++ {
		if end := set[k-1].reading() + c.Read/time.Duration(k); end < soonest {
			best, soonest = k, end
		}
	}
	return best
}

// heavy reports whether a prompt would hold up those who write at n targets for
// longer than streams like its own allow. It gets targets only that nobody else
// uses, and few of them.
func (c Case) heavy(n int) bool {
	return c.Gap > 0 && float64(c.Read) > float64(min(n, mostPieces))*gapShare*float64(c.Gap)
}

func ceil(read time.Duration, each float64) int { return int(math.Ceil(float64(read) / each)) }

// divide has helpers set memory aside for what the first target has no room for. It
// reports whether all have room together. Targets without known memory have room.
func divide(p *Pick, first *state, set []*state, need int) bool {
	need -= first.room()
	helpers := slices.DeleteFunc(slices.Clone(set), func(s *state) bool { return s == first })
	for i, s := range helpers {
		if need <= 0 || first.target.Load.Memory == 0 {
			return true
		}
		left := len(helpers) - i
		p.Shares[i] = min((need+left-1)/left+shareSlack, s.room())
		need -= max(0, p.Shares[i]-shareSlack)
	}
	return need <= 0 || first.target.Load.Memory == 0
}

// tight returns the requests at a target whose streams a long read would hold up.
func (s *state) tight() int { return s.counts.tight + s.counts.shared.Tight }

// room returns the tokens of memory that a target has left.
func (s *state) room() int {
	return max(0, int(memoryShare*float64(s.target.Load.Memory))-s.memory())
}

// loose returns the targets that long reads may use: those without streams that
// they would hold up, or if these are less than half, the later half in rank.
func loose(now time.Time, open []*state) []*state {
	set := slices.DeleteFunc(slices.Clone(open[packed(now, open):]), func(s *state) bool { return s.tight() > 0 })
	if half := open[len(open)/2:]; len(set) < len(half) {
		return slices.Clone(half)
	}
	return set
}

// packed returns how many targets from the first in rank are in use by prompts
// read in one piece.
func packed(now time.Time, ranked []*state) int {
	for i, s := range ranked {
		if float64(s.busy(now)) < packedShare*float64(s.slots()) {
			return i
		}
	}
	return len(ranked)
}

// sentCounted notes a request that was given to its targets.
func (r *Router) sentCounted(p Pick, c Case) {
	s := r.byID[p.Target.ID]
	s.counts.flying++
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
	if c.Pieces <= 1 {
		s.counts.tight = max(0, s.counts.tight-1)
	}
	r.holding(p, c, -1)
}

// reportCounted takes a target's count of its requests.
func (s *state) reportCounted(now time.Time, l messenger.Load) {
	s.counts.others, s.counts.heard = max(0, l.Running-s.counts.flying), now
}
