// Package admitter decides whether a request can finish before its deadline, and when a
// refused request should be retried.
package admitter

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/coder"
)

const (
	jitterFraction = 0.5 // maximum random addition, as a fraction of the predicted wait
	minRetry       = time.Second
	maxRetry       = 2 * time.Minute
	seedStream     = 0x61646d69
)

// Request describes a request and the targets that may accept it.
type Request struct {
	Remaining   time.Duration // time until the deadline
	Wait        time.Duration // predicted time until prefill starts
	Prefill     time.Duration // predicted prefill time, instead of Prompt and PrefillRate
	Prompt      int           // tokens to prefill, without those expected in a cache
	Output      int           // tokens to decode
	PrefillRate int           // prefill tokens per second; zero if unknown
	DecodeRate  int           // decode tokens per second; zero if unknown
}

// Admitter predicts completion times. Seed seeds the jitter of retry delays; the zero value
// is ready to use.
type Admitter struct {
	Seed uint64

	rnd *rand.Rand
}

// Predict returns the predicted time from now to the last token.
func (a *Admitter) Predict(r Request) time.Duration {
	return r.Wait + r.Prefill + tokenTime(r.Prompt, r.PrefillRate) + tokenTime(r.Output, r.DecodeRate)
}

// Admit returns nil if the request can finish before its deadline. Otherwise it returns
// code Overloaded with a retry delay, or DeadlineExceeded if the deadline has passed.
func (a *Admitter) Admit(r Request) error {
	if r.Remaining <= 0 {
		e := coder.Errorf(coder.DeadlineExceeded, "before it was started")
		e.Run = coder.NotRun
		return e
	}
	if p := a.Predict(r); p > r.Remaining {
		e := coder.Errorf(coder.Overloaded, "needs %s of %s", p.Round(time.Millisecond), r.Remaining.Round(time.Millisecond))
		e.Retry = a.RetryAfter(r.Wait)
		return e
	}
	return nil
}

// RetryAfter returns the retry delay for a queue that takes wait to drain: at least that
// long within bounds, plus a random jitter that spreads the retries.
func (a *Admitter) RetryAfter(wait time.Duration) time.Duration {
	if a.rnd == nil {
		a.rnd = rand.New(rand.NewPCG(a.Seed, seedStream))
	}
	base := min(max(wait, minRetry), maxRetry)
	return base + time.Duration(a.rnd.Float64()*jitterFraction*float64(base))
}

// tokenTime returns the time that tokens take at a rate in tokens per second, or zero if
// either is unknown.
func tokenTime(tokens, rate int) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
