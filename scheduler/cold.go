package scheduler

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/router"
)

// sendState is how far a request has come at a target with a bound on its requests.
type sendState uint8

const (
	sendNone     sendState = iota // not placed, or there is no bound
	sendReserved                  // placed, not sent
	sendSent                      // sent, no answer yet
	sendAnswered
)

// checkShares returns an error if the bounds on the requests to targets let the ticket, behind
// a number of others, start too late to finish before its deadline. The moment at which a
// share is free is known, so the retry delay is neither rounded nor jittered.
func (s *Scheduler) checkShares(now time.Time, t *Ticket, ahead int) error {
	wait, ok := s.Router.ShareWait(now, toRequest(t), ahead)
	if _, queued := s.waiting[t.ID]; queued && wait > 0 && !t.deferred {
		t.deferred = true
		s.Deferred++
	}
	if ok && (wait == 0 || wait+s.PredictDuration(t) < t.Deadline.Sub(now)) {
		return nil
	}
	e := coder.Errorf(coder.Overloaded, "every target has got the requests that this entry may send it now")
	if e.Retry = wait; !ok { // only other entries send to these targets
		e.Retry = s.Admitter.RetryAfter(0)
	}
	return e
}

// reserved records that a ticket was placed at a target.
func (s *Scheduler) reserved(t *Ticket, p router.Pick) {
	if t.send = sendNone; s.Router.Bounded(p) {
		t.send = sendReserved
	}
}

// Bounded reports whether there is a bound on the requests to the target of a ticket. It may be
// called by whoever got the placement, until the ticket is sent.
func (t *Ticket) Bounded() bool { return t.send != sendNone }

// MaySend reports whether a placed ticket may still be sent.
func (s *Scheduler) MaySend(now time.Time, t *Ticket, p router.Pick) bool {
	return t.send != sendReserved || s.Router.MaySend(now, p)
}

// Sending records that a placed ticket is sent now. Further calls have no effect.
func (s *Scheduler) Sending(now time.Time, t *Ticket, p router.Pick) {
	if t.send == sendReserved {
		s.Router.Sending(now, p)
		t.send = sendSent
	}
}

// answered records the first part of the answer to a ticket.
func (s *Scheduler) answered(t *Ticket, p router.Pick) {
	if t.send == sendSent {
		s.Router.Answered(p)
		t.send = sendAnswered
	}
}

// release gives back what a ticket that is over, or is placed again, holds at its target.
func (s *Scheduler) release(t *Ticket, p router.Pick) {
	switch t.send {
	case sendReserved:
		s.Router.Unsent(p)
	case sendSent:
		s.Router.Unanswered(p)
	}
	t.send = sendNone
}

// Unavailable returns the targets that a placed ticket must not be moved to by another entry.
// It returns false if no other entry can pick targets for it.
func (s *Scheduler) Unavailable(now time.Time, t *Ticket, p router.Pick) ([]string, bool) {
	if t.send != sendReserved {
		return nil, true
	}
	return s.Router.Unavailable(now, t.Service, p)
}
