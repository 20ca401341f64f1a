// Package scheduler combines admission, queueing and routing: it admits a request, queues
// it and places it at a target as soon as one can accept it.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/apportioner"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/queuer"
	"bramleyshunt/router"
)

// maxGangSize is the maximum number of targets that hold one prompt together. The router
// has the same limit.
const maxGangSize = 17

// maxTriedBehind bounds the tickets behind the first one of a queue that one dispatch tries
// to place.
const maxTriedBehind = 16

// Ticket is a request that waits for a target. Prompt and Output are predicted tokens.
type Ticket struct {
	ID           string
	Service      string
	Account      string
	Share        int // weight of the account in fair queueing
	Priority     int // higher values are placed first within the account
	Prompt       int
	Output       int
	LikelyOutput int      // expected answer tokens if Output is only an upper bound; zero if Output is the expectation
	PromptBytes  int      // bytes of prompt text
	PrefixHashes []uint64 // hashes of the prompt's prefixes, shortest first
	Deadline     time.Time
	Exclude      []string // targets that failed the request
	Regions      []string // that its targets must lie in, sorted; empty for any
	Sender       string   // node name of the entry whose request it is; empty for this one

	Prefill        time.Duration // predicted prefill time on one target; zero if unknown
	PrefillTargets int           // number of targets that should share the prefill
	Objective      time.Duration // time-to-first-token objective; zero for none
	MaxGap         time.Duration // longest allowed inter-token gap; zero for no bound
	PassTime       time.Duration // duration of a decode pass at a busy target, which separates two events of a stream
	Cache          int           // tokens of finished prompts that an engine keeps; -1 for none, 0 for unknown

	DecodeTime time.Duration // engine time per answer token; zero if unknown

	firstAttempt time.Time // when placement was first attempted
	send         sendState // at a target with a bound on its requests
	deferred     bool      // counted in Scheduler.Deferred
	asked        bool      // the relay is being asked for it while it is queued
	charge       charge    // work charged to the account for the current placement
}

// Predict sets the fields that depend on the declared speed of the service's engines.
func (t *Ticket) Predict(e configurer.Engine) {
	p := predictor.Predictor{Engine: e}
	t.Prefill, t.PrefillTargets = p.Prefill(t.Prompt, 1), p.PrefillTargets(t.Prompt, predictor.MaxUnsplitPrefill, predictor.PrefillPerTarget)
	t.PassTime, t.LikelyOutput, t.DecodeTime = p.BusyPass(), int(e.Answer), p.Decode(1)
	t.Cache = e.Cache
}

// Placement is the target selected for a ticket, or the error that ends its wait.
type Placement struct {
	Ticket *Ticket
	Pick   router.Pick
	Err    error
}

// Scheduler places the requests of one entry. The zero value has no targets.
type Scheduler struct {
	Admitter admitter.Admitter
	Router   router.Router
	Disabled Features // disabled for ablation benchmarks
	Deferred int      // tickets that a bound on the requests to targets has made wait

	WhyNoTarget func(service string) string // states why a service has no target; empty if unknown, nil if it always is

	queues     map[queueKey]*queuer.Queuer
	keys       []queueKey // keys of queues, shorter classes first
	waiting    map[string]*Ticket
	slowdowns  map[queueKey]*slowdown
	drains     map[queueKey]*drainMeter
	restricted bool // a ticket with regions may be waiting

	fair     *apportioner.Apportioner // nil if accounts are served by their requests here alone
	returned map[string]*Ticket       // placed, not sent, and not yet queued again; by ID
	asking   []*Ask                   // of other entries, in the order of compareAsks
	askSeq   uint64
}

// Features selects parts of the scheduler that a benchmark disables.
type Features struct {
	PassWaiting bool // place requests behind one that waits for targets
	RefuseLate  bool // refuse requests that are predicted to miss their deadline
}

// queueKey identifies one queue. Length classes have separate queues, so that a longer
// prompt that waits for memory does not block shorter ones. Long and Huge share a queue,
// as Long prompts would otherwise starve Huge ones. Sets of regions have separate queues, so
// that requests that wait for one region do not block those that may use another.
type queueKey struct {
	service string
	class   messenger.Class
	regions string // router.RegionKey
}

// Queued returns the number of waiting tickets.
func (s *Scheduler) Queued() int { return len(s.waiting) }

// ExceedsTarget reports whether a request exceeds the memory of every single target.
func (s *Scheduler) ExceedsTarget(t *Ticket) bool {
	memory := s.capacity(t).MaxMemory
	return memory > 0 && t.Prompt+t.Output > memory
}

