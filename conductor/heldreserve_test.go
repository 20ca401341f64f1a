package conductor

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bramleyshunt/allocator"
	"bramleyshunt/chainer"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/watcher"
)

// splitTargets returns a view of targets that prefill a long prompt together, and whose
// memory holds it together only.
func splitTargets() *watcher.View {
	v := twoTargets()
	s := v.Config.Services["s"]
	s.Engine = configurer.Engine{Slots: 4, Memory: 1000, Stride: 1, Step: 1, Read: 10000, Prompt: 100, Answer: 10}
	v.Config.Services["s"] = s
	v.Targets = append(v.Targets, messenger.Target{ID: "t3", Service: "s", Incarnation: 1, Slots: 4})
	return v
}

// memory records the reservations at helpers.
type memory struct {
	mu       sync.Mutex
	reserved []string // ids of reservations
	released []string
	helpers  []string                                        // targets of reservations
	during   func(r allocator.Reservation, helpers []string) // called while memory is being reserved
}

func (m *memory) allocator() *allocator.Allocator {
	log, _ := logtest.NewNullLogger()
	return &allocator.Allocator{
		Reserve: func(_ context.Context, r allocator.Reservation, _ time.Duration) error {
			m.mu.Lock()
			m.reserved, m.helpers = append(m.reserved, r.ID), append(m.helpers, r.Target.ID)
			helpers := slices.Clone(m.helpers)
			m.mu.Unlock()
			m.during(r, helpers)
			return nil
		},
		Release: func(_ context.Context, r allocator.Reservation) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.released = append(m.released, r.ID)
			return nil
		},
		Log: logrus.NewEntry(log),
	}
}

// Guards against a request that is sent to a target that was marked while memory was being
// reserved for it, or with such a helper; against a retry that this costs; and against a late
// release of the reservations before that ends those of the new placement.
func TestRequestIsPlacedAgainIfTargetIsHeldWhileMemoryIsReserved(t *testing.T) {
	leave := func(b *holdBed, t messenger.Target) { b.leave(t) }
	pause := func(b *holdBed, t messenger.Target) { b.pause(t, time.Minute) }
	for name, c := range map[string]struct {
		first bool // the target that the request would be sent to is held, not a helper
		hold  func(b *holdBed, t messenger.Target)
	}{
		"the target leaves": {first: true, hold: leave},
		"the target pauses": {first: true, hold: pause},
		"a helper leaves":   {hold: leave},
		"a helper pauses":   {hold: pause},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memory{}
			withHolds(t, Config{Allocator: m.allocator()}, splitTargets(), func(b *holdBed) {
				held := b.holdWhileReserving(m, c.first, c.hold)
				b.expectPlacedAgain(held)
				b.expectReleased(m)
			})
		})
	}
}

// holdWhileReserving holds a target of the first placement, the first one or a helper, while
// memory is being reserved at the last helper. The returned target is set then.
func (b *holdBed) holdWhileReserving(m *memory, first bool, hold func(*holdBed, messenger.Target)) *messenger.Target {
	held := &messenger.Target{}
	m.during = func(r allocator.Reservation, helpers []string) {
		if len(helpers) < len(b.view.Load().Targets)-1 || held.ID != "" {
			return
		}
		if *held = r.Target; first {
			*held = b.targetBesides(helpers)
		}
		hold(b, *held)
	}
	return held
}

// targetBesides returns the target of the view that is not among the ids.
func (b *holdBed) targetBesides(ids []string) messenger.Target {
	targets := b.view.Load().Targets
	return targets[slices.IndexFunc(targets, func(t messenger.Target) bool { return !slices.Contains(ids, t.ID) })]
}

// expectPlacedAgain sends a long request and expects that it reaches targets besides the one
// that is held meanwhile, in its only attempt.
func (b *holdBed) expectPlacedAgain(held *messenger.Target) {
	b.t.Helper()
	var used []messenger.Target
	b.answer = func(_ context.Context, a *Attempt) error {
		used = append(a.Helpers, a.Target)
		return nil
	}
	r, err := b.sendLong()
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(b.targetsReached()).To(HaveLen(1))
	b.Expect(held.ID).NotTo(BeEmpty())
	b.Expect(used).NotTo(ContainElement(HaveField("ID", held.ID)))
	b.Expect(b.lines("placed again: target held")).To(HaveLen(1))
	b.Expect(r.Trace.Attempts).To(Equal(1))
	b.Expect(b.counter("retries")).To(BeZero())
}

// Guards against a line of a refused request that counts an attempt of which nothing was sent.
func TestHeldPlacementIsNoAttempt(t *testing.T) {
	m := &memory{}
	withHolds(t, Config{Allocator: m.allocator()}, splitTargets(), func(b *holdBed) {
		m.during = func(allocator.Reservation, []string) {
			for _, t := range b.view.Load().Targets {
				b.pause(t, time.Minute)
			}
		}
		r, err := b.sendLong()
		b.expectRefused(err, time.Minute)
		b.Expect(b.targetsReached()).To(BeEmpty())
		b.Expect(r.Trace.Attempts).To(BeZero())
		b.expectReleased(m)
	})
}

// sendLong sends a request whose prompt has the parts and is split among targets.
func (b *holdBed) sendLong(parts ...uint64) (*chainer.Request, error) {
	ctx, r, end, err := b.cd.Begin(context.Background())
	b.Expect(err).NotTo(HaveOccurred())
	defer end()
	path := safePath()
	r.Config, r.Service, r.PathConfig, r.Answer = b.view.Load().Config, "s", &path, ignoredAnswer()
	r.Prompt, r.Output, r.HasTokenCounts, r.Parts = 1500, 10, true, parts
	return r, b.cd.Do(ctx, r)
}

// expectReleased expects that each reservation had an id of its own and was released once.
func (b *holdBed) expectReleased(m *memory) {
	b.t.Helper()
	<-time.After(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Expect(m.reserved).NotTo(BeEmpty())
	b.Expect(m.released).To(ConsistOf(m.reserved))
	seen := map[string]bool{}
	for _, id := range m.reserved {
		b.Expect(seen).NotTo(HaveKey(id), "reservations %q", m.reserved)
		seen[id] = true
	}
}
