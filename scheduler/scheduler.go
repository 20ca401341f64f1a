// Package scheduler joins admission, queueing and routing: it admits a request,
// keeps it in its queue and places it at a target as soon as one can take it.
package scheduler

import (
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/queuer"
	"bramleyshunt/router"
)

// Ticket is one request to be placed. Counts are predicted tokens.
type Ticket struct {
	ID       string
	Service  string
	Account  string
	Share    int // weight of the account
	Priority int // higher goes first within the account
	Prompt   int
	Output   int
	Text     int      // bytes of prompt text
	Prefix   []uint64 // hashes of the prompt's beginnings, shortest first
	Deadline time.Time
	Exclude  []string // targets that failed it
}

// Placement is a target for a ticket, or the error that ends its wait.
type Placement struct {
	Ticket *Ticket
	Pick   router.Pick
	Err    error
}

// Scheduler is one entry's view of the work before the targets. The zero value
// knows no targets.
type Scheduler struct {
	Admitter admitter.Admitter
	Router   router.Router
	Off      bool // no long ticket is held apart; for measurements

	queues  map[lane]*queuer.Queuer
	order   []lane // of queues, as they came into being
	waiting map[string]*Ticket
	stretch map[lane]*stretch
	held    map[lane]*held
}

// held is a long ticket that fits nowhere yet, and the target that is left to
// drain for it while those behind it go on elsewhere.
type held struct {
	t      *Ticket
	target string
}

// lane names one queue.
type lane struct {
	service string
	long    bool
}

// Queued returns the number of waiting tickets.
func (s *Scheduler) Queued() int { return len(s.waiting) }

// Admit returns nil if a request can finish in its time, else the error to
// refuse it with: NoTarget, PromptTooLong, Overloaded or DeadlineExceeded.
func (s *Scheduler) Admit(now time.Time, t *Ticket) error {
	l := s.lane(t)
	sum := s.Router.Sum(l.service, l.long)
	if sum.Targets == 0 {
		return s.none(t)
	}
	if sum.Memory > 0 && t.Prompt+t.Output > sum.Memory {
		return coder.Errorf(coder.PromptTooLong, "about %d tokens, engine memory for %d", t.Prompt+t.Output, sum.Memory)
	}
	c := s.request(t, sum)
	c.Left = t.Deadline.Sub(now)
	c.Wait = s.wait(t, l, sum)
	return s.Admitter.Admit(c)
}

func (s *Scheduler) none(t *Ticket) error {
	e := coder.Errorf(coder.NoTarget, "service %q", t.Service)
	e.Retry = s.Admitter.Retry(0)
	return e
}

// request predicts a placed request. The prefill speed is what requests of its
// lane have got of late, which is less than a target's own under load.
func (s *Scheduler) request(t *Ticket, sum router.Sum) admitter.Case {
	speed := float64(sum.Speed/sum.Targets) / s.stretch[s.lane(t)].upper()
	return admitter.Case{Prompt: t.Prompt, Output: t.Output, Speed: max(1, int(speed)), Pace: sum.Pace}
}

// wait predicts how long a new request waits for its prefill to start. While
// others wait, every target is filled up to the router's bound.
func (s *Scheduler) wait(t *Ticket, l lane, sum router.Sum) time.Duration {
	q := s.queues[l]
	if q == nil || q.Len() == 0 || sum.Speed == 0 {
		return 0
	}
	return router.DefaultWait + router.Span(q.Ahead(t.Account, t.Share), sum.Speed)
}

// Needs returns the time from a ticket's placement to its last token.
func (s *Scheduler) Needs(t *Ticket) time.Duration {
	l := s.lane(t)
	sum := s.Router.Sum(l.service, l.long)
	if sum.Targets == 0 {
		return 0
	}
	return s.Admitter.Predict(s.request(t, sum))
}

// Backoff returns when a request that could not be placed should come back.
func (s *Scheduler) Backoff(t *Ticket) time.Duration {
	l := s.lane(t)
	return s.Admitter.Retry(s.wait(t, l, s.Router.Sum(l.service, l.long)))
}