// Admit returns nil if a request can finish before its deadline. Otherwise it returns the
// error to refuse the request with: NoTarget, NoRegion, PromptTooLong, Overloaded or
// DeadlineExceeded.
func (s *Scheduler) Admit(now time.Time, t *Ticket) error {
	k := s.key(t)
	total := s.capacity(t)
	if total.Targets == 0 {
		return s.noTarget(t)
	}
	if t.Prefill > 0 && t.Prompt+t.Output > min(total.Targets, maxGangSize)*total.MaxMemory && total.MaxMemory > 0 {
		return coder.Errorf(coder.Overloaded, "about %d tokens, memory for %d in all targets", t.Prompt+t.Output, total.Targets*total.MaxMemory)
	}
	if t.Prefill == 0 && s.ExceedsTarget(t) {
		return coder.Errorf(coder.PromptTooLong, "about %d tokens, engine memory for %d", t.Prompt+t.Output, total.MaxMemory)
	}
	if err := s.CheckPauses(now, t); err != nil {
		return err
	}
	if err := s.checkLimits(now, t, s.queued(k)); err != nil {
		return err
	}
	if err := s.checkShares(now, t, s.queued(k)); err != nil {
		return err
	}
	if s.Disabled.RefuseLate {
		return nil
	}
	req := s.predictRequest(t, total)
	req.Remaining = t.Deadline.Sub(now)
	req.Wait = s.predictWait(now, t, k, total)
	return s.admitFairly(now, t, k, req)
}

// checkLimits returns an error if the rate limits of the service's targets let the ticket,
// behind a number of others, start too late to finish before its deadline.
func (s *Scheduler) checkLimits(now time.Time, t *Ticket, ahead int) error {
	wait, ok := s.Router.LimitWait(now, t.Service, ahead, t.Regions...)
	if ok && (wait == 0 || wait+s.PredictDuration(t) < t.Deadline.Sub(now)) {
		return nil
	}
	e := coder.Errorf(coder.Overloaded, "every target limits its rate")
	e.Retry = s.Admitter.RetryAfter(wait)
	return e
}

// queued returns the number of tickets in a queue.
func (s *Scheduler) queued(k queueKey) int {
	if q := s.queues[k]; q != nil {
		return q.Len()
	}
	return 0
}

// noTarget returns the error for a ticket that no target can serve.
func (s *Scheduler) noTarget(t *Ticket) error {
	if len(t.Regions) > 0 && !s.Router.HasTargets(t.Service, t.Regions...) {
		return s.noRegion(t)
	}
	e := coder.Errorf(coder.NoTarget, "service %q", t.Service)
	if s.WhyNoTarget != nil {
		if why := s.WhyNoTarget(t.Service); why != "" {
			e.Text += ": " + why
		}
	}
	e.Retry = s.Admitter.RetryAfter(0)
	return e
}

// predictRequest describes a request as if it were placed now. The prefill rate is the one
// that recent requests of the same queue experienced, which under load is lower than the
// reported rate of a target.
func (s *Scheduler) predictRequest(t *Ticket, total router.Capacity) admitter.Request {
	if t.Prefill > 0 {
		parts := min(max(1, t.PrefillTargets), max(1, total.Targets/2))
		return admitter.Request{Prefill: t.Prefill / time.Duration(parts), Output: t.expectedOutput(), DecodeRate: total.DecodeRate}
	}
	rate := float64(total.PrefillRate/total.Targets) / s.slowdowns[s.key(t)].upperBound()
	return admitter.Request{Prompt: t.Prompt, Output: t.expectedOutput(), PrefillRate: max(1, int(rate)), DecodeRate: total.DecodeRate}
}

// expectedOutput returns the number of answer tokens that the predictions assume.
func (t *Ticket) expectedOutput() int {
	if t.LikelyOutput > 0 {
		return min(t.LikelyOutput, t.Output)
	}
	return t.Output
}

// predictWait returns how long a new request waits for its prefill to start. While other
// requests are queued, every target is filled up to the router's maximum wait.
func (s *Scheduler) predictWait(now time.Time, t *Ticket, k queueKey, total router.Capacity) time.Duration {
	q := s.queues[k]
	if q == nil || q.Len() == 0 || total.PrefillRate == 0 {
		return 0
	}
	if t.Prefill > 0 {
		return s.countedWait(now, t, k, total)
	}
	return router.DefaultMaxWait + router.TokenTime(q.TokensAhead(t.Account, t.Share), s.drains[k].rate(now, total.PrefillRate, q.Peek().Cost))
}

