package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/apportioner"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// Guards against any change of decisions while nothing waits.
func TestFairDecidesAsBeforeWhileNothingWaits(t *testing.T) {
	for name, declared := range map[string]bool{"declared": true, "measured": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			off, on := &scheduler.Scheduler{}, &scheduler.Scheduler{}
			on.SetFair(&apportioner.Apportioner{})
			got := decisions(on, declared, 0.5, 800)
			g.Expect(got).To(Equal(decisions(off, declared, 0.5, 800)))
			g.Expect(on.Queued()).To(BeZero())
		})
	}
}

// newFairScheduler returns a scheduler before n targets of four slots.
func newFairScheduler(n int) (*scheduler.Scheduler, *apportioner.Apportioner) {
	s, a := &scheduler.Scheduler{}, &apportioner.Apportioner{}
	s.SetFair(a)
	s.Router.Update(now, (&trace{declared: true}).targets()[:n])
	return s, a
}

func fairTicket(id, account string, prompt int) *scheduler.Ticket {
	t := ticket(id, prompt)
	t.Account, t.Objective, t.MaxGap = account, simObjective, 250*time.Millisecond
	t.Predict(declaredEngine)
	return t
}

func asRequest(t *scheduler.Ticket) router.Request {
	return router.Request{
		Service: t.Service, Prompt: t.Prompt, Output: t.Output, Prefill: t.Prefill, PrefillTargets: t.PrefillTargets,
		Objective: t.Objective, MaxGap: t.MaxGap, PassTime: t.PassTime,
	}
}

// Guards against a place that is left free because of fairness: whatever the accounts have used, no
// request waits that a target accepts.
func TestFairnessIsWorkConserving(t *testing.T) {
	accounts := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		s, a := newFairScheduler(rapid.IntRange(1, 4).Draw(t, "targets"))
		waiting := map[string]*scheduler.Ticket{}
		var placed []scheduler.Placement
		at := now
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				a.Charge(at, account, rapid.Float64Range(-1e4, 1e4).Draw(t, "ms"))
			case 1:
				a.SetPeers(at, []messenger.Use{{Account: apportioner.Hash(account), Work: rapid.IntRange(0, 1e5).Draw(t, "work")}}, 0)
			case 2:
				placed = endFirst(s, placed)
			default:
				if len(waiting) < 16 { // one dispatch tries all of them
					x := fairTicket(fmt.Sprint(i), account, rapid.IntRange(10, 12000).Draw(t, "prompt"))
					x.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
					waiting[x.ID] = x
					s.Enqueue(x)
				}
			}
			for _, p := range s.Dispatch(at) {
				delete(waiting, p.Ticket.ID)
				placed = append(placed, p)
			}
			expectNoPlace(t, s, at, waiting)
		}
	})
}

// endFirst ends the request that was placed first.
func endFirst(s *scheduler.Scheduler, placed []scheduler.Placement) []scheduler.Placement {
	if len(placed) == 0 {
		return nil
	}
	p := placed[0]
	s.PrefillDone(p.Ticket, p.Pick, time.Millisecond)
	s.Ended(p.Ticket, p.Pick)
	return placed[1:]
}

func expectNoPlace(t *rapid.T, s *scheduler.Scheduler, at time.Time, waiting map[string]*scheduler.Ticket) {
	if s.Queued() != len(waiting) {
		t.Fatalf("%d queued, want %d", s.Queued(), len(waiting))
	}
	for _, x := range waiting {
		if p, ok := s.Router.Pick(at, asRequest(x)); ok {
			t.Fatalf("%s of %s waits beside a place at %s", x.ID, x.Account, p.Target.ID)
		}
	}
}

// overloaded returns a scheduler whose targets are full, at which requests of "small" and "large"
// have waited for a second, and whose large account has used nearly everything.
func overloaded() (s *scheduler.Scheduler, a *apportioner.Apportioner, small *scheduler.Ticket, at time.Time) {
	s, a = newFairScheduler(1)
	for i := range 4 {
		s.Enqueue(fairTicket(fmt.Sprint("running-", i), "large", 1000))
	}
	s.Dispatch(now)
	for i := range 20 {
		s.Enqueue(fairTicket(fmt.Sprint("l", i), "large", 1000))
	}
	small = fairTicket("s", "small", 1000)
	s.Enqueue(small)
	s.Dispatch(now)
	at = now.Add(2 * time.Second)
	s.Dispatch(at)
	a.Charge(at, "large", 4000)
	a.Charge(at, "small", 1000)
	return s, a, small, at
}

