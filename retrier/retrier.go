// Package retrier decides whether a failed attempt is followed by another, and
// after what delay.
package retrier

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/coder"
)

const (
	// DefaultShare of a service's traffic may be retries when the limit is zero.
	DefaultShare = 0.1
	// DefaultSaved is how many retries a service saves up when Retrier.Saved is zero.
	DefaultSaved = 20.0

	mostTries  = 6
	firstDelay = 10 * time.Millisecond
	mostDelay  = time.Second
	seedStream = 0x72657472
)

// Case is one failed attempt.
type Case struct {
	Service string
	Err     error
	Once    bool          // the request is not idempotent
	Sent    bool          // part of an answer has reached the caller
	Paid    bool          // the retry was reserved
	Tries   int           // attempts made so far
	Left    time.Duration // until the deadline
	Share   float64       // of traffic that may be retries; DefaultShare if zero
	Most    int           // attempts at most; mostTries if zero or above it
}

// Retrier keeps a retry budget per service. The zero value starts with full budgets.
type Retrier struct {
	Seed  uint64
	Saved float64 // retries a service saves up at most; DefaultSaved if zero

	rnd   *rand.Rand
	spent map[string]float64
}

// First credits a service's budget with one first attempt.
func (r *Retrier) First(service string, share float64) {
	r.spend(service, -rate(share))
}

// Again returns the delay before the next attempt, or the error that the caller
// is told: that of the attempt, or RetryBudget when the budget is the reason.
func (r *Retrier) Again(c Case) (time.Duration, error) {
	delay := r.delay(c.Tries)
	if err := r.check(c, delay); err != nil {
		return 0, err
	}
	if !c.Paid {
		r.spend(c.Service, 1)
	}
	return delay, nil
}

// Reserve reports whether Again would return a delay, and spends the retry: the case
// is Paid from then on.
func (r *Retrier) Reserve(c Case) bool {
	if r.check(c, r.delay(c.Tries)) != nil {
		return false
	}
	r.spend(c.Service, 1)
	return true
}

func (r *Retrier) check(c Case, delay time.Duration) error {
	e := coder.Of(c.Err)
	if !repeatable(e, c) || c.Tries >= most(c) || delay >= c.Left {
		return c.Err
	}
	if !c.Paid && r.spent[c.Service] > r.saved()-1 {
		return &coder.Error{Code: coder.RetryBudget, Run: e.Run, Retry: max(e.Retry, time.Second), Cause: c.Err}
	}
	return nil
}

func (r *Retrier) saved() float64 {
	if r.Saved > 0 {
		return r.Saved
	}
	return DefaultSaved
}

func most(c Case) int {
	if c.Most <= 0 {
		return mostTries
	}
	return min(c.Most, mostTries)
}

// repeatable reports whether another attempt is safe and may help.
func repeatable(e *coder.Error, c Case) bool {
	if c.Sent || c.Once && e.Run != coder.NotRun {
		return false
	}
	switch e.Code {
	case coder.Cancelled, coder.DeadlineExceeded, coder.Quarantined, coder.Internal:
		return false
	default:
		return e.Code >= 2000 && e.Code < 4000 || e.Code == coder.Silent || e.Code == coder.UnknownAttempt
	}
}

func (r *Retrier) spend(service string, n float64) {
	if r.spent == nil {
		r.spent = map[string]float64{}
	}
	r.spent[service] = max(0, r.spent[service]+n)
}

// delay doubles with each try; half of it is random.
func (r *Retrier) delay(tries int) time.Duration {
	if r.rnd == nil {
		r.rnd = rand.New(rand.NewPCG(r.Seed, seedStream))
	}
	d := firstDelay
	for range max(0, tries-1) {
		d = min(2*d, mostDelay)
	}
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)))
}

func rate(share float64) float64 {
	if share > 0 {
		return share
	}
	return DefaultShare
}