// PredictDuration returns the predicted time from the placement of a ticket to its last
// token, or zero if the service has no targets.
func (s *Scheduler) PredictDuration(t *Ticket) time.Duration {
	total := s.capacity(t)
	if total.Targets == 0 {
		return 0
	}
	return s.Admitter.Predict(s.predictRequest(t, total))
}

// RetryAfter returns the delay after which a request that could not be placed should be
// retried.
func (s *Scheduler) RetryAfter(now time.Time, t *Ticket) time.Duration {
	k := s.key(t)
	return s.Admitter.RetryAfter(s.predictWait(now, t, k, s.capacity(t)))
}

// Enqueue adds a ticket. A later call of Dispatch returns its placement.
func (s *Scheduler) Enqueue(t *Ticket) {
	if s.waiting == nil {
		s.waiting, s.queues, s.slowdowns = map[string]*Ticket{}, map[queueKey]*queuer.Queuer{}, map[queueKey]*slowdown{}
		s.drains = map[queueKey]*drainMeter{}
	}
	s.waiting[t.ID] = t
	s.restricted = s.restricted || len(t.Regions) > 0
	delete(s.returned, t.ID)
	k := s.key(t)
	q := s.queues[k]
	if q == nil {
		q = &queuer.Queuer{}
		q.SetRanks(s.ranks())
		s.queues[k], s.slowdowns[k], s.drains[k] = q, &slowdown{}, &drainMeter{}
		i, _ := slices.BinarySearchFunc(s.keys, k, compareKeys)
		s.keys = slices.Insert(s.keys, i, k)
	}
	q.Push(&queuer.Item{
		ID: t.ID, Account: t.Account, Share: t.Share,
		Cost: t.Prompt + t.Output, Priority: t.Priority, Deadline: t.Deadline,
	})
}

// compareKeys orders queues by length class, then by service and regions.
func compareKeys(a, b queueKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.service, b.service), cmp.Compare(a.regions, b.regions))
}

// Abandon removes a ticket from its queue and reports whether it was queued.
func (s *Scheduler) Abandon(t *Ticket) bool {
	if s.waiting[t.ID] != t {
		return false
	}
	delete(s.waiting, t.ID)
	return s.queues[s.key(t)].Remove(t.ID)
}

// recordDrain updates the drain rate of a queue after a dispatch.
func (s *Scheduler) recordDrain(now time.Time, k queueKey, placed []Placement) {
	tokens := 0
	for _, p := range placed {
		tokens += p.Ticket.Prompt + p.Ticket.Output
	}
	s.drains[k].record(now, s.queues[k].Len() > 0, tokens)
}

// PrefillDone records that the first chunk of an answer has arrived. The time after
// placement is zero if the request ended without an answer.
func (s *Scheduler) PrefillDone(t *Ticket, p router.Pick, after time.Duration) {
	s.Router.PrefillDone(p, toRequest(t))
	if after > 0 {
		s.answered(t, p)
	}
	// All of the hinted prefix is left out, so that a wrong hint errs towards refusing.
	idle := router.TokenTime(t.Prompt-p.Prefix, p.PrefillRate)
	if x := s.slowdowns[s.key(t)]; after > 0 && idle > 0 && x != nil {
		x.record(float64(after) / float64(idle))
	}
}

// Ended records that a placed request is over. What it was charged is taken back unless Settle
// has been called.
func (s *Scheduler) Ended(t *Ticket, p router.Pick) {
	s.Router.Ended(p, toRequest(t))
	s.refund(t)
	s.release(t, p)
}

// Report records the load that a target sent with an answer.
func (s *Scheduler) Report(now time.Time, p router.Pick, l messenger.Load) {
	s.Router.Report(now, p.Target.ID, p.Target.Incarnation, l)
}

// capacity returns the capacity of the targets that may accept a ticket.
func (s *Scheduler) capacity(t *Ticket) router.Capacity {
	return s.Router.Capacity(t.Service, s.Router.IsLong(t.Prompt), t.Regions...)
}

func (s *Scheduler) key(t *Ticket) queueKey {
	return queueKey{service: t.Service, class: min(messenger.ClassOf(t.Prompt), messenger.Long), regions: router.RegionKey(t.Regions)}
}

// toRequest describes a ticket to the router.
func toRequest(t *Ticket) router.Request {
	return router.Request{
		Service: t.Service, Prompt: t.Prompt, Output: t.Output,
		Regions:      t.Regions,
		PrefixHashes: t.PrefixHashes, PromptBytes: t.PromptBytes, Exclude: t.Exclude, Prefill: t.Prefill, PrefillTargets: t.PrefillTargets, Objective: t.Objective, MaxGap: t.MaxGap, PassTime: t.PassTime, Cache: t.Cache,
	}
}
