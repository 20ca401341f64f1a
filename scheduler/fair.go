package scheduler

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/apportioner"
	"bramleyshunt/coder"
	"bramleyshunt/queuer"
	"bramleyshunt/router"
)

const (
	// minWork is the least work that a request that runs is charged, in milliseconds: calls of
	// plain services have no tokens.
	minWork = 1.0
	// assumedStreams is the number of streams among which an engine that declares no speed
	// divides its time while it decodes.
	assumedStreams = 16
)

// ErrAboveShare is the cause of refusals of accounts that have used more than their share.
var ErrAboveShare = errors.New("account above its share")

// charge is the work charged for a placement, in milliseconds.
type charge struct {
	at      time.Time
	prefill float64
	decode  float64 // for the expected answer
	token   float64 // per answer token
}

// Spent describes what a target has done for a placed request. The zero value says that the
// request did not run.
type Spent struct {
	Ran     bool          // the request may have run
	Started bool          // the answer has begun, so that the whole prompt was prefilled
	Busy    time.Duration // how long the target had the request, if the answer has not begun
	Output  int           // answer tokens
}

// SetFair serves accounts by their use in the fleet, and refuses those above their share first
// when requests would be late. Nil restores the order by the requests of this entry.
func (s *Scheduler) SetFair(a *apportioner.Apportioner) {
	if s.fair == a {
		return
	}
	s.fair = a
	for _, q := range s.queues {
		q.SetRanks(s.ranks())
	}
	if a == nil {
		s.returned = nil
		s.asking = nil
	}
}

// ranks returns the order of accounts for a queue, nil for the order by deficit.
func (s *Scheduler) ranks() *queuer.Ranks {
	if s.fair == nil {
		return nil
	}
	return &queuer.Ranks{Of: s.fair.Rank, Floor: s.fair.Floor, Generation: s.fair.Generation}
}

// admitFairly decides on a request, and refuses accounts above their share first.
func (s *Scheduler) admitFairly(now time.Time, t *Ticket, k queueKey, req admitter.Request) error {
	if s.fair == nil {
		return s.Admitter.Admit(req)
	}
	// Prompts that are split wait for idle targets, not for their turn: they are put in order, and
	// their wait tells nothing of the next one.
	contended := t.PrefillTargets <= 1 && s.otherWaits(now, t, k)
	if contended && s.lateInQueue(now, t, k, req) && s.fair.Above(now, t.Account) {
		e := coder.Errorf(coder.Overloaded, "the account has used %.0f ms, its share is %.0f ms",
			s.fair.Use(now, t.Account), s.fair.Share(now, t.Account))
		e.Retry, e.Cause = max(s.fair.Retry(now, t.Account), time.Millisecond), ErrAboveShare
		return e
	}
	err := s.Admitter.Admit(req)
	if e := coder.Of(err); err != nil && contended && e.Code == coder.Overloaded && s.fair.Above(now, t.Account) {
		e.Retry, e.Cause = max(e.Retry, s.fair.Retry(now, t.Account)), ErrAboveShare
	}
	return err
}

// otherWaits reports whether a request of the same queue and priority waits here whose account is
// not above its share.
func (s *Scheduler) otherWaits(now time.Time, t *Ticket, k queueKey) bool {
	within := func(account string) bool { return !s.fair.Above(now, account) }
	if q := s.queues[k]; q != nil && q.OtherWaits(t.Account, t.Priority, within) {
		return true
	}
	for _, o := range s.returned {
		if o.Account != t.Account && o.Priority == t.Priority && s.key(o) == k && within(o.Account) {
			return true
		}
	}
	return false
}

// lateInQueue reports whether a request would miss its objective behind all that waits in its queue,
// or its deadline if it can't meet an objective.
func (s *Scheduler) lateInQueue(now time.Time, t *Ticket, k queueKey, req admitter.Request) bool {
	wait := req.Wait
	if q := s.queues[k]; q != nil && q.Len() > 0 {
		if rate, ok := s.drains[k].measured(now, q.Peek().Cost); ok {
			wait = max(wait, router.TokenTime(q.Tokens(), rate))
		}
	}
	req.Wait = wait
	if t.Objective > req.Prefill { // a longer prompt misses its objective without a wait
		return wait > max(t.Objective-req.Prefill, router.DefaultMaxWait)
	}
	return s.Admitter.Predict(req) > req.Remaining
}

// countedWait predicts the wait behind others of a request that is placed by count, for which the
// token rate that targets report is meaningless. While accounts are served by their use, it follows
// from the rate at which the queue drains, and from how long the first request of the account has
// waited.
func (s *Scheduler) countedWait(now time.Time, t *Ticket, k queueKey, total router.Capacity) time.Duration {
	q := s.queues[k]
	wait := router.DefaultMaxWait
	if t.PrefillTargets > 1 || s.fair == nil {
		return wait
	}
	if rate, ok := s.drains[k].measured(now, q.Peek().Cost); ok {
		wait = max(wait, router.TokenTime(q.TokensAhead(t.Account, t.Share), min(rate, total.PrefillRate)))
	}
	if it := q.Head(t.Account); it != nil && it.Priority == t.Priority {
		wait = max(wait, s.waiting[it.ID].QueueTime(now))
	}
	return wait
}

