// Package limiter enforces the token rate and the number of concurrent requests of each
// client account.
package limiter

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

const (
	defaultBurstSeconds = 10              // burst of an account that configures none, in seconds at its rate
	concurrencyRetry    = 1 * time.Second // retry delay sent with ConcLimited
)

// Limiter keeps a token bucket and a request count for each account. The zero value is
// ready to use.
type Limiter struct {
	accounts map[string]*bucket
}

// bucket is the token bucket and request count of one account. The level falls below zero
// if a request uses more tokens than the burst.
type bucket struct {
	level      float64 // tokens available
	refilledAt time.Time
	inFlight   int
}

// Acquire admits a request with the given number of tokens, or returns code RateLimited or
// ConcLimited with a retry delay. Each admitted request requires one call of Release.
func (l *Limiter) Acquire(now time.Time, account string, a configurer.Account, tokens int) error {
	b := l.bucket(now, account, a)
	if a.Conc > 0 && b.inFlight >= a.Conc {
		e := coder.Errorf(coder.ConcLimited, "%d in flight", b.inFlight)
		e.Retry = concurrencyRetry
		return e
	}
	if a.Rate > 0 {
		b.refill(now, a)
		need := min(float64(tokens), burst(a))
		if b.level < need {
			e := coder.Errorf(coder.RateLimited, "%g tokens a second", a.Rate)
			e.Retry = time.Duration((need - b.level) / a.Rate * float64(time.Second))
			return e
		}
		b.level -= float64(tokens)
	}
	b.inFlight++
	return nil
}

// Release ends a request. Predicted tokens that were not used are returned to the bucket;
// a negative number charges tokens used beyond the prediction.
func (l *Limiter) Release(account string, unused int) {
	b := l.accounts[account]
	if b == nil {
		return
	}
	b.level += float64(unused)
	b.inFlight = max(0, b.inFlight-1)
}

func (l *Limiter) bucket(now time.Time, account string, a configurer.Account) *bucket {
	if l.accounts == nil {
		l.accounts = map[string]*bucket{}
	}
	b := l.accounts[account]
	if b == nil {
		b = &bucket{level: burst(a), refilledAt: now}
		l.accounts[account] = b
	}
	return b
}

func (b *bucket) refill(now time.Time, a configurer.Account) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.level += a.Rate * d.Seconds()
		b.refilledAt = now
	}
	b.level = min(b.level, burst(a))
}

func burst(a configurer.Account) float64 {
	if a.Burst > 0 {
		return a.Burst
	}
	return defaultBurstSeconds * a.Rate
}
