package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

// Targets may limit the rate of requests that they accept from all entries together. The
// entries divide such a limit without agreement: each ranks all of them in the same order
// for a target, and the first ones send to it at equal intervals. In any period these
// entries exceed the limit by at most one request each. The other entries send nothing and
// learn from their reports when the limit changes or ends.

const (
	// limitTTL is how long a limit holds that no entry has observed again.
	limitTTL = 30 * time.Second
	// minLimitSenders is the number of entries that send to a target with a low limit. More
	// than one, so that callers of several entries reach the target.
	minLimitSenders = 3
)

// rateLimit is the request rate that a target accepts from all entries together.
type rateLimit struct {
	rate       float64       // requests per second; zero for no limit
	observedAt time.Time     // when an answer last named it
	own        bool          // observed by this entry
	interval   time.Duration // between two requests of one sender
	sender     bool          // this entry is one of the senders
	nextAt     time.Time     // of this entry's next request
}

func (l *rateLimit) inForce(now time.Time) bool {
	return l.rate > 0 && now.Sub(l.observedAt) < max(limitTTL, 2*l.interval)
}

// allows reports whether this entry may send a request now.
func (l *rateLimit) allows(now time.Time) bool {
	return !l.inForce(now) || l.sender && !now.Before(l.nextAt)
}

// charge records that this entry sends a request.
func (l *rateLimit) charge(now time.Time) {
	if l.inForce(now) {
		l.nextAt = now.Add(l.interval)
	}
}

// divide sets this entry's part in the limit of a target.
func (l *rateLimit) divide(target, self string, entries []string) {
	if l.rate == 0 {
		return
	}
	senders := min(max(1, len(entries)), minLimitSenders+int(l.rate))
	l.interval = time.Duration(float64(senders) / l.rate * float64(time.Second))
	ahead := 0
	own := senderRank(target, self)
	for _, e := range entries {
		if e != self && senderRank(target, e) < own {
			ahead++
		}
	}
	l.sender = ahead < senders
}

// senderRank orders the entries that may send to a target, in the same way at every entry.
func senderRank(target, entry string) uint64 { return xxhash.Sum64String(target + " " + entry) }

// SetEntries sets the name of this entry and those of all live ones.
func (r *Router) SetEntries(self string, entries []string) {
	if r.self == self && slices.Equal(r.entries, entries) {
		return
	}
	r.self, r.entries = self, slices.Clone(entries)
	for id, s := range r.byID {
		s.limit.divide(id, r.self, r.entries)
	}
}

// RecordLimit records the rate limit that a target named in its answer to a request sent
// at the given time, in requests per second; zero if it named none. It returns the limit
// in force before and after.
func (r *Router) RecordLimit(now, sent time.Time, p Pick, rate float64) (from, to float64) {
	s := r.byID[p.Target.ID]
	if s == nil || s.target.Incarnation != p.Target.Incarnation {
		return 0, 0
	}
	if rate == 0 && (s.limit.rate == 0 || sent.Before(s.limit.observedAt)) { // sent before: the target may have answered before it named the limit
		return s.limit.rate, s.limit.rate
	}
	return r.setLimit(s, rate, now, true)
}

// setLimit records an observation of a limit.
func (r *Router) setLimit(s *targetState, rate float64, at time.Time, own bool) (from, to float64) {
	from = s.limit.rate
	s.limit.rate, s.limit.observedAt, s.limit.own = rate, at, own
	if from != rate {
		s.limit.divide(s.target.ID, r.self, r.entries)
	}
	return from, rate
}

// Limits returns the limits that this entry has observed last of all entries, also those
// that have ended. They are sent to the other entries.
func (r *Router) Limits(now time.Time) []messenger.Limit {
	var out []messenger.Limit
	for _, s := range r.byID {
		if age := now.Sub(s.limit.observedAt); s.limit.own && age < limitTTL {
			out = append(out, messenger.Limit{
				Target: s.hash, Incarnation: s.target.Incarnation, Rate: s.limit.rate, Age: int(age.Milliseconds()),
			})
		}
	}
	slices.SortFunc(out, func(a, b messenger.Limit) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// RecordPeerLimits records the limits that another entry has observed, where they are newer
// than what this entry knows. It calls changed for each limit that this changes.
func (r *Router) RecordPeerLimits(now time.Time, limits []messenger.Limit, changed func(target, observer string, from, to float64)) {
	if len(limits) == 0 {
		return
	}
	byHash := map[uint64]messenger.Limit{}
	for _, l := range limits {
		byHash[l.Target] = l
	}
	for id, s := range r.byID {
		l, ok := byHash[s.hash]
		at := now.Add(-time.Duration(l.Age) * time.Millisecond)
		if !ok || l.Incarnation != s.target.Incarnation || !at.After(s.limit.observedAt) {
			continue
		}
		if from, to := r.setLimit(s, l.Rate, at, false); from != to {
			changed(id, l.Observer, from, to)
		}
	}
}

// LimitWait returns how long the limits of a service's targets delay a request behind a
// number of others at this entry: zero if a target has no limit and doesn't pause. It
// returns false if only other entries may send to the targets.
func (r *Router) LimitWait(now time.Time, service string, ahead int, regions ...string) (time.Duration, bool) {
	x := r.index(service, regions)
	if x == nil {
		return 0, true
	}
	const never = time.Duration(math.MaxInt64)
	rate, first, pause := 0.0, never, never
	for _, s := range x.all {
		switch limited := s.limit.inForce(now); {
		case limited && !s.limit.sender:
		case now.Before(s.pausedUntil):
			pause = min(pause, s.pausedUntil.Sub(now))
		case !limited:
			return 0, true
		default:
			rate += 1 / s.limit.interval.Seconds()
			first = min(first, max(0, s.limit.nextAt.Sub(now)))
		}
	}
	switch {
	case rate > 0:
		return min(pause, first+time.Duration(float64(ahead)/rate*float64(time.Second))), true
	case pause < never:
		return pause, true
	default:
		return 0, false
	}
}

// withoutLimited returns the targets without a limit, or all of them if each has one. A
// prompt that several targets prefill spares those in need.
func withoutLimited(now time.Time, open []*targetState) []*targetState {
	free := slices.DeleteFunc(slices.Clone(open), func(s *targetState) bool { return s.limit.inForce(now) })
	if len(free) == 0 {
		return open
	}
	return free
}
