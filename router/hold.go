package router

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// Targets hold back requests in their answers: one that leaves accepts none any more, and
// one that pauses none for a time. What a target has said outweighs the views, which may be
// older and still call it in use. So holds are kept apart from the state of the targets in
// the view, and bind each target that has the id and incarnation of the one that answered.

const (
	// MaxPause bounds the time for which a target can hold back requests with one answer.
	MaxPause = time.Hour
	// holdTTL is how long the mark of a target is kept that is in no view. Late views may
	// still call the target in use.
	holdTTL = time.Hour
	// maxEndedHolds bounds the ended holds that are kept until EndedHolds returns them.
	maxEndedHolds = 1024
)

// Hold is a time for which a target accepts no requests from this entry.
type Hold struct {
	Target  string
	Leaving bool // the target leaves; otherwise it pauses
	Since   time.Time
	Until   time.Time
}

// holdKey identifies the target that a hold binds.
type holdKey struct {
	id          string
	incarnation uint64
}

// hold is what a target has said that holds back requests.
type hold struct {
	leavingSince time.Time // zero if it has not said that it leaves
	pausedSince  time.Time
	pausedUntil  time.Time // zero if it has not paused
	absentSince  time.Time // when it was first found to be in no view since the mark
}

func (h *hold) paused(now time.Time) bool { return now.Before(h.pausedUntil) }

func (h *hold) leaving() bool { return !h.leavingSince.IsZero() }

func (r *Router) holdKey(t messenger.Target) holdKey {
	if r.IDPerStart {
		return holdKey{id: t.ID}
	}
	return holdKey{id: t.ID, incarnation: t.Incarnation}
}

// addHold returns the hold of a target, which is created if there is none.
func (r *Router) addHold(k holdKey) *hold {
	if r.holds == nil {
		r.holds = map[holdKey]*hold{}
	}
	h := r.holds[k]
	if h == nil {
		h = &hold{}
		r.holds[k] = h
	}
	return h
}

// heldState returns the target in the view that a hold binds, nil if there is none.
func (r *Router) heldState(k holdKey) *targetState {
	if s := r.byID[k.id]; s != nil && r.holdKey(s.target) == k {
		return s
	}
	return nil
}

// MarkLeaving records that a target has said that it leaves, and reports whether this is
// new. The target counts as leaving from now on, whatever later views say.
func (r *Router) MarkLeaving(now time.Time, t messenger.Target) bool {
	if t.ID == "" {
		return false
	}
	k := r.holdKey(t)
	h := r.addHold(k)
	if h.leaving() {
		return false
	}
	h.leavingSince, h.absentSince = now, time.Time{}
	if s := r.heldState(k); s != nil && !s.target.Leaving {
		r.removeLeaving(s)
	}
	return true
}

// removeLeaving takes a target that leaves out of the index of its service.
func (r *Router) removeLeaving(s *targetState) {
	s.target.Leaving = true
	x := &serviceIndex{}
	for _, other := range r.byName[s.target.Service].all {
		if other != s {
			x.add(other)
		}
	}
	if x.complete(); len(x.all) > 0 {
		r.byName[s.target.Service] = x
	} else {
		delete(r.byName, s.target.Service)
	}
}

// Pause records that a target wants no requests from this entry for a time, which is
// bounded by an hour. It returns the end of the target's pause, which is the later one of
// two, and reports whether this pause has set it. A time that is not positive has no effect.
func (r *Router) Pause(now time.Time, t messenger.Target, d time.Duration) (until time.Time, extended bool) {
	k := r.holdKey(t)
	if h := r.holds[k]; h != nil && h.paused(now) {
		until = h.pausedUntil
	}
	end := now.Add(min(d, MaxPause))
	if t.ID == "" || d <= 0 || !end.After(until) {
		return until, false
	}
	h := r.addHold(k)
	if !h.paused(now) {
		r.endPause(k, h)
		h.pausedSince = now
	}
	h.pausedUntil = end
	if end.After(r.lastPauseEnd) {
		r.lastPauseEnd = end
	}
	if s := r.heldState(k); s != nil {
		r.applyHold(s)
	}
	return end, true
}

// Held reports whether no request may be sent to a target now, as it has said that it
// leaves or pauses.
func (r *Router) Held(now time.Time, t messenger.Target) bool {
	h := r.holds[r.holdKey(t)]
	return h != nil && (h.leaving() || h.paused(now))
}

// HasPauses reports whether any target pauses, in the view or not.
func (r *Router) HasPauses(now time.Time) bool { return now.Before(r.lastPauseEnd) }

// PauseWait returns the time until the first pause ends if all targets of a service pause,
// apart from those that leave or are excluded. Otherwise, or if there are no such targets,
// it returns false.
func (r *Router) PauseWait(now time.Time, service string, exclude []string) (time.Duration, bool) {
	return r.PromptPauseWait(now, service, false, exclude)
}

// PromptPauseWait is like PauseWait for the targets that accept long or short prompts.
func (r *Router) PromptPauseWait(now time.Time, service string, long bool, exclude []string, regions ...string) (wait time.Duration, ok bool) {
	x := r.index(service, regions)
	if x == nil || !r.HasPauses(now) {
		return 0, false
	}
	for _, s := range x.accepting(long && !r.Disabled.Lanes) {
		if slices.Contains(exclude, s.target.ID) {
			continue
		}
		d := s.pausedUntil.Sub(now)
		if d <= 0 {
			return 0, false
		}
		if !ok || d < wait {
			wait, ok = d, true
		}
	}
	return wait, ok
}

// applyHold makes the hold of a target, if there is one, bind its state.
func (r *Router) applyHold(s *targetState) {
	h := r.holds[r.holdKey(s.target)]
	if h == nil {
		return
	}
	s.target.Leaving = s.target.Leaving || h.leaving()
	s.pausedUntil = h.pausedUntil
	if s.pausedUntil.After(s.refusedUntil) {
		s.refusedUntil = s.pausedUntil
	}
}

// EndedHolds returns the holds that have ended since the last call. A mark ends when its
// target has been in no view for holdTTL.
func (r *Router) EndedHolds(now time.Time) []Hold {
	r.expireHolds(now)
	out := r.endedHolds
	r.endedHolds = nil
	slices.SortFunc(out, func(a, b Hold) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Target, b.Target), a.Since.Compare(b.Since))
	})
	return out
}

// expireHolds ends the holds whose time has passed.
func (r *Router) expireHolds(now time.Time) {
	for k, h := range r.holds {
		switch {
		case r.heldState(k) != nil:
			h.absentSince = time.Time{}
		case h.absentSince.IsZero():
			h.absentSince = now
		}
		if !h.paused(now) {
			r.endPause(k, h)
		}
		if h.leaving() && !h.absentSince.IsZero() && now.Sub(h.absentSince) >= holdTTL {
			r.addEnded(Hold{Target: k.id, Leaving: true, Since: h.leavingSince, Until: now})
			h.leavingSince = time.Time{}
		}
		if !h.leaving() && h.pausedUntil.IsZero() {
			delete(r.holds, k)
		}
	}
}

// endPause records that a pause has ended, if there was one.
func (r *Router) endPause(k holdKey, h *hold) {
	if !h.pausedUntil.IsZero() {
		r.addEnded(Hold{Target: k.id, Since: h.pausedSince, Until: h.pausedUntil})
		h.pausedSince, h.pausedUntil = time.Time{}, time.Time{}
	}
}

func (r *Router) addEnded(h Hold) {
	if len(r.endedHolds) < maxEndedHolds {
		r.endedHolds = append(r.endedHolds, h)
	}
}
