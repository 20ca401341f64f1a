package router

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What follows places prompts that several targets read together. A part holds up all
// who write at its target for as long as it is read.
const (
	// mostPieces is the most targets that read one prompt: the first and 16 helpers.
	mostPieces = 17
	// gapShare of the pause that streams allow may go by for a pass and what is read
	// in it; the rest is for the way to the caller.
	gapShare = 0.9
	// heavyGap of its own pause is the longest part of a prompt that is not heavy. The
	// rest is for the pass, and for what else is read in it.
	heavyGap = 0.7
	// patientShare of the time for the first token may go by until targets are found
	// whose streams bear a read. The rest is for the read itself.
	patientShare = 0.25
	// aloneShare of the time for the first token may be spent on a read that idle
	// targets do alone. The rest is for the way to it.
	aloneShare = 0.8
	// lateShare of that time may be spent on one that comes late in any case. Callers
	// give up at four times that time.
	lateShare = 2.4
	// packedShare of a target's slots in use marks it as one that such prompts fill.
	packedShare = 0.25
	// shareSlack is set aside beyond each share, as targets keep memory in blocks.
	shareSlack = 64
	// memoryShare of a target's memory is given to requests: their answers may grow
	// beyond what was told, and a target that runs out takes back what it gave last.
	memoryShare = 0.95
)

// Heavy reports whether a prompt is so long that no target takes it beside streams
// that its read would hold up, and has waited for such targets as long as it may.
func (r *Router) Heavy(c Case) bool {
	x := r.byName[c.Service]
	return x != nil && x.counted && !r.Disabled.Heavy && c.heavy(len(x.ranked)) && !c.patient()
}

// patient reports whether a prompt waits for targets whose streams bear its read.
func (c Case) patient() bool {
	return c.Gap > 0 && float64(c.Waited) < patientShare*float64(c.Aim)
}

// spread picks targets that read a prompt together: those whose streams bear it and
// that have the memory, or if there are none for some time, those with the least to lose.
func (r *Router) spread(now time.Time, n int, open []*state, c Case) (Pick, bool) {
	byReading := func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.reading(), b.reading()), cmp.Compare(a.busy(now), b.busy(now)))
	}
	if c.Gap > 0 && !r.Disabled.Apart {
		sorted := slices.Clone(open)
		slices.SortStableFunc(sorted, byReading)
		if p, ok := team(now, bearing(sorted, c, n), c); ok {
			return p, true
		}
		if c.heavy(n) && !r.Disabled.Heavy || c.patient() {
			return Pick{}, false
		}
	}
	set := open
	if !r.Disabled.Apart {
		set = loose(now, open)
	}
	slices.SortStableFunc(set, byReading)
	for k := pieces(c, set); k <= min(len(set), mostPieces); k++ {
		if p, ok := team(now, set[:k], c); ok {
			return p, true
		}
	}
	return Pick{}, false
}

// bearing returns the targets, sorted by what they have to read, by which a prompt is
// read soonest without holding up a stream for longer than it allows; none if there
// are too few. The service has n targets, open ones or not.
func bearing(open []*state, c Case, n int) []*state {
	spare := make([]time.Duration, len(open))
	for i, s := range open {
		spare[i] = s.spare(c, c.alone(n))
	}
	best, last, soonest := 0, -1, time.Duration(math.MaxInt64)
	for k := c.fewest(n, len(open)); k <= min(len(open), mostPieces, c.Pieces); k++ {
		part := c.Read / time.Duration(k)
		i := nth(spare, part, k)
		if i < 0 {
			continue
		}
		if end := open[i].reading() + part; end < soonest {
			best, last, soonest = k, i, end
		}
	}
	var set []*state
	for i, s := range open[:last+1] {
		if spare[i] >= c.Read/time.Duration(best) {
			set = append(set, s)
		}
	}
	return set
}

// nth returns the index of the k-th target that may read a part, -1 if there are fewer.
func nth(spare []time.Duration, part time.Duration, k int) int {
	for i, d := range spare {
		if d >= part {
			k--
		}
		if k == 0 {
			return i
		}
	}
	return -1
}

// alone reports whether n targets can't read a prompt without holding up streams like
// its own for longer than they allow. It is read by idle targets, which get no other
// requests meanwhile.
func (c Case) alone(n int) bool {
	return c.Read/time.Duration(max(1, min(n, mostPieces))) > c.bearable(c.Gap)
}

// bearable returns how much may be read in a pass beside streams that allow a pause.
func (c Case) bearable(gap time.Duration) time.Duration {
	return time.Duration(gapShare*float64(gap)) - c.Pass
}

// fewest returns how many of the open ones of n targets read a prompt at least. Alone
// they are so many that the first token comes in time, or all if these are too few for
// that, as long as it comes before its caller gives up.
func (c Case) fewest(n, open int) int {
	if !c.alone(n) || c.Aim == 0 {
		return 1
	}
	k := ceil(c.Read, aloneShare*float64(c.Aim))
	if k <= min(n, mostPieces) {
		return k
	}
	return max(min(open, mostPieces), ceil(c.Read, lateShare*float64(c.Aim)))
}

// spare returns how long a target may read for a prompt. One that is read alone may
// use idle targets for as long as it takes.
func (s *state) spare(c Case, alone bool) time.Duration {
	gap := shorter(s.counts.gaps.least(), time.Duration(s.counts.shared.Gap)*time.Millisecond)
	if gap == 0 && alone {
		if s.reading() > 0 {
			return -1
		}
		return math.MaxInt64
	}
	return c.bearable(shorter(gap, c.Gap)) - s.reading()
}

// team has the targets of a set read and hold a prompt. It reports whether there are
// any and they have the memory.
func team(now time.Time, set []*state, c Case) (Pick, bool) {
	if len(set) == 0 {
		return Pick{}, false
	}
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
// read.
func pieces(c Case, set []*state) int {
	best, soonest := 1, time.Duration(math.MaxInt64)
	for k := 1; k <= min(len(set), mostPieces, c.Pieces); k++ {
		if end := set[k-1].reading() + c.Read/time.Duration(k); end < soonest {
			best, soonest = k, end
		}
	}
	return best
}

// heavy reports whether a prompt would hold up those who write at n targets for
// about as long as streams like its own allow.
func (c Case) heavy(n int) bool {
	return c.Gap > 0 && float64(c.Read) > float64(min(n, mostPieces))*heavyGap*float64(c.Gap)
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
