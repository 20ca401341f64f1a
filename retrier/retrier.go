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
	// DefaultMaxBudget is the maximum number of unused retries of a service if
	// Retrier.MaxBudget is zero.
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
	Reserved      bool          // Reserve has already charged the retry to the budget
	Attempts      int           // attempts made so far
	Remaining     time.Duration // time until the deadline
	MaxAttempts   int           // capped at maxAttempts, which also applies if not positive
}

// Retrier holds the retry budgets of all services. Its zero value is ready to use;
// every budget starts full.
type Retrier struct {
	Seed      uint64
	MaxBudget float64 // maximum unused retries of a service; DefaultMaxBudget if not positive

	rnd   *rand.Rand
	spent map[string]float64 // retries charged and not yet earned back, by service
}

// RecordRequest credits a service's budget for the first attempt of a request.
func (r *Retrier) RecordRequest(service string, ratio float64) {
	r.charge(service, -retryRatio(ratio))
}

// Retry charges a retry to the budget, unless it was reserved, and returns the delay
// before the next attempt. If the request must not be retried it returns the error to
// report to the caller: that of the attempt, or coder.RetryBudget if only the budget
// prevents the retry.
func (r *Retrier) Retry(f Failure) (time.Duration, error) {
	delay := r.delay(f.Attempts)
	if err := r.check(f, delay); err != nil {
		return 0, err
	}
	if !f.Reserved {
		r.charge(f.Service, 1)
	}
	return delay, nil
}

// Reserve reports whether Retry would return a delay. If so it charges the retry to
// the budget at once, and the caller sets Reserved in the failure that it passes to
// Retry.
func (r *Retrier) Reserve(f Failure) bool {
	if r.check(f, r.delay(f.Attempts)) != nil {
		return false
	}
	r.charge(f.Service, 1)
	return true
}

// Unused returns the retries that a service has left. It is negative if MaxBudget has
// been lowered below what is spent.
func (r *Retrier) Unused(service string) float64 { return r.maxBudget() - r.spent[service] }

func (r *Retrier) check(f Failure, delay time.Duration) error {
	e := coder.Of(f.Err)
	if !retryable(e, f) || f.Attempts >= attemptLimit(f) || delay >= f.Remaining {
		return f.Err
	}
	if !f.Reserved && r.spent[f.Service] > r.maxBudget()-1 {
		return &coder.Error{Code: coder.RetryBudget, Run: e.Run, Retry: max(e.Retry, time.Second), Cause: f.Err}
	}
	return nil
}

func (r *Retrier) maxBudget() float64 {
	if r.MaxBudget > 0 {
		return r.MaxBudget
	}
	return DefaultMaxBudget
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
	case coder.Cancelled, coder.DeadlineExceeded, coder.Quarantined, coder.Internal:
		return false
	default:
		return e.Code >= 2000 && e.Code < 4000 || e.Code == coder.Silent || e.Code == coder.UnknownAttempt
	}
}

func (r *Retrier) charge(service string, n float64) {
	if r.spent == nil {
		r.spent = map[string]float64{}
	}
	r.spent[service] = max(0, r.spent[service]+n)
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
