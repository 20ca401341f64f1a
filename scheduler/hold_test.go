package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// newSlotScheduler returns a scheduler with n targets t0, t1 and so on of one slot each.
func newSlotScheduler(n int) *scheduler.Scheduler {
	s := &scheduler.Scheduler{}
	var targets []messenger.Target
	for i := range n {
		targets = append(targets, slotTarget(i))
	}
	s.Router.Update(now, targets)
	return s
}

func slotTarget(i int) messenger.Target {
	return messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: 1, Incarnation: 1}
}

func pause(s *scheduler.Scheduler, d ...time.Duration) {
	for i, d := range d {
		s.Router.Pause(now, slotTarget(i), d)
	}
}

// expectPaused fails unless an error refuses a request that didn't run for exactly the given
// time.
func expectPaused(err error, want time.Duration) {
	GinkgoHelper()
	expectCode(err, coder.Overloaded)
	Expect(coder.Of(err).Retry).To(Equal(want))
	Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
}

// expectBackSoon fails unless an error refuses a request that didn't run for the time after
// which a target that does not pause may accept its caller's next one.
func expectBackSoon(err error) {
	GinkgoHelper()
	expectCode(err, coder.Overloaded)
	Expect(coder.Of(err).Retry).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1500*time.Millisecond)))
	Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
}

// expectRefused fails unless the next dispatch refuses the tickets with the given ids.
func expectRefused(s *scheduler.Scheduler, want time.Duration, ids ...string) {
	GinkgoHelper()
	expectRefusedWith(s, func(err error) { expectPaused(err, want) }, ids...)
}

func expectRefusedWith(s *scheduler.Scheduler, expect func(error), ids ...string) {
	GinkgoHelper()
	placed := s.Dispatch(now)
	Expect(placed).To(HaveLen(len(ids)))
	for i, p := range placed {
		Expect(p.Ticket.ID).To(Equal(ids[i]))
		expect(p.Err)
	}
	for _, p := range placed {
		Expect(s.Abandon(p.Ticket)).To(BeFalse())
	}
}

var _ = Describe("targets that pause", func() {
	// Guards against requests that wait in the queue until their deadline passes.
	It("refuse requests at once until the first pause ends", func() {
		s := newSlotScheduler(2)
		pause(s, 700*time.Millisecond)
		Expect(s.Admit(now, ticket("x", 10))).To(Succeed())
		s.Enqueue(ticket("one", 10))
		Expect(s.Dispatch(now)).To(ConsistOf(HaveField("Pick.Target.ID", "t1")))
		s.Enqueue(ticket("two", 10))
		s.Enqueue(ticket("three", 10))
		Expect(s.Dispatch(now)).To(BeEmpty())

		pause(s, 700*time.Millisecond, 2*time.Second)
		expectPaused(s.Admit(now, ticket("x", 10)), 700*time.Millisecond)
		expectRefused(s, 700*time.Millisecond, "three", "two")
		Expect(s.Queued()).To(BeZero())

		later := now.Add(700 * time.Millisecond)
		Expect(s.Admit(later, ticket("x", 10))).To(Succeed())
		s.Enqueue(ticket("x", 10))
		Expect(s.Dispatch(later)).To(ConsistOf(HaveField("Pick.Target.ID", "t0")))
	})

	It("name the end of a long pause to callers", func() {
		s := newSlotScheduler(2)
		pause(s, 30*time.Minute, time.Hour)
		expectPaused(s.Admit(now, ticket("x", 10)), 30*time.Minute)
	})

	It("refuse at once a retry that has tried the other ones", func() {
		s := newSlotScheduler(3)
		pause(s, 3*time.Second, 2*time.Second)
		t := ticket("x", 10)
		t.Exclude = []string{"t2"}
		expectBackSoon(s.Admit(now, t))
		s.Enqueue(t)
		expectRefusedWith(s, expectBackSoon, "x")
	})

	It("refuse at once a retry that they have refused themselves", func() {
		s := newSlotScheduler(2)
		pause(s, 3*time.Second, 2*time.Second)
		t := ticket("x", 10)
		t.Exclude = []string{"t0", "t1"}
		s.Enqueue(t)
		expectRefused(s, 2*time.Second, "x")
	})

	It("refuse at once a retry behind a request that waits for another target", func() {
		s := newSlotScheduler(2)
		s.Enqueue(ticket("running", 10))
		s.Enqueue(ticket("too", 10))
		Expect(s.Dispatch(now)).To(HaveLen(2))
		pause(s, 3*time.Second)
		s.Enqueue(ticket("first", 10))
		behind := ticket("behind", 10)
		behind.Exclude = []string{"t1"}
		s.Enqueue(behind)
		expectRefusedWith(s, expectBackSoon, "behind")
		Expect(s.Queued()).To(Equal(1))
	})

	It("refuse long prompts at once if only others accept short ones", func() {
		s := &scheduler.Scheduler{}
		load := messenger.Load{Seq: 1, Memory: 1000000, Speed: 100000, Pace: 50}
		long := messenger.Target{ID: "long", Service: "s", Lane: router.LaneLong, Incarnation: 1, Load: load}
		s.Router.Update(now, []messenger.Target{long, {ID: "short", Service: "s", Lane: router.LaneShort, Incarnation: 1, Load: load}})
		s.Router.Pause(now, long, time.Second)
		expectPaused(s.Admit(now, ticket("x", 100000)), time.Second)
		Expect(s.Admit(now, ticket("x", 10))).To(Succeed())
	})

	It("don't refuse a prompt for a time that no target will ever accept", func() {
		s := newScheduler()
		s.Router.Pause(now, messenger.Target{ID: "t", Incarnation: 1}, time.Second)
		expectCode(s.Admit(now, ticket("x", 100000)), coder.PromptTooLong)
	})
})

