package router

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/ejector"
	"bramleyshunt/messenger"
)

// minRemaining is the fraction of a service's targets that stay in use: if more of them fail, the
// cause is not with single targets, and the others could not bear the load.
const minRemaining = 0.5

// health is what this entry knows of the failures of a target.
type health struct {
	ejector.Ejector
	own bool // this entry has observed the last failure
}

// RecordFailure records that a target broke off a request that was sent at the given time. It
// returns for how long this ejects the target, zero if it does not.
func (r *Router) RecordFailure(now, sent time.Time, p Pick) time.Duration {
	s := r.byID[p.Target.ID]
	if !r.EjectFailing || s == nil || s.target.Incarnation != p.Target.Incarnation || !s.health.Failed(now, sent) {
		return 0
	}
	s.health.own = true
	return s.health.Left(now)
}

// RecordSuccess records that a target has begun to answer a request.
func (r *Router) RecordSuccess(p Pick) {
	if s := r.byID[p.Target.ID]; s != nil && s.target.Incarnation == p.Target.Incarnation {
		s.health.Succeeded()
	}
}

// Ejections returns the ejections in force that this entry has decided on. They are sent to
// the other entries.
func (r *Router) Ejections(now time.Time) []messenger.Ejection {
	var out []messenger.Ejection
	for _, s := range r.byID {
		if s.health.own && s.health.Ejected(now) {
			out = append(out, messenger.Ejection{Target: s.hash, Incarnation: s.target.Incarnation, Left: int(s.health.Left(now).Milliseconds())})
		}
	}
	slices.SortFunc(out, func(a, b messenger.Ejection) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// RecordPeerEjections adopts the ejections that other entries have decided on. It calls ejected
// for each target that was in use here.
func (r *Router) RecordPeerEjections(now time.Time, all []messenger.Ejection, ejected func(target, observer string, left time.Duration)) {
	if !r.EjectFailing || len(all) == 0 {
		return
	}
	byHash := make(map[uint64]messenger.Ejection, len(all))
	for _, e := range all {
		byHash[e.Target] = e
	}
	for id, s := range r.byID {
		e, ok := byHash[s.hash]
		left := time.Duration(e.Left) * time.Millisecond
		if !ok || e.Incarnation != s.target.Incarnation || left <= s.health.Left(now) {
			continue
		}
		s.health.own = false
		if s.health.Adopt(now, left) {
			ejected(id, e.Observer, s.health.Left(now))
		}
	}
}

// slotLimit returns a function that gives the number of requests that a target of a service may
// have at once: its slots if x is nil.
func (r *Router) slotLimit(now time.Time, x *serviceIndex) func(*targetState) int {
	all := func(s *targetState) int { return s.slots() }
	if !r.EjectFailing || x == nil {
		return all
	}
	ejected := 0
	for _, s := range x.ranked {
		if s.health.Ejected(now) {
			ejected++
		}
	}
	if float64(len(x.ranked)-ejected) < minRemaining*float64(len(x.ranked)) {
		return all
	}
	return func(s *targetState) int { return s.health.Limit(now, s.slots()) }
}
