package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

// mostAllocs bounds the allocations of one decision: the ticket's way through
// its queue to a target.
const mostAllocs = 8

var sizes = []struct{ replicas, accounts int }{{14, 10}, {100, 10}, {850, 10}, {14, 1300}, {850, 1300}}

// loaded is a scheduler before a fleet that has placed a ticket of each account.
func loaded(replicas, accounts int) *scheduler.Scheduler {
	s := &scheduler.Scheduler{}
	var ts []messenger.Target
	for i := range replicas {
		ts = append(ts, messenger.Target{
			ID: fmt.Sprint("t", i), Service: "s", Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 1 << 40, Speed: 50000, Pace: 50},
		})
	}
	s.Router.Update(now, ts)
	for i := range accounts {
		t := ticket(fmt.Sprint("w", i), 2000)
		t.Account = fmt.Sprint("a", i)
		s.Enqueue(t)
	}
	for s.Queued() > 0 {
		pump(s)
	}
	return s
}

// decide admits, queues and places one request and ends the count of its prompt.
func decide(s *scheduler.Scheduler, t *scheduler.Ticket) {
	_ = s.Admit(now, t)
	s.Enqueue(t)
	pump(s)
}

func pump(s *scheduler.Scheduler) {
	for _, p := range s.Pump(now) {
		s.Started(p.Ticket, p.Pick, time.Millisecond)
	}
}

func TestSchedulerAllocs(t *testing.T) {
	for _, n := range sizes {
		s := loaded(n.replicas, n.accounts)
		x := ticket("x", 10)
		if got := testing.AllocsPerRun(100, func() { decide(s, x) }); got > mostAllocs {
			t.Errorf("%d replicas, %d accounts: %.0f allocations, want at most %d", n.replicas, n.accounts, got, mostAllocs)
		}
	}
}

// TestSchedulerExamined checks that the targets looked at for one request grow
// slower than their number.
func TestSchedulerExamined(t *testing.T) {
	per := func(replicas int) float64 {
		s := loaded(replicas, 10)
		before := s.Router.Examined
		for range 100 {
			decide(s, ticket("x", 10))
		}
		return float64(s.Router.Examined-before) / 100
	}
	if small, large := per(14), per(850); large > 3*small {
		t.Errorf("%.1f targets examined of 850, %.1f of 14", large, small)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("replicas=%d/accounts=%d", n.replicas, n.accounts), func(b *testing.B) {
			s := loaded(n.replicas, n.accounts)
			x := ticket("x", 10)
			b.ReportAllocs()
			for b.Loop() {
				decide(s, x)
			}
		})
	}
}