// Pattern: one account bursts until requests are late. Guards against refusals of the others first,
// against a Retry-After that is not true, and against refusals that help nobody.
func TestAccountsAboveTheirShareAreRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	s, a, small, at := overloaded()
	g.Expect(s.Admit(at, fairTicket("x", "small", 1000))).To(Succeed())
	err := s.Admit(at, fairTicket("x", "large", 1000))
	g.Expect(err).To(MatchError(scheduler.ErrAboveShare))
	g.Expect(coder.Of(err)).To(And(HaveField("Code", coder.Overloaded), HaveField("Run", coder.NotRun), HaveField("Retry", a.Retry(at, "large"))))

	then := at.Add(coder.Of(err).Retry)
	a.Charge(then, "small", a.Use(then, "large")-a.Use(then, "small")) // it has used the rest
	g.Expect(a.Above(then, "large")).To(BeFalse())

	urgent := fairTicket("x", "large", 1000)
	urgent.Priority = 1
	g.Expect(s.Admit(at, urgent)).NotTo(MatchError(scheduler.ErrAboveShare), "no other account's request of that priority waits")

	g.Expect(s.Abandon(small)).To(BeTrue())
	g.Expect(s.Admit(at, fairTicket("x", "large", 1000))).NotTo(MatchError(scheduler.ErrAboveShare), "nobody else waits")
}

// Pattern: requests of every account wait. Guards against an order by what the entry itself has
// served: "large" has used its share at other entries.
func TestQueueStartsFromTheUseOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	s, a := newFairScheduler(1)
	a.SetPeers(now, []messenger.Use{{Account: apportioner.Hash("large"), Work: 5000}, {Account: apportioner.Hash("small"), Work: 1000}}, 0)
	s.Enqueue(fairTicket("l1", "large", 1000))
	s.Enqueue(fairTicket("l2", "large", 1000))
	s.Enqueue(fairTicket("l3", "large", 1000))
	s.Enqueue(fairTicket("s1", "small", 1000))
	s.Enqueue(fairTicket("s2", "small", 1000))
	var got []string
	for _, p := range s.Dispatch(now) {
		got = append(got, p.Ticket.ID)
	}
	g.Expect(got).To(Equal([]string{"s1", "s2", "l1", "l2"}))
}

// Pattern: an attempt is placed elsewhere, returned or cancelled. Guards against charges that stay.
func TestPlacementsThatDidNotRunAreNotCharged(t *testing.T) {
	g := NewWithT(t)
	s, a := newFairScheduler(1)
	x := fairTicket("x", "a", 1000)
	for range 3 {
		s.Enqueue(x)
		p := s.Dispatch(now)[0]
		g.Expect(a.Use(now, "a")).To(BeNumerically(">", 3))
		s.PrefillDone(x, p.Pick, 0)
		s.Ended(x, p.Pick)
		g.Expect(a.Use(now, "a")).To(BeNumerically("~", 0, 1e-9))
	}
	s.Enqueue(x)
	p := s.Dispatch(now)[0]
	s.Settle(now, x, scheduler.Spent{Ran: true, Started: true, Output: 46})
	s.Ended(x, p.Pick)
	want := (x.Prefill + 46*x.DecodeTime).Seconds() * 1e3
	g.Expect(a.Use(now, "a")).To(BeNumerically("~", want, 0.01))
}

// maxFairAllocs bounds the allocations for one placement while accounts are served by their use.
const maxFairAllocs = 10

// fairBacklog returns a scheduler with a waiting ticket of each of many accounts.
func fairBacklog(accounts int) *scheduler.Scheduler {
	s, a := newFairScheduler(8)
	for i := range accounts {
		name := fmt.Sprint("a", i)
		a.Charge(now, name, float64(10+i))
		s.Enqueue(fairTicket(fmt.Sprint("w", i), name, 1000))
	}
	s.Dispatch(now)
	return s
}

// decideFairly admits and queues a request while all targets are full, and removes it.
func decideFairly(s *scheduler.Scheduler, t *scheduler.Ticket) {
	_ = s.Admit(now, t)
	s.Enqueue(t)
	s.Abandon(t)
}

func TestFairSchedulerAllocs(t *testing.T) {
	for _, accounts := range []int{10, 1300} {
		s, x := fairBacklog(accounts), fairTicket("x", "a7", 1000)
		if got := testing.AllocsPerRun(100, func() { decideFairly(s, x) }); got > maxFairAllocs {
			t.Errorf("%d accounts: %.0f allocations, want at most %d", accounts, got, maxFairAllocs)
		}
	}
}

func BenchmarkFairSchedule(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s, x := fairBacklog(accounts), fairTicket("x", "a7", 1000)
			b.ReportAllocs()
			for b.Loop() {
				decideFairly(s, x)
			}
		})
	}
}

// BenchmarkFairDispatch measures a dispatch that places nothing, while a ticket of each account
// waits.
func BenchmarkFairDispatch(b *testing.B) {
	for _, fair := range []bool{false, true} {
		for _, accounts := range []int{10, 1300} {
			b.Run(fmt.Sprintf("fair=%v/accounts=%d", fair, accounts), func(b *testing.B) {
				s := fairBacklog(accounts + 32)
				if !fair {
					s.SetFair(nil)
				}
				b.ReportAllocs()
				for b.Loop() {
					s.Dispatch(now)
				}
			})
		}
	}
}