// triedBehind returns the tickets to try behind one that fits no target, given all of them with
// shorter prompts first. While accounts are served by their use, those of the accounts with the
// least use are tried first, and then as many as otherwise, so that no place is left free.
func (s *Scheduler) triedBehind(behind []*Ticket) []*Ticket {
	shortest := behind[:min(len(behind), maxTriedBehind)]
	if s.fair == nil {
		return shortest
	}
	ranked := s.leastRanked(behind)
	for _, t := range shortest {
		if !slices.Contains(ranked[:len(shortest)], t) {
			ranked = append(ranked, t)
		}
	}
	return ranked
}

// leastRanked returns the tickets that are tried first by priority and by the use of their accounts.
// It does not sort all of them, of which there may be hundreds.
func (s *Scheduler) leastRanked(tickets []*Ticket) []*Ticket {
	type ranked struct {
		t    *Ticket
		rank float64
	}
	floor := s.fair.Floor()
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.t.Priority, a.t.Priority), cmp.Compare(a.rank, b.rank), shorterPrompt(a.t, b.t))
	}
	best := make([]ranked, 0, maxTriedBehind+1)
	for _, t := range tickets {
		r := ranked{t: t, rank: max(floor, s.fair.Rank(t.Account))}
		if len(best) == maxTriedBehind && compare(best[len(best)-1], r) <= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, r, compare)
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), maxTriedBehind)]
	}
	out := make([]*Ticket, 0, 2*maxTriedBehind)
	for _, r := range best {
		out = append(out, r.t)
	}
	return out
}

func shorterPrompt(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Prompt, b.Prompt), cmp.Compare(a.ID, b.ID))
}

// chargePlacement charges the account of a placed ticket for the predicted work.
func (s *Scheduler) chargePlacement(now time.Time, t *Ticket, p router.Pick) {
	if s.fair == nil {
		return
	}
	c := charge{at: now, prefill: milliseconds(t.Prefill), token: milliseconds(t.DecodeTime)}
	if t.Prefill == 0 {
		c.prefill = milliseconds(router.TokenTime(t.Prompt-p.Cached, p.PrefillRate))
	}
	if t.DecodeTime == 0 {
		c.token = milliseconds(router.TokenTime(1, p.DecodeRate)) / assumedStreams
	}
	c.prefill = max(minWork, c.prefill)
	c.decode = c.token * float64(t.expectedOutput())
	t.charge = c
	s.chargeAccount(now, t.Account, c.prefill+c.decode)
}

// Settle corrects the charge of a placed ticket to what was done for it. It is called before
// Ended.
func (s *Scheduler) Settle(now time.Time, t *Ticket, x Spent) {
	c := t.charge
	if s.fair == nil || c.at.IsZero() || !x.Ran {
		return // Ended refunds
	}
	t.charge = charge{}
	used := c.prefill
	if !x.Started {
		used = min(used, max(minWork, milliseconds(x.Busy)))
	}
	used += c.token * float64(max(0, x.Output))
	at := c.at
	if used > c.prefill+c.decode {
		at = now
	}
	s.chargeAccount(at, t.Account, used-c.prefill-c.decode)
}

// ChargeWork charges an account for a request that ran without a placement of this scheduler.
func (s *Scheduler) ChargeWork(now time.Time, t *Ticket) {
	total := s.capacity(t)
	if s.fair == nil || total.Targets == 0 {
		return
	}
	s.chargePlacement(now, t, router.Pick{PrefillRate: total.PrefillRate / total.Targets, DecodeRate: total.DecodeRate})
	t.charge = charge{}
}

// refund takes back the charge of a ticket that has not been settled.
func (s *Scheduler) refund(t *Ticket) {
	if s.fair != nil && !t.charge.at.IsZero() {
		s.chargeAccount(t.charge.at, t.Account, -t.charge.prefill-t.charge.decode)
	}
	t.charge = charge{}
}

func (s *Scheduler) chargeAccount(at time.Time, account string, ms float64) {
	s.fair.Charge(at, account, ms)
	for _, q := range s.queues {
		q.Charged(account)
	}
}

// Returned records that a placed ticket has ended without being sent and is about to be queued
// again. Until then it counts as waiting.
func (s *Scheduler) Returned(t *Ticket) {
	if s.fair == nil {
		return
	}
	if s.returned == nil {
		s.returned = map[string]*Ticket{}
	}
	s.returned[t.ID] = t
}

// NotReturned records that a ticket is not queued again.
func (s *Scheduler) NotReturned(t *Ticket) { delete(s.returned, t.ID) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
