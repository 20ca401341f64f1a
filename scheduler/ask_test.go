package scheduler_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/apportioner"
	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

func ask(id string, use, priority int) scheduler.Ask {
	return scheduler.Ask{ID: id, Use: use, Priority: priority, Ticket: fairTicket(id, "", 1000)}
}

// Pattern: one account bursts at all entries. Guards against a relay that gives places in another
// order than by priority and use, leaves one free, or gives one twice.
func TestGrantsFollowPriorityAndUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		s, _ := newFairScheduler(targets)
		n := rapid.IntRange(0, 20).Draw(t, "asks")
		asks := map[string]scheduler.Ask{}
		for i := range n {
			a := ask(fmt.Sprint(i), rapid.IntRange(500, 5000).Draw(t, "use"), rapid.IntRange(0, 2).Draw(t, "priority"))
			asks[a.ID] = a
			s.KeepAsk(a)
		}
		grants := s.Grants(now, rapid.Bool().Draw(t, "first"))
		checkOrder(t, grants, asks)
		if want := min(n, targets*declaredEngine.Slots); len(grants) != want || s.Asks() != n-want {
			t.Fatalf("%d of %d granted and %d kept, want %d", len(grants), n, s.Asks(), want)
		}
	})
}

func checkOrder(t *rapid.T, grants []scheduler.Grant, asks map[string]scheduler.Ask) {
	var last *scheduler.Ask
	for _, g := range grants {
		a, ok := asks[g.ID]
		if !ok || len(g.Counts) == 0 {
			t.Fatalf("%s is granted and does not wait", g.ID)
		}
		delete(asks, g.ID)
		if last != nil && (a.Priority > last.Priority || a.Priority == last.Priority && a.Use < last.Use) {
			t.Fatalf("%+v granted after %+v", a, *last)
		}
		last = &a
	}
}

// Pattern: one account bursts at the entry that relays. Guards against a relay that serves its own
// callers first, or last.
func TestOwnQueueOfARelayTakesItsTurn(t *testing.T) {
	g := NewWithT(t)
	queued := func(account string) *scheduler.Scheduler {
		s, a := newFairScheduler(1)
		a.SetPeers(now, []messenger.Use{{Account: apportioner.Hash("large"), Work: 5000}, {Account: apportioner.Hash("small"), Work: 500}}, 0)
		s.Enqueue(fairTicket("own", account, 1000))
		return s
	}
	s := queued("large")
	s.KeepAsk(ask("small", 200, 0))
	s.KeepAsk(ask("large", 5000, 0))
	g.Expect(s.Grants(now, true)).To(ConsistOf(HaveField("ID", "small")))
	g.Expect(s.Dispatch(now)).To(HaveLen(1))
	g.Expect(s.Grants(now, false)).To(ConsistOf(HaveField("ID", "large")))

	s = queued("small")
	s.KeepAsk(ask("small", 200, 0))
	s.KeepAsk(ask("urgent", 5000, 1))
	g.Expect(s.Grants(now, true)).To(ConsistOf(HaveField("ID", "urgent")))
}

// Guards against questions without a bound, and against kept ones that outlive fairness.
func TestKeptQuestionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s, _ := newFairScheduler(1)
	for i := range 10000 {
		if s.KeepsAsks() {
			s.KeepAsk(ask(fmt.Sprint(i), i, 0))
		}
	}
	g.Expect(s.Asks()).To(Equal(1024))
	s.KeepAsk(ask("1", 1, 0))
	g.Expect(s.Asks()).To(Equal(1024), "asked again")
	g.Expect(s.ForgetAsk("1")).To(BeTrue())
	g.Expect(s.ForgetAsk("1")).To(BeFalse())
	s.SetFair(nil)
	g.Expect(s.Asks()).To(BeZero())
	g.Expect(s.KeepsAsks()).To(BeFalse())
}

// BenchmarkGrants measures a decision on 1,000 kept questions while all targets are full.
func BenchmarkGrants(b *testing.B) {
	s := fairBacklog(1300)
	for i := range 1000 {
		s.KeepAsk(ask(fmt.Sprint(i), i, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Grants(now, true)
	}
}
