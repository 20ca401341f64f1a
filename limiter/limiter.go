// Package limiter holds client accounts to their token rate and their number of
// requests at once.
package limiter

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

const (
	burstSeconds = 10              // of the rate, when an account names no burst
	concRetry    = 1 * time.Second // when to come back after ConcLimited
)

// Limiter counts per account. The zero value has counted nothing.
type Limiter struct {
	accounts map[string]*state
}

// state is one account's bucket and count. The level may fall below zero when
// one request takes more than the burst.
type state struct {
	level float64
	at    time.Time
	conc  int
}

// Take admits a request of so many tokens or returns code RateLimited or
// ConcLimited with the time to come back. Each admitted request needs one Done.
func (l *Limiter) Take(now time.Time, account string, a configurer.Account, tokens int) error {
	s := l.state(now, account, a)
	if a.Conc > 0 && s.conc >= a.Conc {
		e := coder.Errorf(coder.ConcLimited, "%d in flight", s.conc)
		e.Retry = concRetry
		return e
	}
	if a.Rate > 0 {
		s.refill(now, a)
		need := min(float64(tokens), burst(a))
		if s.level < need {
			e := coder.Errorf(coder.RateLimited, "%g tokens a second", a.Rate)
			e.Retry = time.Duration((need - s.level) / a.Rate * float64(time.Second))
			return e
		}
		s.level -= float64(tokens)
	}
	s.conc++
	return nil
}

// Done ends a request. Spare tokens, predicted but not used, are given back;
// a negative number charges tokens used beyond the prediction.
func (l *Limiter) Done(account string, spare int) {
	s := l.accounts[account]
	if s == nil {
		return
	}
	s.level += float64(spare)
	s.conc = max(0, s.conc-1)
}

func (l *Limiter) state(now time.Time, account string, a configurer.Account) *state {
	if l.accounts == nil {
		l.accounts = map[string]*state{}
	}
	s := l.accounts[account]
	if s == nil {
		s = &state{level: burst(a), at: now}
		l.accounts[account] = s
	}
	return s
}

func (s *state) refill(now time.Time, a configurer.Account) {
	if d := now.Sub(s.at); d > 0 {
		s.level += a.Rate * d.Seconds()
		s.at = now
	}
	s.level = min(s.level, burst(a))
}

func burst(a configurer.Account) float64 {
	if a.Burst > 0 {
		return a.Burst
	}
	return burstSeconds * a.Rate
}
