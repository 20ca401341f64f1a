// Package retrier decides whether a failed attempt of a request is retried and after
// what delay. A retry budget per service limits retries to a ratio of its requests.
package retrier

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/coder"
)

const (
	// DefaultRetryRatio is the number of retries that each request of a service earns
	// if the service sets no ratio.
	DefaultRetryRatio = 0.1
	// DefaultMaxBudget is the maximum number of unused retries of a service unless
	// SetMaxBudget sets another one.
	DefaultMaxBudget = 20.0

	maxAttempts  = 6
	initialDelay = 10 * time.Millisecond
	maxDelay     = time.Second
	seedStream   = 0x72657472 // PCG stream of the random delays, "retr" in ASCII
)

// Failure describes one failed attempt.
type Failure struct {
	Service       string
	Err           error
	NonIdempotent bool          // an attempt that may have run must not be repeated
	AnswerStarted bool          // the caller has received part of the answer
	Attempts      int           // attempts made so far
	Remaining     time.Duration // time until the deadline
	MaxAttempts   int           // capped at maxAttempts, which also applies if not positive
}

// Retrier holds the retry budgets of all services. Its zero value is ready to use: every
// budget starts full, and only requests earn back what is spent.
//
// With a Window, spent retries are also given back after that time. Then a budget is full
// only once the process has run for a Window, so that in no Window the processes of a node
// together retry more than MaxBudget allows beyond what requests earn.
type Retrier struct {
	Seed    uint64
	Window  time.Duration
	Started time.Time // start of the process; used with Window

	rnd       *rand.Rand
	maxBudget float64   // DefaultMaxBudget if zero
	since     time.Time // when maxBudget was last raised; Started if never
	budgets   map[string]*budget
}

// SetMaxBudget sets the maximum number of unused retries of each service;
// DefaultMaxBudget if not positive.
func (r *Retrier) SetMaxBudget(now time.Time, n float64) {
	if n > r.MaxBudget() {
		r.since = now
	}
	r.maxBudget = max(0, n)
	for _, b := range r.budgets {
		b.resize(now, r.MaxBudget(), r.Window)
	}
}

// MaxBudget returns the maximum number of unused retries of each service.
func (r *Retrier) MaxBudget() float64 {
	if r.maxBudget > 0 {
		return r.maxBudget
	}
	return DefaultMaxBudget
}

// Unused returns the retries that a service has left.
func (r *Retrier) Unused(now time.Time, service string) float64 {
	b := r.budget(service)
	b.expire(now, r.Window)
	return b.unused()
}

// RecordRequest credits a service's budget for the first attempt of a request.
func (r *Retrier) RecordRequest(service string, ratio float64) {
	r.budget(service).earn(retryRatio(ratio))
}

func (r *Retrier) budget(service string) *budget {
	if r.budgets == nil {
		r.budgets = map[string]*budget{}
	}
	b := r.budgets[service]
	if b == nil {
		since := r.Started
		if r.since.After(since) {
			since = r.since
		}
		b = newBudget(r.MaxBudget(), since, r.Window)
		r.budgets[service] = b
	}
	return b
}

// Retry charges a retry to the budget, unless nothing reached the target of the failed
// attempt, and returns the delay before the next attempt. If
// the request must not be retried it returns the error to report to the caller: that of
// the attempt, or coder.RetryBudget if only the budget prevents the retry.
func (r *Retrier) Retry(now time.Time, f Failure) (time.Duration, error) {
	delay := r.delay(f.Attempts)
	if err := r.check(now, f, delay); err != nil {
		return 0, err
	}
	if reached(f) {
		r.budget(f.Service).charge(now, 1)
	}
	return delay, nil
}

// Check returns nil if Reserve would succeed, else the error that Retry would return.
func (r *Retrier) Check(now time.Time, f Failure) error { return r.check(now, f, 0) }

// Reserve charges an attempt that starts before another one has failed. It reports whether
// that attempt may start.
func (r *Retrier) Reserve(now time.Time, f Failure) bool {
	if r.Check(now, f) != nil {
		return false
	}
	r.budget(f.Service).charge(now, 1)
	return true
}

func (r *Retrier) check(now time.Time, f Failure, delay time.Duration) error {
	e := coder.Of(f.Err)
	if !retryable(e, f) || f.Attempts >= attemptLimit(f) || delay >= f.Remaining {
		return f.Err
	}
	if reached(f) && r.Unused(now, f.Service) < 1 {
		return &coder.Error{Code: coder.RetryBudget, Run: e.Run, Retry: max(e.Retry, time.Second), Cause: f.Err}
	}
	return nil
}

// reached reports whether the failed attempt may have reached its target. If not, the next
// one is the first that a target receives, and no retry.
func reached(f Failure) bool {
	e := coder.Of(f.Err)
	return e.Code != coder.TargetLost || e.Run != coder.NotRun
}

func attemptLimit(f Failure) int {
	if f.MaxAttempts <= 0 {
		return maxAttempts
	}
	return min(f.MaxAttempts, maxAttempts)
}

// retryable reports whether another attempt is safe and may succeed.
func retryable(e *coder.Error, f Failure) bool {
	if f.AnswerStarted || f.NonIdempotent && e.Run != coder.NotRun {
		return false
	}
	switch e.Code {
	case coder.Cancelled, coder.DeadlineExceeded, coder.Quarantined, coder.PartQuarantined, coder.Internal:
		return false
	default:
		return e.Code >= 2000 && e.Code < 4000 || e.Code == coder.Silent || e.Code == coder.UnknownAttempt
	}
}

// delay returns the backoff after the given number of attempts. It doubles with each
// attempt up to maxDelay; half of it is random.
func (r *Retrier) delay(attempts int) time.Duration {
	if r.rnd == nil {
		r.rnd = rand.New(rand.NewPCG(r.Seed, seedStream))
	}
	d := initialDelay
	for range max(0, attempts-1) {
		d = min(2*d, maxDelay)
	}
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)))
}

func retryRatio(ratio float64) float64 {
	if ratio > 0 {
		return ratio
	}
	return DefaultRetryRatio
}
