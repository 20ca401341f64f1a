// Package storer stands in for the rate-limited store of model weights: a token
// bucket in bytes that all engines of a fleet share.
package storer

import (
	"sync"
	"time"
)

// Storer serves reads in the order they are asked for. The zero value has no
// limit. It is safe for use by several goroutines.
type Storer struct {
	Rate  float64 // bytes a second; zero for no limit
	Burst float64 // bytes served at once after an idle time

	mu   sync.Mutex
	full time.Time // when the bucket will be full again
}

// Take reserves a read of n bytes at time now and returns when it is complete.
func (s *Storer) Take(now time.Time, n int) time.Time {
	if s == nil || s.Rate <= 0 {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full.Before(now) {
		s.full = now
	}
	s.full = s.full.Add(s.span(float64(n)))
	ready := s.full.Add(-s.span(s.Burst))
	if ready.Before(now) {
		return now
	}
	return ready
}

func (s *Storer) span(bytes float64) time.Duration {
	return time.Duration(bytes / s.Rate * float64(time.Second))
}
