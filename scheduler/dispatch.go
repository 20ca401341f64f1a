package scheduler

import (
	"slices"
	"time"

	"bramleyshunt/coder"
)

// Dispatch places as many waiting tickets as the targets can accept now. A queue is
// blocked while its first ticket fits no target, so that large requests do not starve.
// Tickets with a predicted prefill time may pass each other: their wait ends by time, and
// a heavy one may wait for seconds.
func (s *Scheduler) Dispatch(now time.Time) []Placement {
	out := append(s.refusePaused(now), s.refuseOutside()...)
	for _, k := range s.dispatchOrder() {
		placed := s.dispatchQueue(now, k)
		s.recordDrain(now, k, placed)
		out = append(out, placed...)
	}
	return out
}

// dispatchQueue places tickets of one queue until the first of them fits no target.
func (s *Scheduler) dispatchQueue(now time.Time, k queueKey) []Placement {
	var out []Placement
	q := s.queues[k]
	for it := q.Peek(); it != nil; it = q.Peek() {
		p, ok := s.place(now, s.waiting[it.ID])
		if !ok {
			return append(out, s.dispatchBehind(now, k, s.waiting[it.ID])...)
		}
		q.Take(it.ID) // the charge for the placement may have changed the order
		delete(s.waiting, it.ID)
		out = append(out, p)
	}
	return out
}

// dispatchBehind places tickets of a queue whose first ticket fits no target, shorter
// prompts first.
func (s *Scheduler) dispatchBehind(now time.Time, k queueKey, first *Ticket) []Placement {
	q := s.queues[k]
	if first.Prefill == 0 || q.Len() == 1 || s.Disabled.PassWaiting {
		return nil
	}
	var behind []*Ticket
	for _, t := range s.waiting {
		if t != first && !t.asked && s.key(t) == k {
			behind = append(behind, t)
		}
	}
	slices.SortFunc(behind, shorterPrompt)
	var out []Placement
	for _, t := range s.triedBehind(behind) {
		if p, ok := s.place(now, t); ok {
			q.Take(t.ID)
			delete(s.waiting, t.ID)
			out = append(out, p)
		}
	}
	return out
}

// place attempts to place a ticket. It reports whether the ticket leaves its queue, either
// with a target or with an error.
func (s *Scheduler) place(now time.Time, t *Ticket) (Placement, bool) {
	if t.firstAttempt.IsZero() {
		t.firstAttempt = now
	}
	if t.asked { // the relay may be placing it
		return Placement{}, false
	}
	req := toRequest(t)
	req.QueueTime = now.Sub(t.firstAttempt)
	if pick, ok := s.Router.Pick(now, req); ok {
		s.Router.Sent(now, pick, req)
		s.reserved(t, pick)
		s.chargePlacement(now, t, pick)
		return Placement{Ticket: t, Pick: pick}, true
	}
	if err := s.CheckHeavy(now, t); err != nil {
		return Placement{Ticket: t, Err: err}, true
	}
	if err := s.checkLimits(now, t, 0); err != nil {
		return Placement{Ticket: t, Err: err}, true
	}
	if err := s.checkShares(now, t, 0); err != nil {
		return Placement{Ticket: t, Err: err}, true
	}
	if s.Router.HasTargetsBesides(t.Service, s.Router.IsLong(t.Prompt), t.Exclude, t.Regions...) {
		return Placement{}, false
	}
	return Placement{Ticket: t, Err: s.noTarget(t)}, true
}

// CheckHeavy returns the error to refuse a ticket with that no target accepts beside its
// streams, and that has waited for long enough; nil for others.
func (s *Scheduler) CheckHeavy(now time.Time, t *Ticket) error {
	req := toRequest(t)
	req.QueueTime = t.QueueTime(now)
	if !s.Router.ShouldRefuse(req) {
		return nil
	}
	e := coder.Errorf(coder.Overloaded, "a read of about %d tokens would hold up streams at every target", t.Prompt)
	e.Retry = s.Admitter.RetryAfter(0)
	return e
}
