// Package admitter decides whether a request can finish in its time, and when a
// refused one should come back.
package admitter

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/coder"
)

const (
	jitterShare = 0.5 // of the predicted backlog, added at random
	leastRetry  = time.Second
	mostRetry   = 2 * time.Minute
	seedStream  = 0x61646d69
)

// Case is what is known of one request and of the targets open to it.
type Case struct {
	Left   time.Duration // until its deadline
	Wait   time.Duration // predicted before its prefill starts
	Read   time.Duration // predicted prefill, where Prompt and Speed don't tell
	Prompt int           // tokens, less those expected in a cache
	Output int           // tokens
	Speed  int           // prefill tokens a second; zero if unknown
	Pace   int           // decode tokens a second; zero if unknown
}

// Admitter predicts completions. The zero value uses seed zero.
type Admitter struct {
	Seed uint64

	rnd *rand.Rand
}

// Predict returns the time from now to the last token.
func (a *Admitter) Predict(c Case) time.Duration {
	return c.Wait + c.Read + span(c.Prompt, c.Speed) + span(c.Output, c.Pace)
}

// Admit returns nil if the request can finish in its time, else code Overloaded
// with the time to come back, or DeadlineExceeded if its time has ended.
func (a *Admitter) Admit(c Case) error {
	if c.Left <= 0 {
		e := coder.Errorf(coder.DeadlineExceeded, "before it was started")
		e.Run = coder.NotRun
		return e
	}
	if p := a.Predict(c); p > c.Left {
		e := coder.Errorf(coder.Overloaded, "needs %s of %s", p.Round(time.Millisecond), c.Left.Round(time.Millisecond))
		e.Retry = a.Retry(c.Wait)
		return e
	}
	return nil
}

// Retry returns when to come back to a backlog that takes wait to work off.
func (a *Admitter) Retry(wait time.Duration) time.Duration {
	if a.rnd == nil {
		a.rnd = rand.New(rand.NewPCG(a.Seed, seedStream))
	}
	base := min(max(wait, leastRetry), mostRetry)
	return base + time.Duration(a.rnd.Float64()*jitterShare*float64(base))
}

func span(tokens, rate int) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
