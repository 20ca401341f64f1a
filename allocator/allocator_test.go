package allocator_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"bramleyshunt/allocator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// memory records the reservations held by targets.
type memory struct {
	mu           sync.Mutex
	expiry       map[string]time.Time
	full         string // ID of the target whose memory is full
	dropReleases int    // number of releases that are lost before they take effect
	reserved     int
}

func (m *memory) reserve(_ context.Context, r allocator.Reservation, hold time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Target.ID == m.full {
		return errors.New("memory is full")
	}
	m.reserved++
	m.expiry[r.ID] = time.Now().Add(hold)
	return nil
}

func (m *memory) release(_ context.Context, r allocator.Reservation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dropReleases > 0 {
		m.dropReleases--
		return errors.New("no answer")
	}
	delete(m.expiry, r.ID)
	return nil
}

func (m *memory) held() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.expiry {
		if at.After(time.Now()) {
			n++
		}
	}
	return n
}

func reservations() []allocator.Reservation {
	return []allocator.Reservation{
		{ID: "r-1.0", Target: messenger.Target{ID: "a"}, Tokens: 100},
		{ID: "r-1.1", Target: messenger.Target{ID: "b"}, Tokens: 100},
	}
}

func newAllocator(m *memory) *allocator.Allocator {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return &allocator.Allocator{Reserve: m.reserve, Release: m.release, Log: logrus.NewEntry(l)}
}

func TestReservationsAreRenewedUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{expiry: map[string]time.Time{}}
		k := newAllocator(m)
		free, err := k.ReserveAll(t.Context(), reservations(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		for range 10 {
			time.Sleep(time.Second)
			g.Expect(m.held()).To(Equal(2))
		}
		free()
		free()
		k.Wait()
		g.Expect(m.held()).To(BeZero())
	})
}

func TestRefusalReleasesAllReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{expiry: map[string]time.Time{}, full: "b"}
		k := newAllocator(m)
		_, err := k.ReserveAll(t.Context(), reservations(), nil)
		g.Expect(coder.Of(err).Code).To(Equal(coder.MemoryFull))
		g.Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
		k.Wait()
		g.Expect(m.held()).To(BeZero())
	})
}

// TestReleaseIsRetriedUntilAnswered guards against reservations that stay held because
// a release call failed.
func TestReleaseIsRetriedUntilAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{expiry: map[string]time.Time{}, dropReleases: 3}
		k := newAllocator(m)
		free, err := k.ReserveAll(t.Context(), reservations(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		free()
		k.Wait()
		g.Expect(m.expiry).To(BeEmpty())
	})
}

// idleCase describes a request that waits at a target while memory is reserved for it.
type idleCase struct {
	usedAfter time.Duration // when the reservations are used
	failures  int32         // calls of Idle that fail at first
	started   bool          // the request answers although the target reports the memory as idle
	givenUp   bool          // expected
}

const testMaxIdle = 9 * time.Second

// TestIdleReservationsAreGivenUp guards against memory that stays reserved for a request
// that waits at a full target: it was renewed until the caller left.
func TestIdleReservationsAreGivenUp(t *testing.T) {
	for name, c := range map[string]idleCase{
		"never used":            {usedAfter: time.Hour, givenUp: true},
		"used early":            {usedAfter: time.Second},
		"used at the last":      {usedAfter: 6 * time.Second},
		"unknown at first":      {usedAfter: time.Hour, failures: 2, givenUp: true},
		"used, then unknown":    {usedAfter: time.Second, failures: 2},
		"started meanwhile":     {usedAfter: time.Hour, started: true},
		"used after the answer": {usedAfter: 8 * time.Second, givenUp: true},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c idleCase) run(t *testing.T) {
	g := NewWithT(t)
	m, start := &memory{expiry: map[string]time.Time{}}, time.Now()
	k, givenUp := newAllocator(m), make(chan struct{})
	var calls atomic.Int32
	k.MaxIdle = testMaxIdle
	k.Idle = func(context.Context, allocator.Reservation) (bool, error) {
		if calls.Add(1) <= c.failures {
			return false, errors.New("no answer")
		}
		return time.Since(start) < c.usedAfter, nil
	}
	free, err := k.ReserveAll(t.Context(), reservations(), func() bool {
		if !c.started {
			close(givenUp)
		}
		return !c.started
	})
	g.Expect(err).NotTo(HaveOccurred())
	select {
	case <-givenUp:
		g.Expect(c.givenUp).To(BeTrue())
		free()
		k.Wait()
		g.Expect(time.Since(start)).To(BeNumerically("<", testMaxIdle))
	case <-time.After(3 * testMaxIdle):
		g.Expect(c.givenUp).To(BeFalse())
		g.Expect(m.held()).To(Equal(2), "the request still uses them")
		free()
		k.Wait()
	}
	g.Expect(m.held()).To(BeZero())
}