// Enqueue adds a ticket. Its placement comes from a later Pump.
func (s *Scheduler) Enqueue(t *Ticket) {
	if s.waiting == nil {
		s.waiting, s.queues, s.stretch = map[string]*Ticket{}, map[lane]*queuer.Queuer{}, map[lane]*stretch{}
		s.held = map[lane]*held{}
	}
	s.waiting[t.ID] = t
	l := s.lane(t)
	q := s.queues[l]
	if q == nil {
		q = &queuer.Queuer{}
		s.queues[l], s.stretch[l] = q, &stretch{}
		s.order = append(s.order, l)
	}
	q.Push(&queuer.Item{
		ID: t.ID, Account: t.Account, Share: t.Share,
		Cost: t.Prompt + t.Output, Priority: t.Priority, Deadline: t.Deadline,
	})
}

// Abandon takes a ticket out of its queue and reports whether it waited.
func (s *Scheduler) Abandon(t *Ticket) bool {
	if s.waiting[t.ID] != t {
		return false
	}
	delete(s.waiting, t.ID)
	l := s.lane(t)
	if h := s.held[l]; h != nil && h.t == t {
		delete(s.held, l)
		return true
	}
	return s.queues[l].Remove(t.ID)
}

// Pump places as many waiting tickets as targets can take now.
func (s *Scheduler) Pump(now time.Time) []Placement {
	var out []Placement
	for _, l := range s.order {
		if h := s.held[l]; h != nil {
			p, ok := s.place(now, h.t, "")
			if ok {
				delete(s.held, l)
				out = append(out, s.leave(p))
			}
		}
		out = append(out, s.pump(now, l)...)
	}
	return out
}

// pump works on one queue. The first ticket that fits nowhere ends it; a long
// one is held apart first, so that it neither idles the targets nor is
// overtaken for ever.
func (s *Scheduler) pump(now time.Time, l lane) []Placement {
	var out []Placement
	q := s.queues[l]
	for it := q.Peek(); it != nil; it = q.Peek() {
		t := s.waiting[it.ID]
		h := s.held[l]
		target := ""
		if h != nil {
			target = h.target
		}
		p, ok := s.place(now, t, target)
		switch {
		case ok:
			out = append(out, s.leave(p))
		case h == nil && l.long && !s.Off:
			s.held[l] = &held{t: t, target: s.Router.Freest(ask(t))}
		default:
			return out
		}
		q.Pop()
	}
	return out
}

func (s *Scheduler) leave(p Placement) Placement {
	delete(s.waiting, p.Ticket.ID)
	return p
}

// place reports whether a ticket leaves its queue, with a target or without. It
// spares one target.
func (s *Scheduler) place(now time.Time, t *Ticket, spare string) (Placement, bool) {
	c := ask(t)
	c.Spare = spare
	if pick, ok := s.Router.Pick(now, c); ok {
		s.Router.Sent(now, pick, c)
		return Placement{Ticket: t, Pick: pick}, true
	}
	l := s.lane(t)
	if s.Router.Sum(l.service, l.long).Targets > len(t.Exclude) {
		return Placement{}, false
	}
	return Placement{Ticket: t, Err: s.none(t)}, true
}

// Started tells that the first piece of an answer came, a time after the
// placement that is zero if the request ended without one.
func (s *Scheduler) Started(t *Ticket, p router.Pick, after time.Duration) {
	s.Router.Started(p, ask(t))
	alone := router.Span(t.Prompt-p.Cached, p.Speed)
	if x := s.stretch[s.lane(t)]; after > 0 && alone > 0 && x != nil {
		x.learn(float64(after) / float64(alone))
	}
}

// Report takes the load that came with an answer.
func (s *Scheduler) Report(p router.Pick, l messenger.Load) {
	s.Router.Report(p.Target.ID, p.Target.Incarnation, l)
}

func (s *Scheduler) lane(t *Ticket) lane {
	return lane{service: t.Service, long: s.Router.IsLong(t.Prompt)}
}

func ask(t *Ticket) router.Case {
	return router.Case{
		Service: t.Service, Prompt: t.Prompt, Output: t.Output,
		Prefix: t.Prefix, Text: t.Text, Exclude: t.Exclude,
	}
}
