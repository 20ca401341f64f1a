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
	// shareSlack is set aside beyond each share, as targets keep memory in blocks.
	shareSlack = 64
	// heldUp is the pending reading at a target above which a prompt read in one
	// piece goes elsewhere: it would cost most of the time that short prompts have.
	heldUp = 100 * time.Millisecond
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
func shorter(a, b time.Duration) time.Duration {
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
