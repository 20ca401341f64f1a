// Package storer simulates a rate-limited store of model weights as a token bucket in
// bytes that all simulated engines of a fleet share.
package storer

import (
	"sync"
	"time"
)

// Storer serves reads in the order of their reservation. The zero value and a nil
// Storer have no limit. It is safe for concurrent use.
type Storer struct {
	Rate  float64 // bytes per second; zero for no limit
	Burst float64 // size of the bucket in bytes, served without delay after an idle period

	mu     sync.Mutex
	fullAt time.Time // time at which the bucket is full again
}

// Reserve reserves a read of n bytes at time now and returns the time at which it
// completes.
func (s *Storer) Reserve(now time.Time, n int) time.Time {
	if s == nil || s.Rate <= 0 {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fullAt.Before(now) {
		s.fullAt = now
	}
	s.fullAt = s.fullAt.Add(s.duration(float64(n)))
	ready := s.fullAt.Add(-s.duration(s.Burst))
	if ready.Before(now) {
		return now
	}
	return ready
}

// duration returns the time that the bucket takes to refill by a number of bytes.
func (s *Storer) duration(bytes float64) time.Duration {
	return time.Duration(bytes / s.Rate * float64(time.Second))
}
