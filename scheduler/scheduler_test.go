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

var now = time.Unix(1000, 0)

// newScheduler returns a scheduler with one target.
func newScheduler() *scheduler.Scheduler {
	s := &scheduler.Scheduler{}
	s.Router.Update(now, []messenger.Target{{
		ID: "t", Service: "s", Incarnation: 1,
		Load: messenger.Load{Seq: 1, Memory: 100000, Speed: 10000, Pace: 50},
	}})
	return s
}

func ticket(id string, prompt int) *scheduler.Ticket {
	return &scheduler.Ticket{ID: id, Service: "s", Account: "a", Prompt: prompt, Output: 50, Deadline: now.Add(10 * time.Second)}
}

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(coder.Of(err)).To(HaveField("Code", want))
}

var _ = Describe("scheduling", func() {
	It("places the requests that a target can accept and keeps the other ones queued", func() {
		s := newScheduler()
		for i := range 5 {
			s.Enqueue(ticket(fmt.Sprint(i), 2000))
		}
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(2))
		Expect(s.Queued()).To(Equal(3))
		Expect(s.Dispatch(now)).To(BeEmpty())
		s.PrefillDone(placed[0].Ticket, placed[0].Pick, time.Second)
		Expect(s.Dispatch(now)).To(HaveLen(1))
	})

	It("refuses at once requests that the rate limits of all targets let start too late", func() {
		s := newScheduler()
		s.Router.SetEntries("e", []string{"e"})
		s.Enqueue(ticket("first", 2000))
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(1))
		s.Router.RecordLimit(now, now, placed[0].Pick, 0.15)
		s.Enqueue(ticket("second", 2000))
		Expect(s.Dispatch(now)).To(HaveLen(1))

		Expect(s.Admit(now, ticket("x", 2000))).To(Succeed(), "the next one starts in 7 s")
		s.Enqueue(ticket("third", 2000))
		Expect(s.Dispatch(now)).To(BeEmpty())
		err := s.Admit(now, ticket("x", 2000))
		expectCode(err, coder.Overloaded)
		Expect(coder.Of(err).Retry).To(BeNumerically(">=", 13*time.Second))
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))

		s = newScheduler()
		s.Enqueue(ticket("first", 2000))
		placed = s.Dispatch(now)
		s.Enqueue(ticket("admitted", 100000))
		Expect(s.Dispatch(now)).To(BeEmpty())
		s.Router.RecordLimit(now, now, placed[0].Pick, 0.05)
		s.Router.Sent(now, placed[0].Pick, router.Request{})
		refused := s.Dispatch(now)
		Expect(refused).To(HaveLen(1))
		expectCode(refused[0].Err, coder.Overloaded)
	})

	It("refuses at once requests to targets that only other entries may send to", func() {
		s := newScheduler()
		s.Enqueue(ticket("first", 2000))
		placed := s.Dispatch(now)
		s.Router.RecordLimit(now, now, placed[0].Pick, 0.5)
		entries := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		serving := 0
		for _, e := range entries {
			s.Router.SetEntries(e, entries)
			if s.Admit(now, ticket("x", 2000)) == nil {
				serving++
			}
		}
		Expect(serving).To(Equal(3))
	})

	It("admits by the queue ahead and by the prefill rate of recent requests", func() {
		s := newScheduler()
		Expect(s.Admit(now, ticket("x", 50000))).To(Succeed())
		for i := range 20 {
			s.Enqueue(ticket(fmt.Sprint(i), 5000))
		}
		s.Dispatch(now)
		expectCode(s.Admit(now, ticket("x", 5000)), coder.Overloaded)

		slow := newScheduler()
		slow.Enqueue(ticket("a", 10000))
		p := slow.Dispatch(now)[0]
		for range 100 {
			slow.PrefillDone(p.Ticket, p.Pick, 4*time.Second)
		}
		expectCode(slow.Admit(now, ticket("x", 25000)), coder.Overloaded)
		Expect(slow.Admit(now, ticket("x", 15000))).To(Succeed())
	})

	// Guards against refusing long prompts while the first one waits seconds for memory: none
	// has been placed yet, so the measured drain rate alone would be zero.
	It("assumes progress of a queue whose first request still waits", func() {
		s := &scheduler.Scheduler{}
		s.Router.Update(now, []messenger.Target{{
			ID: "t", Service: "s", Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 100000, Used: 95000, Speed: 10000, Pace: 50},
		}})
		s.Enqueue(ticket("first", 20000))
		Expect(s.Dispatch(now)).To(BeEmpty())
		later := now.Add(2 * time.Second)
		Expect(s.Dispatch(later)).To(BeEmpty())
		next := ticket("next", 20000)
		next.Deadline = later.Add(30 * time.Second)
		Expect(s.Admit(later, next)).To(Succeed())
		next.Deadline = later.Add(4 * time.Second)
		expectCode(s.Admit(later, next), coder.Overloaded)
	})

	// Guards against refusing retried short prompts: half of their time is left, and their
	// output limit is three times the usual answer.
	It("allows time for the likely answer, not for the longest one", func() {
		s := newScheduler()
		t := ticket("x", 1000)
		t.Output, t.Deadline = 400, now.Add(5*time.Second)
		expectCode(s.Admit(now, t), coder.Overloaded)
		t.LikelyOutput = 150
		Expect(s.Admit(now, t)).To(Succeed())
		Expect(s.PredictDuration(t)).To(BeNumerically("<", 4*time.Second))
	})

	It("refuses at once requests that exceed every target's memory or have no target", func() {
		s := newScheduler()
		expectCode(s.Admit(now, ticket("x", 100000)), coder.PromptTooLong)
		none := ticket("y", 10)
		none.Service = "other"
		expectCode(s.Admit(now, none), coder.NoTarget)
	})

	It("places a shorter prompt while a longer one waits for memory", func() {
		s := &scheduler.Scheduler{}
		s.Router.Update(now, []messenger.Target{{
			ID: "t", Service: "s", Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 100000, Used: 95000, Speed: 1000000, Pace: 50},
		}})
		s.Enqueue(ticket("medium", 20000))
		s.Enqueue(ticket("short", 2000))
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(1))
		Expect(placed[0].Ticket.ID).To(Equal("short"))
	})

	// Guards against a heavy prompt that waits for idle targets and holds up all long ones.
	It("places long prompts while a heavy one waits for idle targets", func() {
		s := &scheduler.Scheduler{}
		var targets []messenger.Target
		for i := range 8 {
			targets = append(targets, messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: 16, Incarnation: 1})
		}
		s.Router.Update(now, targets)
		long := func(id string, prefill time.Duration) *scheduler.Ticket {
			t := ticket(id, 150000)
			t.Prefill, t.PrefillTargets, t.Objective, t.MaxGap = prefill, 40, 3*time.Second, time.Second
			return t
		}
		s.Enqueue(long("running", time.Second))
		Expect(s.Dispatch(now)).To(HaveLen(1))
		s.Enqueue(long("heavy", 12*time.Second))
		s.Enqueue(long("behind", 2*time.Second))
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(1))
		Expect(placed[0].Ticket.ID).To(Equal("behind"))
		Expect(s.Dispatch(now.Add(5 * time.Second))).To(BeEmpty())
		refused := s.Dispatch(now.Add(6 * time.Second))
		Expect(refused).To(HaveLen(1))
		expectCode(refused[0].Err, coder.Overloaded)
	})

	It("ends the wait of a request that has failed at every target", func() {
		s := newScheduler()
		t := ticket("x", 10)
		t.Exclude = []string{"t"}
		s.Enqueue(t)
		placed := s.Dispatch(now)
		Expect(placed).To(HaveLen(1))
		expectCode(placed[0].Err, coder.NoTarget)
	})

	It("removes an abandoned request exactly once", func() {
		s := newScheduler()
		t := ticket("x", 10)
		s.Enqueue(t)
		Expect(s.Abandon(t)).To(BeTrue())
		Expect(s.Abandon(t)).To(BeFalse())
		Expect(s.Dispatch(now)).To(BeEmpty())
	})
})
