package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// newBoundScheduler returns a scheduler of the first of some entries before targets t0, t1 and
// so on of 64 slots each, which get 44 requests in any one second.
func newBoundScheduler(entries, targets int) *scheduler.Scheduler {
	s := &scheduler.Scheduler{Router: router.Router{ColdBound: map[string]ramper.Limit{"s": {Cold: 26, Bound: 44}}}}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("e", i))
	}
	s.Router.RecordEntries(now.Add(-time.Minute), "e0", names)
	var ts []messenger.Target
	for i := range targets {
		t := slotTarget(i)
		t.Slots = 64
		ts = append(ts, t)
	}
	s.Router.Update(now, ts)
	s.Router.SetEntries("e0", names)
	s.Router.RecordEntries(now, "e0", names)
	return s
}

// dispatchOne returns the placement of the only ticket that is placed.
func dispatchOne(s *scheduler.Scheduler, at time.Time) scheduler.Placement {
	GinkgoHelper()
	out := s.Dispatch(at)
	Expect(out).To(HaveLen(1))
	return out[0]
}

// sendNow queues, places and sends a request.
func sendNow(s *scheduler.Scheduler, at time.Time, id string) scheduler.Placement {
	GinkgoHelper()
	s.Enqueue(ticket(id, 10))
	p := dispatchOne(s, at)
	Expect(p.Err).NotTo(HaveOccurred())
	s.Sending(at, p.Ticket, p.Pick)
	s.PrefillDone(p.Ticket, p.Pick, time.Millisecond)
	s.Ended(p.Ticket, p.Pick)
	return p
}

