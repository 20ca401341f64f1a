package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

// maxAllocs bounds the allocations for one placement, from queueing a ticket to selecting
// its target.
const maxAllocs = 8

var sizes = []struct{ replicas, accounts int }{{14, 10}, {100, 10}, {850, 10}, {14, 1300}, {850, 1300}}

// loaded returns a scheduler with many replicas that has placed one ticket of each account.
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
		dispatch(s)
	}
	return s
}

// schedule admits, queues and places one request and reports its prefill as done.
func schedule(s *scheduler.Scheduler, t *scheduler.Ticket) {
	_ = s.Admit(now, t)
	s.Enqueue(t)
	dispatch(s)
}

// dispatch places the waiting tickets and reports their prefill as done.
func dispatch(s *scheduler.Scheduler) {
	for _, p := range s.Dispatch(now) {
		s.PrefillDone(p.Ticket, p.Pick, time.Millisecond)
	}
}

func TestSchedulerAllocs(t *testing.T) {
	for _, n := range sizes {
		s := loaded(n.replicas, n.accounts)
		x := ticket("x", 10)
		if got := testing.AllocsPerRun(100, func() { schedule(s, x) }); got > maxAllocs {
			t.Errorf("%d replicas, %d accounts: %.0f allocations, want at most %d", n.replicas, n.accounts, got, maxAllocs)
		}
	}
}

// TestSchedulerExamined checks that the number of targets examined for one request grows
// more slowly than the number of replicas.
func TestSchedulerExamined(t *testing.T) {
	examined := func(replicas int) float64 {
		s := loaded(replicas, 10)
		before := s.Router.Examined
		for range 100 {
			schedule(s, ticket("x", 10))
		}
		return float64(s.Router.Examined-before) / 100
	}
	if small, large := examined(14), examined(850); large > 3*small {
		t.Errorf("%.1f targets examined of 850, %.1f of 14", large, small)
	}
}

func BenchmarkSchedule(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("replicas=%d/accounts=%d", n.replicas, n.accounts), func(b *testing.B) {
			s := loaded(n.replicas, n.accounts)
			x := ticket("x", 10)
			b.ReportAllocs()
			for b.Loop() {
				schedule(s, x)
			}
		})
	}
}
