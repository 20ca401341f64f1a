// Package ramper divides the bound on the requests that a target gets in any one second among
// the entries, without messages between them, and ramps up the load on targets that are cold
// or were so a moment ago. The caller passes the time; the package reads no clock.
package ramper

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time within which an entry sends no more requests to a target than its
	// share. It exceeds the second of the bound by the time that may lie between the record
	// of a send and the send itself.
	Window = 1050 * time.Millisecond
	// KnownTime is how long an entry counts after it was last in the view, so that a view
	// that has lost entries does not raise the shares of the others.
	KnownTime = 30 * time.Second
	// SettleTime is how long an entry has been in its own view before it uses its share.
	// Until then other entries may not count it yet.
	SettleTime = 3 * time.Second
	// Never is the wait for a target to which this entry sends nothing.
	Never = time.Duration(math.MaxInt64)

	// unsettledScale divides the bound to get the fraction of the targets to which an entry
	// sends that has just started. If 103 entries start at once and none of them knows another,
	// 28 of them send to a target on average (standard deviation 4.5) where the bound is 44.
	unsettledScale = 160
	// returnMargin is how many times the mean number of entries that send to a target while all of
	// them return at once fits into what the shares leave of the bound: five standard deviations
	// at 31 entries, beside earlier processes that have all just used their shares.
	returnMargin = 4
)

// Limit bounds the requests to each target of a service. Without Cold there is no bound.
type Limit struct {
	Cold     float64       // requests per second that a cold target tolerates
	Bound    float64       // requests that a target gets in any one second from all entries together
	ColdTime time.Duration // how long a target stays cold after a start
}

// Target is what this entry knows of one target.
type Target struct {
	id       string
	hash     uint64
	sent     []time.Time // sends within Window, oldest first
	reserved int         // requests that will be sent, or withdrawn
	orders   []uint64    // of the known entries, sorted
	orderOf  uint64      // Ramper.generation that orders belong to
	state
}

// Ramper decides whether this entry may send a request to a target. The zero value has not
// settled yet.
type Ramper struct {
	self       string
	live       []string             // in the last view
	known      []string             // sorted, this entry included
	hashes     []uint64             // of known
	own        uint64               // hash of this entry's name
	lastSeen   map[string]time.Time // of entries, when they were last in the view
	generation uint64               // incremented with each change of known
	inViewAt   time.Time            // since when this entry has been in its own view; zero if it is not
	startedAt  time.Time            // of the first view
	returned   bool                 // the first view had an earlier process of this entry

	targets map[string]*Target
	views   uint64             // calls of SetTargets
	cold    map[string]*Target // believed cold
	changes []Change           // not yet returned by Changes
}

// Share returns how many requests an entry may send to a target in any one second, given the
// bound for all n entries together and the entry's rank among them, from zero.
func Share(bound float64, n, rank int) int {
	most := int(min(max(1, bound), math.MaxInt32))
	switch {
	case n <= 0 || rank < 0:
		return 0
	case n <= most:
		return most / n
	case rank < most:
		return 1
	default:
		return 0
	}
}

// Target returns the target with an id, which is added if it is not known.
func (r *Ramper) Target(id string) *Target {
	t := r.targets[id]
	if t == nil {
		if r.targets == nil {
			r.targets = map[string]*Target{}
		}
		t = &Target{id: id, hash: xxhash.Sum64String(id)}
		r.targets[id] = t
	}
	return t
}

// SetEntries sets the name of this entry and the entries in its view. While this one is not
// among them, others may not count it, so it does not settle.
func (r *Ramper) SetEntries(now time.Time, self string, entries []string) {
	if r.lastSeen == nil {
		r.lastSeen = map[string]time.Time{}
	}
	for _, e := range r.live { // in the view until now
		r.lastSeen[e] = now
	}
	for _, e := range entries {
		r.lastSeen[e] = now
	}
	switch {
	case !slices.Contains(entries, self):
		r.inViewAt = time.Time{}
	case r.inViewAt.IsZero() || r.self != self:
		r.inViewAt = now
	}
	if r.startedAt.IsZero() {
		r.startedAt, r.returned = now, slices.Contains(entries, self)
	}
	r.self, r.live = self, slices.Clone(entries)
	next := []string{self}
	for e, at := range r.lastSeen {
		switch {
		case now.Sub(at) >= KnownTime:
			delete(r.lastSeen, e)
		case e != self:
			next = append(next, e)
		}
	}
	slices.Sort(next)
	if slices.Equal(next, r.known) {
		return
	}
	r.known, r.hashes, r.own = next, make([]uint64, len(next)), xxhash.Sum64String(self)
	for i, e := range next {
		r.hashes[i] = xxhash.Sum64String(e)
	}
	r.generation++
}

// Known returns the number of entries that divide the bounds.
func (r *Ramper) Known() int { return len(r.known) }

// Settled reports whether this entry uses its share.
func (r *Ramper) Settled(now time.Time) bool {
	return !r.inViewAt.IsZero() && now.Sub(r.inViewAt) >= SettleTime
}

// order ranks the entries that send to a target, in the same way at every entry.
func order(target, entry uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(target^odd, bits.RotateLeft64(entry, 32)^target)
	h := (hi ^ lo ^ entry) * odd
	return h ^ h>>32
}

// rank returns the rank of a known entry at a target, by the hash of its name.
func (r *Ramper) rank(t *Target, entry uint64) int {
	if t.orderOf != r.generation {
		t.orders, t.orderOf = slices.Grow(t.orders[:0], len(r.hashes)), r.generation
		for _, h := range r.hashes {
			t.orders = append(t.orders, order(t.hash, h))
		}
		slices.Sort(t.orders)
	}
	i, _ := slices.BinarySearch(t.orders, order(t.hash, entry))
	return i
}