var _ = Describe("a bound on the requests to each target", func() {
	// Guards against a request that is refused although a share is free in time, one that is
	// held too long, and one that is sent too early.
	It("lets a request wait for the moment at which a share is free", func() {
		s := newBoundScheduler(31, 1)
		sendNow(s, now, "a")
		s.Enqueue(ticket("b", 10))
		Expect(s.Dispatch(now.Add(ramper.Window - 1))).To(BeEmpty())
		Expect(s.Dispatch(now.Add(ramper.Window - 1))).To(BeEmpty())
		Expect(s.Deferred).To(Equal(1))
		Expect(dispatchOne(s, now.Add(ramper.Window)).Err).NotTo(HaveOccurred())
	})

	// Guards against a request that is held until near its deadline, and a Retry-After that is
	// not the time at which a share is free.
	It("refuses a request at once that has no time to wait", func() {
		s := newBoundScheduler(31, 1)
		sendNow(s, now, "a")
		t := ticket("b", 10)
		t.Deadline = now.Add(500 * time.Millisecond)
		expectPaused(s.Admit(now.Add(100*time.Millisecond), t), ramper.Window-100*time.Millisecond)
		s.Enqueue(t)
		expectPaused(dispatchOne(s, now.Add(100*time.Millisecond)).Err, ramper.Window-100*time.Millisecond)
	})

	It("counts the requests ahead in the queue", func() {
		s := newBoundScheduler(31, 2)
		sendNow(s, now, "a")
		sendNow(s, now, "b")
		wait, ok := s.Router.ShareWait(now, router.Request{Service: "s"}, 10)
		Expect(ok).To(BeTrue())
		Expect(wait).To(BeNumerically("~", 6*ramper.Window, ramper.Window/2))
	})

	// Guards against a retry that waits for a target that it excludes.
	It("refuses a request whose targets besides the excluded ones have got their share", func() {
		s := newBoundScheduler(31, 2)
		first := sendNow(s, now, "a").Pick.Target.ID
		t := ticket("b", 10)
		t.Deadline, t.Exclude = now.Add(500*time.Millisecond), []string{"t0"}
		if first == "t0" {
			t.Exclude = []string{"t1"}
		}
		s.Enqueue(t)
		expectPaused(dispatchOne(s, now).Err, ramper.Window)
	})

	// Guards against requests that wait at an entry which sends nothing to any target.
	It("refuses a request at once if only other entries send to the targets", func() {
		refused := 0
		for i := range 20 {
			s := newBoundScheduler(103, 1)
			t := messenger.Target{ID: fmt.Sprint("other", i), Service: "s", Slots: 64, Incarnation: 1}
			s.Router.Update(now, []messenger.Target{t})
			if err := s.Admit(now, ticket("a", 10)); err != nil {
				expectCode(err, coder.Overloaded)
				Expect(coder.Of(err).Retry).To(BeNumerically(">", 0))
				refused++
			}
		}
		Expect(refused).To(And(BeNumerically(">", 3), BeNumerically("<", 19)))
	})

	// Guards against a share that requests use up which are never sent: abandoned ones, and
	// ones that the relay places elsewhere.
	It("gives back the share of a request that is not sent", func() {
		s := newBoundScheduler(31, 1)
		s.Enqueue(ticket("a", 10))
		p := dispatchOne(s, now)
		Expect(s.Router.Restricted(now, "s")).To(BeFalse(), "others may share it")
		s.PrefillDone(p.Ticket, p.Pick, 0)
		s.Ended(p.Ticket, p.Pick)
		sendNow(s, now, "b")
	})

	It("moves the share with a request that another entry places", func() {
		s := newBoundScheduler(31, 2)
		s.Enqueue(ticket("a", 10))
		p := dispatchOne(s, now)
		Expect(s.Move(now, p.Ticket, p.Pick, p.Pick)).To(BeTrue(), "its own share does not count against it")
		to := router.Pick{Target: s.Router.Target("t0")}
		if p.Pick.Target.ID == "t0" {
			to.Target = s.Router.Target("t1")
		}
		Expect(s.Move(now, p.Ticket, p.Pick, to)).To(BeTrue())
		s.Sending(now, p.Ticket, to)
		Expect(s.Router.Accepts(now, to)).To(BeFalse())
		Expect(s.Router.Accepts(now, p.Pick)).To(BeTrue())
		s.Enqueue(ticket("b", 10))
		other := dispatchOne(s, now)
		Expect(s.Move(now, other.Ticket, other.Pick, to)).To(BeFalse(), "the share there is used")
		Expect(s.Router.Accepts(now, p.Pick)).To(BeFalse(), "it keeps its own")
	})

	// Guards against a relay that picks targets to which the sender may not send, or leaves
	// those out where only its own share is used.
	It("is that of the sender where another entry picks", func() {
		s := newBoundScheduler(31, 1)
		sendNow(s, now, "a")
		t := ticket("b", 10)
		t.Sender = "e1"
		_, ok, err := s.PlaceFor(now, t, 0, func([]messenger.Sent) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())

		s = newBoundScheduler(103, 1)
		senders := 0
		for i := range 103 {
			t := ticket(fmt.Sprint(i), 10)
			t.Sender = fmt.Sprint("e", i)
			if _, ok, _ := s.PlaceFor(now, t, 0, func([]messenger.Sent) {}); ok {
				senders++
			}
		}
		Expect(senders).To(Equal(44))
		t.Sender = "of another fleet"
		_, ok, _ = s.PlaceFor(now, t, 0, func([]messenger.Sent) {})
		Expect(ok).To(BeFalse())
	})

	It("lists for the relay the targets that have got this entry's share", func() {
		s := newBoundScheduler(31, 3)
		used := sendNow(s, now, "a").Pick.Target.ID
		s.Enqueue(ticket("b", 10))
		p := dispatchOne(s, now)
		ids, ok := s.Unavailable(now, p.Ticket, p.Pick)
		Expect(ok).To(BeTrue())
		Expect(ids).To(Equal([]string{used}))
		s.Router.RecordEntries(now, "e0", []string{"e1"})
		_, ok = s.Unavailable(now, p.Ticket, p.Pick)
		Expect(ok).To(BeFalse(), "no other entry knows that this one has not settled")
	})

	// Guards against questions to the relay that grow with the number of targets.
	It("lists a bounded number of targets for the relay", func() {
		s := newBoundScheduler(31, 100)
		for i := range 90 {
			sendNow(s, now, fmt.Sprint(i))
		}
		s.Enqueue(ticket("b", 10))
		p := dispatchOne(s, now)
		ids, ok := s.Unavailable(now, p.Ticket, p.Pick)
		Expect(ok).To(BeTrue())
		Expect(ids).To(And(HaveLen(32), Not(ContainElement(p.Pick.Target.ID))))
	})

	It("does not concern other services", func() {
		s := newBoundScheduler(31, 1)
		s.Router.ColdBound = nil
		s.Router.Update(now, []messenger.Target{{ID: "t0", Service: "s", Slots: 64, Incarnation: 1}})
		for i := range 50 {
			sendNow(s, now, fmt.Sprint(i))
		}
	})
})
