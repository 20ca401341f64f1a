package router

import (
	"slices"
	"time"

	"bramleyshunt/ramper"
)

// Targets of a service with a bound get no more requests in any one second than this bound,
// from all entries together and whatever is believed of the targets. Package ramper divides
// it. A request is reserved when it is placed (Sent), and counts from the moment at which it
// goes out (Sending).

// mayGet reports whether a target may get a request now.
func (r *Router) mayGet(now time.Time, s *targetState, req Request) bool {
	return !now.Before(s.refusedUntil) && s.limit.allows(now) && r.hasShare(now, s, req.Sender)
}

// hasShare reports whether the sender of a request, this entry if it is empty, may send one to
// a target by the bound of its service.
func (r *Router) hasShare(now time.Time, s *targetState, sender string) bool {
	switch {
	case s.ramp == nil:
		return true
	case sender == "":
		return r.ramper.Free(now, s.ramp, s.bound) > 0
	default:
		return r.ramper.Sends(now, s.ramp, s.bound, sender)
	}
}

// RecordEntries records the entries in the view, which divide the bounds on requests to
// targets. Until it has been called, nothing is sent to targets with such a bound.
func (r *Router) RecordEntries(now time.Time, self string, entries []string) {
	r.ramper.SetEntries(now, self, entries)
}

// updateRamps passes the targets with a bound to the ramper, and the ramper's to them.
func (r *Router) updateRamps(now time.Time) {
	if len(r.ColdBound) == 0 && r.bounded == 0 {
		return
	}
	var view []ramper.Announcement
	for id, s := range r.byID {
		s.ramp, s.bound = nil, r.ColdBound[s.target.Service]
		if s.bound.Cold <= 0 {
			continue
		}
		t := s.target
		view = append(view, ramper.Announcement{ID: id, Incarnation: t.Incarnation, Seq: t.Seq, Cold: t.Cold, Limit: s.bound})
	}
	r.ramper.SetTargets(now, view)
	for _, a := range view {
		r.byID[a.ID].ramp = r.ramper.Target(a.ID)
	}
	r.bounded = len(view)
}

// Bounded reports whether there is a bound on the requests to the target of a pick.
func (r *Router) Bounded(p Pick) bool { return r.ColdBound[p.Target.Service].Cold > 0 }

// Reserve counts a request that is placed and not yet sent. Sent calls it.
func (r *Router) Reserve(p Pick) {
	if r.Bounded(p) {
		r.ramper.Reserve(r.ramper.Target(p.Target.ID))
	}
}

// MaySend reports whether a placed request may still be sent, as it may not once this entry's
// share of its target has shrunk.
func (r *Router) MaySend(now time.Time, p Pick) bool {
	return !r.Bounded(p) || r.ramper.MaySend(now, r.ramper.Target(p.Target.ID), r.ColdBound[p.Target.Service])
}

// Sending records that a request that was placed while its target was Bounded goes out now.
func (r *Router) Sending(now time.Time, p Pick) { r.ramper.Sent(now, r.ramper.Target(p.Target.ID)) }

// Unsent records of such a request that it has not been sent to its target, and will not be.
func (r *Router) Unsent(p Pick) { r.ramper.Withdraw(r.ramper.Target(p.Target.ID)) }

// Answered records the first part of the answer to such a request.
func (r *Router) Answered(p Pick) { r.ramper.Answered(r.ramper.Target(p.Target.ID)) }

// Unanswered records that such a request is over that was sent and got no answer.
func (r *Router) Unanswered(p Pick) { r.ramper.Ended(r.ramper.Target(p.Target.ID)) }

// Lost records that a target broke off a request.
func (r *Router) Lost(now time.Time, p Pick) {
	if r.Bounded(p) {
		r.ramper.RecordLoss(now, r.ramper.Target(p.Target.ID), r.ColdBound[p.Target.Service])
	}
}

// RecordCold records how long a target stays cold by its answer; zero if it is warm.
func (r *Router) RecordCold(now time.Time, p Pick, cold time.Duration) {
	if r.Bounded(p) {
		r.ramper.RecordAnswer(now, r.ramper.Target(p.Target.ID), cold)
	}
}

// ColdChanges returns the targets that have become cold or warm since the last call.
func (r *Router) ColdChanges(now time.Time) []ramper.Change { return r.ramper.Changes(now) }

// ColdTargets returns the number of targets that are believed to be cold.
func (r *Router) ColdTargets() int { return r.ramper.Cold() }

// KnownEntries returns the number of entries that divide the bounds.
func (r *Router) KnownEntries() int { return r.ramper.Known() }

// ShareWait returns how long the shares of this entry delay a request behind a number of
// others: zero if a target that it may use has no bound or enough of a share is free. It
// returns false if only other entries may send to these targets.
func (r *Router) ShareWait(now time.Time, req Request, ahead int) (time.Duration, bool) {
	x := r.byName[req.Service]
	if x == nil || r.ColdBound[req.Service].Cold <= 0 {
		return 0, true
	}
	first, rate, usable := ramper.Never, 0.0, false
	for _, s := range x.accepting(r.IsLong(req.Prompt) && !r.Disabled.Lanes) {
		if slices.Contains(req.Exclude, s.target.ID) {
			continue
		}
		usable = true
		if s.ramp == nil {
			return 0, true
		}
		if n := r.ramper.Free(now, s.ramp, s.bound); n > ahead {
			return 0, true
		} else if n > 0 {
			ahead -= n
		}
		if wait := r.ramper.Wait(now, s.ramp, s.bound); wait < ramper.Never {
			first = min(first, max(wait, 1))
			rate += r.ramper.Rate(now, s.ramp, s.bound)
		}
	}
	switch {
	case !usable:
		return 0, true // there is no target at all, which is refused elsewhere
	case first == ramper.Never:
		return 0, false
	case ahead > 0 && rate > 0:
		return first + time.Duration(float64(ahead)/rate*float64(time.Second)), true
	default:
		return first, true
	}
}

// maxUnavailable bounds the targets that Unavailable returns, which are sent with each question
// to a relay. The sender checks the choice of the relay in any case.
const maxUnavailable = 32

// Unavailable returns the targets of a service to which this entry sends nothing now although
// it has a share of them, the first ones in the order in which targets are filled. The
// reservation of a pick of that service does not count. It returns false if this entry has not
// settled, and uses its share of no target.
func (r *Router) Unavailable(now time.Time, service string, p Pick) ([]string, bool) {
	x := r.byName[service]
	if x == nil || r.ColdBound[service].Cold <= 0 {
		return nil, true
	}
	if !r.ramper.Settled(now) {
		return nil, false
	}
	r.Unsent(p)
	defer r.Reserve(p)
	set := x.all
	if x.bySlots {
		set = x.ranked
	}
	var out []string
	for _, s := range set {
		if len(out) == maxUnavailable {
			break
		}
		if s.ramp != nil && r.ramper.Free(now, s.ramp, s.bound) == 0 && r.ramper.Sends(now, s.ramp, s.bound, r.self) {
			out = append(out, s.target.ID)
		}
	}
	return out, true
}

// PickTarget returns the pick of a target that was chosen outside of Pick, and reserves its
// request as Sent does. It returns false if the bound leaves nothing for it now.
func (r *Router) PickTarget(now time.Time, id string) (Pick, bool) {
	s := r.byID[id]
	if s == nil {
		return Pick{}, true
	}
	p := Pick{Target: s.target}
	if !r.hasShare(now, s, "") {
		return p, false
	}
	r.Reserve(p)
	return p, true
}
