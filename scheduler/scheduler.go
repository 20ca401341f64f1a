// Package scheduler joins admission, queueing and routing: it admits a request,
// keeps it in its queue and places it at a target as soon as one can take it.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/queuer"
	"bramleyshunt/router"
)

// mostShared is how many targets can hold a prompt together.
const mostShared = 17

// Ticket is one request to be placed. Counts are predicted tokens.
type Ticket struct {
	ID       string
	Service  string
	Account  string
	Share    int // weight of the account
	Priority int // higher goes first within the account
	Prompt   int
	Output   int
	Likely   int      // answer tokens, where Output is only the most that there may be; zero if it isn't
	Text     int      // bytes of prompt text
	Prefix   []uint64 // hashes of the prompt's beginnings, shortest first
	Deadline time.Time
	Exclude  []string // targets that failed it

	Read   time.Duration // predicted prefill on one target; zero if unknown
	Pieces int           // targets that should read it together
	Aim    time.Duration // for the first token; zero for none
	Gap    time.Duration // longest pause between events; zero for none
	Pass   time.Duration // of a busy target, between two events of a stream

	since time.Time // when its placement was first tried
}

// Predict fills in what follows from the declared speed of the service's engines.
func (t *Ticket) Predict(e configurer.Engine) {
	p := predictor.Predictor{Engine: e}
	t.Read, t.Pieces = p.Read(t.Prompt, 1), p.Parts(t.Prompt, predictor.WholeRead, predictor.PieceRead)
	t.Pass, t.Likely = p.Busy(), int(e.Answer)
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

	queues  map[lane]*queuer.Queuer
	order   []lane // of queues, shorter classes first
	waiting map[string]*Ticket
	stretch map[lane]*stretch
	backlog map[lane]*backlog
}

// lane names one queue. Classes queue apart, as a longer prompt that waits for
// memory must not hold up shorter ones; Long and Huge share a queue, as the one
// would overtake the other for ever.
type lane struct {
	service string
	class   messenger.Class
}

// Queued returns the number of waiting tickets.
func (s *Scheduler) Queued() int { return len(s.waiting) }

// Huge reports whether no single target can ever hold a request.
func (s *Scheduler) Huge(t *Ticket) bool {
	most := s.sum(t).MaxMemory
	return most > 0 && t.Prompt+t.Output > most
}

// Admit returns nil if a request can finish in its time, else the error to
// refuse it with: NoTarget, PromptTooLong, Overloaded or DeadlineExceeded.
func (s *Scheduler) Admit(now time.Time, t *Ticket) error {
	l := s.lane(t)
	sum := s.sum(t)
	if sum.Targets == 0 {
		return s.none(t)
	}
	if t.Read > 0 && t.Prompt+t.Output > min(sum.Targets, mostShared)*sum.MaxMemory && sum.MaxMemory > 0 {
		return coder.Errorf(coder.Overloaded, "about %d tokens, memory for %d in all targets", t.Prompt+t.Output, sum.Targets*sum.MaxMemory)
	}
	if t.Read == 0 && s.Huge(t) {
		return coder.Errorf(coder.PromptTooLong, "about %d tokens, engine memory for %d", t.Prompt+t.Output, sum.MaxMemory)
	}
	c := s.request(t, sum)
	c.Left = t.Deadline.Sub(now)
	c.Wait = s.wait(now, t, l, sum)
	return s.Admitter.Admit(c)
}

func (s *Scheduler) none(t *Ticket) error {
	e := coder.Errorf(coder.NoTarget, "service %q", t.Service)
	e.Retry = s.Admitter.Retry(0)
	return e
}

// request predicts a placed request. The prefill speed is what requests of its
// lane have got of late, which is less than a target's own under load.
func (s *Scheduler) request(t *Ticket, sum router.Capacity) admitter.Case {
	if t.Read > 0 {
		pieces := min(max(1, t.Pieces), max(1, sum.Targets/2))
		return admitter.Case{Read: t.Read / time.Duration(pieces), Output: t.output(), Pace: sum.DecodeRate}
	}
	speed := float64(sum.PrefillRate/sum.Targets) / s.stretch[s.lane(t)].upper()
	return admitter.Case{Prompt: t.Prompt, Output: t.output(), Speed: max(1, int(speed)), Pace: sum.DecodeRate}
}

// output returns the answer tokens to allow time for.
func (t *Ticket) output() int {
	if t.Likely > 0 {
		return min(t.Likely, t.Output)
	}
	return t.Output
}

// wait predicts how long a new request waits for its prefill to start. While
// others wait, every target is filled up to the router's bound.
func (s *Scheduler) wait(now time.Time, t *Ticket, l lane, sum router.Capacity) time.Duration {
	q := s.queues[l]
	if q == nil || q.Len() == 0 || sum.PrefillRate == 0 {
		return 0
	}
	if t.Read > 0 {
		return router.DefaultMaxWait // requests are placed by count: tokens a second tell nothing
	}
	return router.DefaultMaxWait + router.TokenTime(q.TokensAhead(t.Account, t.Share), s.backlog[l].rate(now, sum.PrefillRate, q.Peek().Cost))
}

// Needs returns the time from a ticket's placement to its last token.
func (s *Scheduler) Needs(t *Ticket) time.Duration {
	sum := s.sum(t)
	if sum.Targets == 0 {
		return 0
	}
	return s.Admitter.Predict(s.request(t, sum))
}

