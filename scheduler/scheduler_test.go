package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

var now = time.Unix(1000, 0)

func one() *scheduler.Scheduler {
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
	It("places what a target can take and keeps the rest in turn", func() {
		s := one()
		for i := range 5 {
			s.Enqueue(ticket(fmt.Sprint(i), 2000))
		}
		placed := s.Pump(now)
		Expect(placed).To(HaveLen(2))
		Expect(s.Queued()).To(Equal(3))
		Expect(s.Pump(now)).To(BeEmpty())
		s.Started(placed[0].Ticket, placed[0].Pick, time.Second)
		Expect(s.Pump(now)).To(HaveLen(1))
	})

	It("admits by what waits before the request and by the speed that others got", func() {
		s := one()
		Expect(s.Admit(now, ticket("x", 50000))).To(Succeed())
		for i := range 20 {
			s.Enqueue(ticket(fmt.Sprint(i), 5000))
		}
		s.Pump(now)
		expectCode(s.Admit(now, ticket("x", 5000)), coder.Overloaded)

		slow := one()
		slow.Enqueue(ticket("a", 10000))
		p := slow.Pump(now)[0]
		for range 100 {
			slow.Started(p.Ticket, p.Pick, 4*time.Second)
		}
		expectCode(slow.Admit(now, ticket("x", 25000)), coder.Overloaded)
		Expect(slow.Admit(now, ticket("x", 15000))).To(Succeed())
	})

	// Load answered: long prompts that wait seconds for memory, of which none was
	// placed yet when the next one comes.
	It("doesn't take a queue for a standing one because its first request waits", func() {
		s := &scheduler.Scheduler{}
		s.Router.Update(now, []messenger.Target{{
			ID: "t", Service: "s", Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 100000, Used: 95000, Speed: 10000, Pace: 50},
		}})
		s.Enqueue(ticket("first", 20000))
		Expect(s.Pump(now)).To(BeEmpty())
		later := now.Add(2 * time.Second)
		Expect(s.Pump(later)).To(BeEmpty())
		next := ticket("next", 20000)
		next.Deadline = later.Add(30 * time.Second)
		Expect(s.Admit(later, next)).To(Succeed())
		next.Deadline = later.Add(4 * time.Second)
		expectCode(s.Admit(later, next), coder.Overloaded)
	})

	// Load answered: short prompts that come back with half of their time left, and
	// allow an answer three times as long as they usually get.
	It("allows time for the answer that is likely, not for the longest one", func() {
		s := one()
		t := ticket("x", 1000)
		t.Output, t.Deadline = 400, now.Add(5*time.Second)
		expectCode(s.Admit(now, t), coder.Overloaded)
		t.Likely = 150
		Expect(s.Admit(now, t)).To(Succeed())
		Expect(s.Needs(t)).To(BeNumerically("<", 4*time.Second))
	})

	It("refuses at once what no target can ever hold", func() {
		s := one()
		expectCode(s.Admit(now, ticket("x", 100000)), coder.PromptTooLong)
		none := ticket("y", 10)
		none.Service = "other"
		expectCode(s.Admit(now, none), coder.NoTarget)
	})

	It("lets no longer prompt that waits for memory hold up a shorter one", func() {
		s := &scheduler.Scheduler{}
		s.Router.Update(now, []messenger.Target{{
			ID: "t", Service: "s", Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 100000, Used: 95000, Speed: 1000000, Pace: 50},
		}})
		s.Enqueue(ticket("medium", 20000))
		s.Enqueue(ticket("short", 2000))
		placed := s.Pump(now)
		Expect(placed).To(HaveLen(1))
		Expect(placed[0].Ticket.ID).To(Equal("short"))
	})

	It("ends the wait of a request that every target has failed", func() {
		s := one()
		t := ticket("x", 10)
		t.Exclude = []string{"t"}
		s.Enqueue(t)
		placed := s.Pump(now)
		Expect(placed).To(HaveLen(1))
		expectCode(placed[0].Err, coder.NoTarget)
	})

	It("forgets an abandoned request once", func() {
		s := one()
		t := ticket("x", 10)
		s.Enqueue(t)
		Expect(s.Abandon(t)).To(BeTrue())
		Expect(s.Abandon(t)).To(BeFalse())
		Expect(s.Pump(now)).To(BeEmpty())
	})
})
