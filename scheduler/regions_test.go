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

// regionTarget returns target ti of one slot in a region.
func regionTarget(i int, region string) messenger.Target {
	t := slotTarget(i)
	t.Region = region
	return t
}

// newRegionScheduler returns a scheduler with a target of one slot in each of the regions.
func newRegionScheduler(regions ...string) *scheduler.Scheduler {
	s := &scheduler.Scheduler{}
	var targets []messenger.Target
	for i, region := range regions {
		targets = append(targets, regionTarget(i, region))
	}
	s.Router.Update(now, targets)
	return s
}

// ticketIn returns a ticket that may be served in the regions only.
func ticketIn(id string, regions ...string) *scheduler.Ticket {
	t := ticket(id, 10)
	t.Regions = regions
	return t
}

// expectNoRegion fails unless an error refuses a request that didn't run for want of targets in
// its regions, with a delay after which there may be some.
func expectNoRegion(err error) {
	GinkgoHelper()
	expectCode(err, coder.NoRegion)
	Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	Expect(coder.Of(err).Retry).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1500*time.Millisecond)))
}

var _ = Describe("requests that are restricted to regions", func() {
	// Guards against requests that are held to their deadline although nothing may serve them,
	// and against the code of an outage for a restriction.
	It("are refused at once without a target there", func() {
		s := newRegionScheduler("a", "")
		expectNoRegion(s.Admit(now, ticketIn("x", "b")))
		Expect(s.Admit(now, ticketIn("x", "a", "b"))).To(Succeed())
		Expect(s.Admit(now, ticketIn("x"))).To(Succeed())
		s.Enqueue(ticketIn("x", "b"))
		expectRefusedWith(s, expectNoRegion, "x")
	})

	// Guards against requests that stay in their queue after the last target of their regions
	// has gone, behind one that waits for its turn.
	It("are refused at once when the last target there goes, wherever in the queue", func() {
		s := newRegionScheduler("a", "b")
		for _, id := range []string{"running", "first", "second"} {
			s.Enqueue(ticketIn(id, "a"))
		}
		s.Enqueue(ticketIn("other", "b"))
		Expect(s.Dispatch(now)).To(ConsistOf(HaveField("Ticket.ID", "running"), HaveField("Ticket.ID", "other")))
		s.Enqueue(ticketIn("free"))
		s.Router.Update(now, []messenger.Target{regionTarget(1, "b")})
		expectRefusedWith(s, expectNoRegion, "first", "second")
		Expect(s.Queued()).To(Equal(1), "the unrestricted one")
	})

	// Guards against a full region that holds up the requests that another one could serve.
	It("do not block others while their region is full", func() {
		s := newRegionScheduler("a", "b")
		s.Enqueue(ticketIn("running", "a"))
		Expect(s.Dispatch(now)).To(HaveLen(1))
		for i := range 40 {
			s.Enqueue(ticketIn(fmt.Sprint("waiting", i), "a"))
		}
		s.Enqueue(ticketIn("elsewhere", "b"))
		Expect(s.Dispatch(now)).To(ConsistOf(And(HaveField("Ticket.ID", "elsewhere"), HaveField("Pick.Target.ID", "t1"))))
		Expect(s.Admit(now, ticketIn("x", "b"))).To(Succeed())
	})

	// Guards against restricted or unrestricted requests that starve where both wait for the
	// same targets.
	It("share targets with others by deadline", func() {
		s := newRegionScheduler("a")
		s.Enqueue(ticketIn("running", "a"))
		placed := s.Dispatch(now)
		for i, regions := range [][]string{{"a"}, nil, {"a"}, nil} {
			t := ticketIn(fmt.Sprint(i), regions...)
			t.Deadline = now.Add(time.Duration(1+i) * time.Minute)
			s.Enqueue(t)
		}
		for i := range 4 {
			s.Ended(placed[0].Ticket, placed[0].Pick)
			placed = s.Dispatch(now)
			Expect(placed).To(ConsistOf(HaveField("Ticket.ID", fmt.Sprint(i))))
		}
	})

	// Guards against admission by the capacity of targets that may not serve the request.
	It("are admitted by the capacity there", func() {
		s := &scheduler.Scheduler{}
		big := messenger.Target{ID: "big", Service: "s", Incarnation: 1, Region: "a", Load: messenger.Load{Seq: 1, Memory: 100000, Speed: 100000, Pace: 50}}
		slow := messenger.Target{ID: "slow", Service: "s", Incarnation: 1, Region: "b", Load: messenger.Load{Seq: 1, Memory: 1000, Speed: 10, Pace: 1}}
		s.Router.Update(now, []messenger.Target{big, slow})
		huge := ticketIn("x", "b")
		huge.Prompt = 2000
		expectCode(s.Admit(now, huge), coder.PromptTooLong)
		Expect(s.ExceedsTarget(huge)).To(BeTrue())
		late := ticketIn("x", "b")
		late.Prompt = 500
		expectCode(s.Admit(now, late), coder.Overloaded)
		late.Regions = []string{"a"}
		Expect(s.Admit(now, late)).To(Succeed())
	})

	// Guards against requests that wait for a target that pauses or limits its rate because
	// targets elsewhere do not.
	It("are refused at once while all targets there pause or are limited", func() {
		s := newRegionScheduler("a", "b")
		pause(s, 700*time.Millisecond)
		expectPaused(s.Admit(now, ticketIn("x", "a")), 700*time.Millisecond)
		Expect(s.Admit(now, ticketIn("x", "b"))).To(Succeed())
		s.Enqueue(ticketIn("x", "a"))
		expectRefused(s, 700*time.Millisecond, "x")

		s = newRegionScheduler("a", "b")
		s.Router.SetEntries("e", []string{"e"})
		s.Router.RecordLimit(now, now, router.Pick{Target: regionTarget(0, "a")}, 0.01)
		s.Router.Sent(now, router.Pick{Target: regionTarget(0, "a")}, router.Request{})
		expectCode(s.Admit(now, ticketIn("x", "a")), coder.Overloaded)
		Expect(s.Admit(now, ticketIn("x", "b"))).To(Succeed())
	})

	// Guards against a relay of an older release, which doesn't know of regions.
	It("are not moved to a target outside that the relay has picked", func() {
		s := newRegionScheduler("a", "b")
		t := ticketIn("x", "a")
		s.Enqueue(t)
		from := s.Dispatch(now)[0].Pick
		to := router.Pick{Target: regionTarget(1, "b")}
		Expect(s.Move(now, t, from, to)).To(BeFalse())
		to = router.Pick{Target: from.Target, Helpers: []messenger.Target{regionTarget(1, "b")}, HelperMemory: []int{0}}
		Expect(s.Move(now, t, from, to)).To(BeFalse(), "a helper outside")
		t.Regions = []string{"a", "b"}
		Expect(s.Move(now, t, from, to)).To(BeTrue())
	})

	// Guards against a relay that picks targets outside the regions of another entry's request,
	// and against one that knows none and has the other entry wait.
	It("are placed there for other entries", func() {
		s := newRegionScheduler("a", "b", "b")
		for range 2 {
			pick, ok, err := s.PlaceFor(now, ticketIn("x", "b"), 0, func([]messenger.Sent) {})
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeTrue())
			Expect(pick.Target.Region).To(Equal("b"))
		}
		_, ok, err := s.PlaceFor(now, ticketIn("x", "b"), 0, func([]messenger.Sent) {})
		Expect(ok).To(BeFalse())
		Expect(err).NotTo(HaveOccurred(), "they are full")
		_, _, err = s.PlaceFor(now, ticketIn("x", "c"), 0, func([]messenger.Sent) {})
		expectCode(err, coder.NotReady)
	})
})