var _ = Describe("targets that have said that they leave", func() {
	It("leave their queued requests to other ones", func() {
		s := newSlotScheduler(2)
		s.Enqueue(ticket("a", 10))
		s.Enqueue(ticket("b", 10))
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(2))
		s.Enqueue(ticket("c", 10))
		Expect(s.Dispatch(now)).To(BeEmpty())
		s.Router.MarkLeaving(now, placed[0].Pick.Target)
		s.Ended(placed[0].Ticket, placed[0].Pick)
		Expect(s.Dispatch(now)).To(BeEmpty())
		s.Ended(placed[1].Ticket, placed[1].Pick)
		Expect(s.Dispatch(now)).To(ConsistOf(HaveField("Pick.Target.ID", placed[1].Pick.Target.ID)))
	})

	// Guards against counting the excluded target twice: as excluded and as leaving.
	It("let a retry that one of them refused wait for a busy target", func() {
		s := newSlotScheduler(2)
		s.Enqueue(ticket("a", 10))
		busy := s.Dispatch(now)
		left := slotTarget(0)
		if busy[0].Pick.Target.ID == left.ID {
			left = slotTarget(1)
		}
		s.Router.MarkLeaving(now, left)
		t := ticket("retry", 10)
		t.Exclude = []string{left.ID}
		s.Enqueue(t)
		Expect(s.Dispatch(now)).To(BeEmpty())
		s.Ended(busy[0].Ticket, busy[0].Pick)
		Expect(s.Dispatch(now)).To(ConsistOf(HaveField("Pick.Target.ID", busy[0].Pick.Target.ID)))
	})

	It("leave no target", func() {
		s := newSlotScheduler(2)
		s.Enqueue(ticket("a", 10))
		s.Enqueue(ticket("b", 10))
		Expect(s.Dispatch(now)).To(HaveLen(2))
		s.Enqueue(ticket("queued", 10))
		Expect(s.Dispatch(now)).To(BeEmpty())
		for i := range 2 {
			s.Router.MarkLeaving(now, slotTarget(i))
		}
		pause(s, time.Second, time.Second)
		expectCode(s.Admit(now, ticket("x", 10)), coder.NoTarget)
		refused := s.Dispatch(now)
		Expect(refused).To(HaveLen(1))
		expectCode(refused[0].Err, coder.NoTarget)
	})
})
