package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/coder"
)

// CheckPauses returns an error if all targets that may still accept the ticket pause. If
// those that it excludes pause too, the retry delay is neither bounded nor jittered, as no
// target accepts a request earlier. Otherwise they may accept the caller's next request,
// which need not wait for the first pause to end.
func (s *Scheduler) CheckPauses(now time.Time, t *Ticket) error {
	if !s.Router.HasPauses(now) {
		return nil
	}
	long, exclude := s.Router.IsLong(t.Prompt), t.Exclude
	if !s.Router.HasTargetsBesides(t.Service, long, exclude, t.Regions...) {
		exclude = nil
	}
	wait, ok := s.Router.PromptPauseWait(now, t.Service, long, exclude, t.Regions...)
	if !ok {
		return nil
	}
	e := coder.Errorf(coder.Overloaded, "no target to be tried accepts requests for %s", wait.Round(time.Millisecond))
	if e.Retry, ok = s.Router.PromptPauseWait(now, t.Service, long, nil, t.Regions...); !ok {
		e.Retry = min(wait, s.Admitter.RetryAfter(0))
	}
	return e
}

// refusePaused ends the wait of all tickets whose targets pause, wherever in their queues
// they are.
func (s *Scheduler) refusePaused(now time.Time) []Placement {
	if !s.Router.HasPauses(now) {
		return nil
	}
	var out []Placement
	for _, t := range s.waiting {
		if err := s.CheckPauses(now, t); err != nil {
			out = append(out, Placement{Ticket: t, Err: err})
		}
	}
	slices.SortFunc(out, func(a, b Placement) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	for _, p := range out {
		s.Abandon(p.Ticket)
	}
	return out
}
