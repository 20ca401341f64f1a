package ticketer_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/ticketer"
)

// memory is what targets have set aside.
type memory struct {
	mu       sync.Mutex
	until    map[string]time.Time
	full     string // this target's memory is full
	deaf     int    // releases that get no answer
	reserved int
}

func (m *memory) reserve(_ context.Context, t ticketer.Ticket, hold time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.Target.ID == m.full {
		return errors.New("memory is full")
	}
	m.reserved++
	m.until[t.ID] = time.Now().Add(hold)
	return nil
}

func (m *memory) release(_ context.Context, t ticketer.Ticket) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.deaf > 0 {
		m.deaf--
		return errors.New("no answer")
	}
	delete(m.until, t.ID)
	return nil
}

func (m *memory) held() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.until {
		if at.After(time.Now()) {
			n++
		}
	}
	return n
}

func tickets() []ticketer.Ticket {
	return []ticketer.Ticket{
		{ID: "r-1.0", Target: messenger.Target{ID: "a"}, Tokens: 100},
		{ID: "r-1.1", Target: messenger.Target{ID: "b"}, Tokens: 100},
	}
}

func newTicketer(m *memory) *ticketer.Ticketer {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return &ticketer.Ticketer{Reserve: m.reserve, Release: m.release, Log: logrus.NewEntry(l)}
}

func TestTicketsAreKeptWhileTheRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{until: map[string]time.Time{}}
		k := newTicketer(m)
		free, err := k.Take(t.Context(), tickets())
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

func TestNoTicketIsLeftWhenOneIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{until: map[string]time.Time{}, full: "b"}
		k := newTicketer(m)
		_, err := k.Take(t.Context(), tickets())
		g.Expect(coder.Of(err).Code).To(Equal(coder.MemoryFull))
		g.Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
		k.Wait()
		g.Expect(m.held()).To(BeZero())
	})
}

// A release whose answer is lost is sent again.
func TestTicketsComeBackFromADeafTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &memory{until: map[string]time.Time{}, deaf: 3}
		k := newTicketer(m)
		free, err := k.Take(t.Context(), tickets())
		g.Expect(err).NotTo(HaveOccurred())
		free()
		k.Wait()
		g.Expect(m.until).To(BeEmpty())
	})
}
