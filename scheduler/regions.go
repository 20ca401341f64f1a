package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"bramleyshunt/coder"
)

// noRegion returns the error for a ticket whose regions hold no target of its service.
func (s *Scheduler) noRegion(t *Ticket) error {
	e := coder.Errorf(coder.NoRegion, "service %q in %s", t.Service, strings.Join(t.Regions, ", "))
	e.Retry = s.Admitter.RetryAfter(0)
	return e
}

// refuseOutside ends the wait of all tickets whose regions hold no target any more, wherever in
// their queues they are.
func (s *Scheduler) refuseOutside() []Placement {
	if !s.restricted {
		return nil
	}
	s.restricted = false
	var out []Placement
	for _, t := range s.waiting {
		if len(t.Regions) == 0 {
			continue
		}
		s.restricted = true
		if !s.Router.HasTargets(t.Service, t.Regions...) {
			out = append(out, Placement{Ticket: t, Err: s.noRegion(t)})
		}
	}
	slices.SortFunc(out, func(a, b Placement) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	for _, p := range out {
		s.Abandon(p.Ticket)
	}
	return out
}

// dispatchOrder returns the keys of the queues in the order in which they are served: shorter
// classes first. Of the queues of one service and class, which differ by their regions, the one
// whose next ticket has the earliest deadline is first, so that none starves another.
func (s *Scheduler) dispatchOrder() []queueKey {
	if !s.restricted {
		return s.keys
	}
	keys := slices.Clone(s.keys)
	slices.SortStableFunc(keys, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.service, b.service), s.compareHeads(a, b))
	})
	return keys
}

// compareHeads orders two queues by the deadline of their next tickets; empty ones are last.
func (s *Scheduler) compareHeads(a, b queueKey) int {
	x, y := s.queues[a].Peek(), s.queues[b].Peek()
	switch {
	case x != nil && y != nil:
		return x.Deadline.Compare(y.Deadline)
	case x != nil:
		return -1
	case y != nil:
		return 1
	default:
		return 0
	}
}
