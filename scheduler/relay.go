package scheduler

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// PlaceFor picks the targets of a request that another entry has in its queue, and counts
// the request there until that entry reports it. reserve is called with these counts. It
// returns false if no target accepts the request now, and an error if that can't be told for
// other entries.
func (s *Scheduler) PlaceFor(now time.Time, t *Ticket, queued time.Duration, reserve func([]messenger.Sent)) (router.Pick, bool, error) {
	req := toRequest(t)
	req.Sender = t.Sender
	req.QueueTime = queued
	pick, ok := s.Router.Pick(now, req)
	switch {
	case ok:
		counts := s.Router.Counts(pick, req)
		reserve(counts)
		s.Router.AddPeer(now, counts)
		s.Router.RecordPlaced(now, pick, req)
	case s.Router.Restricted(now, t.Service, t.Regions...):
		return pick, false, coder.Errorf(coder.NotReady, "the entry asked may not send to some targets")
	}
	return pick, ok, nil
}

// QueueTime returns how long the placement of a ticket has been attempted.
func (t *Ticket) QueueTime(now time.Time) time.Duration {
	if t.firstAttempt.IsZero() {
		return 0
	}
	return now.Sub(t.firstAttempt)
}

// Move replaces the targets of a ticket that was placed but not sent. It returns false if
// this entry may not send to the new ones.
func (s *Scheduler) Move(now time.Time, t *Ticket, from, to router.Pick) bool {
	held := t.send == sendReserved
	s.release(t, from)
	if !s.Router.Accepts(now, to) || !to.InRegions(t.Regions) {
		if held {
			s.Router.Reserve(from)
			t.send = sendReserved
		}
		return false
	}
	s.Router.PrefillDone(from, toRequest(t))
	s.Router.Ended(from, toRequest(t))
	s.Router.Sent(now, to, toRequest(t))
	s.reserved(t, to)
	return true
}