// Backoff returns when a request that could not be placed should come back.
func (s *Scheduler) Backoff(now time.Time, t *Ticket) time.Duration {
	l := s.lane(t)
	return s.Admitter.Retry(s.wait(now, t, l, s.sum(t)))
}

// Enqueue adds a ticket. Its placement comes from a later Pump.
func (s *Scheduler) Enqueue(t *Ticket) {
	if s.waiting == nil {
		s.waiting, s.queues, s.stretch = map[string]*Ticket{}, map[lane]*queuer.Queuer{}, map[lane]*stretch{}
		s.backlog = map[lane]*backlog{}
	}
	s.waiting[t.ID] = t
	l := s.lane(t)
	q := s.queues[l]
	if q == nil {
		q = &queuer.Queuer{}
		s.queues[l], s.stretch[l], s.backlog[l] = q, &stretch{}, &backlog{}
		i, _ := slices.BinarySearchFunc(s.order, l, compare)
		s.order = slices.Insert(s.order, i, l)
	}
	q.Push(&queuer.Item{
		ID: t.ID, Account: t.Account, Share: t.Share,
		Cost: t.Prompt + t.Output, Priority: t.Priority, Deadline: t.Deadline,
	})
}

func compare(a, b lane) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.service, b.service))
}

// Abandon takes a ticket out of its queue and reports whether it waited.
func (s *Scheduler) Abandon(t *Ticket) bool {
	if s.waiting[t.ID] != t {
		return false
	}
	delete(s.waiting, t.ID)
	return s.queues[s.lane(t)].Remove(t.ID)
}

// Pump places as many waiting tickets as targets can take now. A queue whose
// first ticket fits nowhere waits, so that a large request isn't overtaken for ever.
func (s *Scheduler) Pump(now time.Time) []Placement {
	var out []Placement
	for _, l := range s.order {
		placed := s.pump(now, l)
		s.note(now, l, placed)
		out = append(out, placed...)
	}
	return out
}

func (s *Scheduler) pump(now time.Time, l lane) []Placement {
	var out []Placement
	q := s.queues[l]
	for it := q.Peek(); it != nil; it = q.Peek() {
		p, ok := s.place(now, s.waiting[it.ID])
		if !ok {
			break
		}
		q.Pop()
		delete(s.waiting, it.ID)
		out = append(out, p)
	}
	return out
}

// place reports whether a ticket leaves its queue, with a target or without.
func (s *Scheduler) place(now time.Time, t *Ticket) (Placement, bool) {
	if t.since.IsZero() {
		t.since = now
	}
	c := ask(t)
	c.QueueTime = now.Sub(t.since)
	if pick, ok := s.Router.Pick(now, c); ok {
		s.Router.Sent(now, pick, c)
		return Placement{Ticket: t, Pick: pick}, true
	}
	if s.Router.ShouldRefuse(c) {
		e := coder.Errorf(coder.Overloaded, "a read of about %d tokens would hold up streams at every target", t.Prompt)
		e.Retry = s.Admitter.Retry(0)
		return Placement{Ticket: t, Err: e}, true
	}
	if s.sum(t).Targets > len(t.Exclude) {
		return Placement{}, false
	}
	return Placement{Ticket: t, Err: s.none(t)}, true
}

// note measures the backlog of a queue after it was pumped.
func (s *Scheduler) note(now time.Time, l lane, placed []Placement) {
	tokens := 0
	for _, p := range placed {
		tokens += p.Ticket.Prompt + p.Ticket.Output
	}
	s.backlog[l].note(now, s.queues[l].Len() > 0, tokens)
}

// Started tells that the first piece of an answer came, a time after the
// placement that is zero if the request ended without one.
func (s *Scheduler) Started(t *Ticket, p router.Pick, after time.Duration) {
	s.Router.PrefillDone(p, ask(t))
	alone := router.TokenTime(t.Prompt-p.Cached, p.PrefillRate)
	if x := s.stretch[s.lane(t)]; after > 0 && alone > 0 && x != nil {
		x.learn(float64(after) / float64(alone))
	}
}

// Ended tells that a placed request is over.
func (s *Scheduler) Ended(t *Ticket, p router.Pick) { s.Router.Ended(p, ask(t)) }

// Report takes the load that came with an answer.
func (s *Scheduler) Report(now time.Time, p router.Pick, l messenger.Load) {
	s.Router.Report(now, p.Target.ID, p.Target.Incarnation, l)
}

// sum adds up the targets that may take a ticket.
func (s *Scheduler) sum(t *Ticket) router.Capacity {
	return s.Router.Capacity(t.Service, s.Router.IsLong(t.Prompt))
}

func (s *Scheduler) lane(t *Ticket) lane {
	return lane{service: t.Service, class: min(messenger.ClassOf(t.Prompt), messenger.Long)}
}

func ask(t *Ticket) router.Request {
	return router.Request{
		Service: t.Service, Prompt: t.Prompt, Output: t.Output,
		PrefixHashes: t.Prefix, PromptBytes: t.Text, Exclude: t.Exclude, Prefill: t.Read, PrefillTargets: t.Pieces, Objective: t.Aim, MaxGap: t.Gap, PassTime: t.Pass,
	}
}