// share returns how many requests an entry may send to a target in Window, given the bound
// for all entries.
func (r *Ramper) share(t *Target, entry string, bound float64) int {
	n, hash := len(r.known), r.own
	if n <= int(max(1, bound)) {
		return Share(bound, n, 0)
	}
	if entry != r.self {
		i, ok := slices.BinarySearch(r.known, entry)
		if !ok { // of a sender that this entry does not know
			return 0
		}
		hash = r.hashes[i]
	}
	return Share(bound, n, r.rank(t, hash))
}

// ownShare returns the share of this entry now.
func (r *Ramper) ownShare(now time.Time, t *Target, l Limit) int {
	if r.Settled(now) {
		return r.share(t, r.self, t.bound(now, l))
	}
	if t.coldAt(now) || !r.sendsUnsettled(now, t, l) {
		return 0
	}
	return 1
}

// sendsUnsettled reports whether this entry sends to a target before it has settled: not while
// sends of an earlier process of its name may be within Window, only if the shares of the
// others leave something of the bound, and only to a fraction of the targets, for which it
// needs no list of the entries. If the other entries have counted an earlier process of its
// name all the time, it need not wait, and the share of that process counts as sent.
func (r *Ramper) sendsUnsettled(now time.Time, t *Target, l Limit) bool {
	early := r.returned && now.Sub(r.startedAt) < Window
	if r.inViewAt.IsZero() || !early && now.Sub(r.inViewAt) < Window {
		return false
	}
	others, most := max(0, len(r.known)-1), int(max(1, l.Bound))
	if early {
		others++
	}
	fraction := l.Bound / unsettledScale
	spare := float64(most - others*Share(l.Bound, others, 0))
	if others > most || spare < 1 {
		return false
	}
	if early {
		fraction = min(fraction, spare/(returnMargin*float64(others)))
	}
	return fraction >= 1 || float64(draw(t.hash, r.own)) < fraction*math.MaxUint64
}

// draw returns a number that is evenly distributed over targets and entries.
func draw(target, entry uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], target)
	binary.LittleEndian.PutUint64(b[8:], entry)
	return xxhash.Sum64(b[:])
}

// bound returns the bound that the entries divide now.
func (t *Target) bound(now time.Time, l Limit) float64 {
	if t.coldAt(now) {
		return min(l.Cold, l.Bound)
	}
	return l.Bound
}

// recent returns the number of sends within Window.
func (t *Target) recent(now time.Time) int {
	i := 0
	for i < len(t.sent) && now.Sub(t.sent[i]) >= Window {
		i++
	}
	if i > 0 {
		t.sent = append(t.sent[:0], t.sent[i:]...)
	}
	return len(t.sent)
}

// Free returns how many requests this entry may send to a target now, besides those that are
// reserved.
func (r *Ramper) Free(now time.Time, t *Target, l Limit) int {
	n := r.ownShare(now, t, l)
	if n == 0 {
		return 0
	}
	n -= t.recent(now) + t.reserved
	return max(0, min(n, t.rampRoom(now)))
}

// Wait returns how long this entry sends nothing to a target: zero if it may send now, Never
// if only other entries may. For a target that is ramped up it is an estimate, as its answers
// decide on that.
func (r *Ramper) Wait(now time.Time, t *Target, l Limit) time.Duration {
	share := r.ownShare(now, t, l)
	if share == 0 {
		return r.shareWait(now, t, l)
	}
	recent := t.recent(now)
	excess := recent + t.reserved - share + 1
	switch {
	case excess > recent:
		return Window
	case excess > 0:
		return max(1, t.sent[excess-1].Add(Window).Sub(now))
	case t.rampRoom(now) <= 0:
		return rampWait
	default:
		return 0
	}
}

// shareWait returns when this entry gets a share of a target again.
func (r *Ramper) shareWait(now time.Time, t *Target, l Limit) time.Duration {
	switch {
	case r.inViewAt.IsZero():
		return SettleTime
	case !r.Settled(now):
		return r.inViewAt.Add(SettleTime).Sub(now)
	case t.coldAt(now) && r.share(t, r.self, l.Bound) > 0:
		return t.coldUntil.Sub(now)
	default:
		return Never
	}
}

// Rate returns the requests per second that this entry may send to a target.
func (r *Ramper) Rate(now time.Time, t *Target, l Limit) float64 {
	return float64(r.ownShare(now, t, l)) / Window.Seconds()
}

// MaySend reports whether a request with a reservation may still be sent, as it may not once
// the share has shrunk.
func (r *Ramper) MaySend(now time.Time, t *Target, l Limit) bool {
	return t.recent(now) < r.ownShare(now, t, l)
}

// Sends reports whether another entry has a share of a target. Its own sends there are not
// known here.
func (r *Ramper) Sends(now time.Time, t *Target, l Limit, entry string) bool {
	return r.share(t, entry, t.bound(now, l)) > 0
}

// Reserve counts a request that will be sent to a target, until Sent or Withdraw.
func (r *Ramper) Reserve(t *Target) {
	t.reserved++
	t.unanswered++
}

// Sent records that a reserved request is sent now.
func (r *Ramper) Sent(now time.Time, t *Target) {
	t.recent(now)
	t.reserved = max(0, t.reserved-1)
	t.sent = append(t.sent, now)
}

// Withdraw gives back a reservation of which nothing was sent.
func (r *Ramper) Withdraw(t *Target) {
	t.reserved = max(0, t.reserved-1)
	r.Ended(t)
}

// Ended records that a request is over that has got no answer.
func (r *Ramper) Ended(t *Target) { t.unanswered = max(0, t.unanswered-1) }
