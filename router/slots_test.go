package router_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

const (
	slotsPerTarget = 16
	targetCount    = 14
)

// newSlotRouter returns a Router with n targets that report their slots.
func newSlotRouter(n int) *router.Router {
	r := &router.Router{Seed: 1}
	var targets []messenger.Target
	for i := range n {
		targets = append(targets, messenger.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: slotsPerTarget, Incarnation: 1})
	}
	r.Update(time.Unix(0, 0), targets)
	return r
}

var (
	shortRequest = router.Request{Service: "s", Prompt: 5000, Output: 1600, Prefill: 20 * time.Millisecond, PrefillTargets: 1}
	longRequest  = router.Request{Service: "s", Prompt: 210000, Output: 800, Prefill: 2800 * time.Millisecond, PrefillTargets: 56}
	plainRequest = router.Request{Service: "s", Prompt: 1}
)

// place selects a target for req and records the request as sent.
func place(r *router.Router, req router.Request) router.Pick {
	GinkgoHelper()
	p, ok := r.Pick(time.Unix(0, 0), req)
	Expect(ok).To(BeTrue())
	r.Sent(time.Unix(0, 0), p, req)
	return p
}

// Guards against interference between alternating phases of short and long prompts.
var _ = Describe("targets that report their slots", func() {
	It("are filled in rank order by short prompts", func() {
		r := newSlotRouter(targetCount)
		used := map[string]int{}
		for range 33 {
			p := place(r, shortRequest)
			used[p.Target.ID]++
			r.PrefillDone(p, shortRequest)
		}
		Expect(used).To(HaveLen(3))
	})

	It("prefill a long prompt together, without those that short prompts fill", func() {
		r := newSlotRouter(targetCount)
		short := map[string]bool{}
		for range 33 {
			p := place(r, shortRequest)
			short[p.Target.ID] = true
			r.PrefillDone(p, shortRequest)
		}
		p := place(r, longRequest)
		Expect(p.Helpers).To(HaveLen(targetCount - len(short) - 1))
		for _, t := range append(p.Helpers, p.Target) {
			Expect(short).NotTo(HaveKey(t.ID))
		}
	})

	It("are at least half available to long prompts, while short prompts avoid long prefills", func() {
		r := newSlotRouter(4)
		for range 4 * slotsPerTarget * 6 / 10 {
			place(r, shortRequest)
		}
		p := place(r, longRequest)
		Expect(p.Helpers).To(HaveLen(1))
		Expect([]string{p.Target.ID, p.Helpers[0].ID}).NotTo(ContainElement(place(r, shortRequest).Target.ID))
	})

	It("receive the requests of a plain service evenly", func() {
		r := newSlotRouter(3)
		used := map[string]int{}
		for range 9 {
			used[place(r, plainRequest).Target.ID]++
		}
		Expect(used).To(HaveEach(3))
	})

	It("receive no more requests than they have slots", func() {
		r := newSlotRouter(2)
		for range 2 * slotsPerTarget {
			place(r, shortRequest)
		}
		_, ok := r.Pick(time.Unix(0, 0), shortRequest)
		Expect(ok).To(BeFalse())
	})

	It("have no load left when all requests have ended", func() {
		r := newSlotRouter(1)
		var picks []router.Pick
		for range slotsPerTarget {
			picks = append(picks, place(r, longRequest))
		}
		for _, p := range picks {
			r.PrefillDone(p, longRequest)
			r.Ended(p, longRequest)
		}
		Expect(r.Sends()).To(BeEmpty())
	})
})

// Guards against failures of prompts that exceed the free memory of one target.
var _ = Describe("memory of targets that report their slots", func() {
	newRouter := func(n, memory int) *router.Router {
		r := &router.Router{Seed: 1}
		var targets []messenger.Target
		for i := range n {
			targets = append(targets, messenger.Target{
				ID: fmt.Sprintf("t%d", i), Service: "s", Slots: slotsPerTarget, Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: memory},
			})
		}
		r.Update(time.Unix(0, 0), targets)
		return r
	}
	helperMemory := func(p router.Pick) (n int) {
		for _, tokens := range p.HelperMemory {
			n += tokens
		}
		return n
	}

	It("is reserved at helpers for what the first target lacks", func() {
		r := newRouter(4, 100000)
		p := place(r, longRequest)
		Expect(helperMemory(p)).To(BeNumerically(">=", longRequest.Prompt+longRequest.Output-95000))
		Expect(helperMemory(p)).To(BeNumerically("<=", longRequest.Prompt+longRequest.Output))
		r.PrefillDone(p, longRequest)
		r.Ended(p, longRequest)
		Expect(r.Sends()).To(BeEmpty())
	})

	It("extends a gang beyond the targets that the prefill needs", func() {
		r := newRouter(6, 60000)
		two := longRequest
		two.PrefillTargets = 2
		Expect(len(place(r, two).Helpers)).To(BeNumerically(">=", 3))
	})

	It("rejects a prompt that does not fit in all targets together", func() {
		r := newRouter(3, 60000)
		_, ok := r.Pick(time.Unix(0, 0), longRequest)
		Expect(ok).To(BeFalse())
	})
})

// Guards against long prompts that delay streams of short ones, which allow shorter gaps.
var _ = Describe("a long prefill", func() {
	short, medium, long := shortRequest, longRequest, longRequest
	short.Objective, short.MaxGap, short.PassTime = 300*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond
	medium.Prompt, medium.Prefill, medium.PrefillTargets = 45000, 270*time.Millisecond, 6
	medium.Objective, medium.MaxGap, medium.PassTime = 1500*time.Millisecond, 500*time.Millisecond, 60*time.Millisecond
	long.Objective, long.MaxGap, long.PassTime = 3*time.Second, 800*time.Millisecond, 60*time.Millisecond
	// busy returns a Router with a short stream at every target.
	busy := func(n int) *router.Router {
		r := newSlotRouter(n)
		for range n {
			p := place(r, short)
			r.Refused(p.Target.ID, time.Unix(1, 0))
			r.PrefillDone(p, short)
		}
		return r
	}
	now := time.Unix(2, 0)

	It("is placed beside short streams in parts that fit their allowed gap", func() {
		p, ok := busy(targetCount).Pick(now, medium)
		Expect(ok).To(BeTrue())
		part := medium.Prefill / time.Duration(1+len(p.Helpers))
		Expect(part + medium.PassTime).To(BeNumerically("<=", short.MaxGap))
	})

	It("waits a bounded time while its parts would delay the streams of every target", func() {
		r := busy(targetCount)
		_, ok := r.Pick(now, long)
		Expect(ok).To(BeFalse())
		waited := long
		waited.QueueTime = long.Objective / 3
		_, ok = r.Pick(now, waited)
		Expect(ok).To(BeTrue())
	})

	// placeable returns how many prompts a router places at once, each prefilled for 300 ms at
	// four targets.
	placeable := func(r *router.Router) (n int) {
		req := long
		req.Prefill = 1200 * time.Millisecond
		for ; ; n++ {
			p, ok := r.Pick(now, req)
			if !ok {
				return n
			}
			r.Sent(now, p, req)
		}
	}

	It("avoids targets where another prefill uses up the allowed gap of a stream", func() {
		r := newSlotRouter(4)
		var streams []messenger.Sent
		for i := range 4 {
			streams = append(streams, messenger.Sent{Target: xxhash.Sum64String(fmt.Sprintf("t%d", i)), InFlight: 1, MinGap: 800})
		}
		r.RecordPeers(now, router.Peers{Sends: streams, Entries: 1})
		Expect(placeable(r)).To(Equal(2))
	})

	// Guards against long prompts that wait at the entry, and are then placed beside streams
	// that they delay, while targets without streams could take them one after the other.
	It("queues at targets without streams as far as the objective allows", func() {
		r := newSlotRouter(4)
		Expect(placeable(r)).To(BeNumerically(">", 2))
		Expect(placeable(r)).To(BeZero())
	})

	It("uses targets whose streams it delays, after a wait, if the others lack the memory", func() {
		r := &router.Router{Seed: 1}
		var targets []messenger.Target
		for i := range 4 {
			targets = append(targets, messenger.Target{
				ID: fmt.Sprintf("t%d", i), Service: "s", Slots: slotsPerTarget, Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: 60000},
			})
		}
		r.Update(time.Unix(0, 0), targets)
		for range 3 { // one short stream at each of three targets
			p := place(r, short)
			r.Refused(p.Target.ID, time.Unix(1, 0))
			r.PrefillDone(p, short)
		}
		req := long
		req.Prompt, req.Prefill, req.PrefillTargets = 80000, 500*time.Millisecond, 10
		_, ok := r.Pick(now, req)
		Expect(ok).To(BeFalse(), "the only target without streams lacks the memory")
		req.QueueTime = req.Objective / 3
		p, ok := r.Pick(now, req)
		Expect(ok).To(BeTrue())
		Expect(p.Helpers).NotTo(BeEmpty())
	})

	It("respects the streams of other entries", func() {
		r := newSlotRouter(targetCount)
		r.RecordPeers(now, router.Peers{Sends: busy(targetCount).Sends(), Entries: 1})
		_, ok := r.Pick(now, long)
		Expect(ok).To(BeFalse())
	})
})

// Guards against pauses in the streams of all targets when several long prompts arrive at
// once and none of them finds targets where it delays no stream.
var _ = Describe("a long prompt beside streams that it delays", func() {
	It("is split among all targets that may share it, also among those that prefill another one", func() {
		r := newSlotRouter(targetCount)
		var others []messenger.Sent
		for i := range targetCount {
			sent := messenger.Sent{Target: xxhash.Sum64String(fmt.Sprintf("t%d", i)), InFlight: 1, MinGap: 150}
			if i%2 == 0 {
				sent.PendingPrefill = 200
			}
			others = append(others, sent)
		}
		r.RecordPeers(time.Unix(0, 0), router.Peers{Sends: others, Entries: 1})
		req := router.Request{
			Service: "s", Prompt: 60000, Output: 800, Prefill: 600 * time.Millisecond, PrefillTargets: 12, PassTime: 60 * time.Millisecond,
			Objective: 1500 * time.Millisecond, MaxGap: 150 * time.Millisecond,
		}
		_, ok := r.Pick(time.Unix(0, 0), req)
		Expect(ok).To(BeFalse())
		req.QueueTime = req.Objective / 3
		Expect(place(r, req).Helpers).To(HaveLen(11))
	})
})

// Guards against streams of long prompts at every target: the prefill of the next long
// prompt delays all of them, so that they last many times as long and pile up.
var _ = Describe("streams of long prompts", func() {
	It("are decoded on few targets as far as memory and gaps allow", func() {
		const memory = 400000
		r := &router.Router{Seed: 1}
		var targets []messenger.Target
		for i := range targetCount {
			targets = append(targets, messenger.Target{
				ID: fmt.Sprintf("t%d", i), Service: "s", Slots: slotsPerTarget, Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: memory},
			})
		}
		r.Update(time.Unix(0, 0), targets)
		req := longRequest
		req.Prompt, req.Prefill, req.PrefillTargets, req.Objective, req.MaxGap = 90000, time.Second, 20, 3*time.Second, time.Second
		used := map[string]int{}
		for range 8 {
			p := place(r, req)
			r.PrefillDone(p, req)
			Expect(p.HelperMemory).To(HaveEach(0))
			used[p.Target.ID]++
		}
		Expect(used).To(HaveLen(2), "each target has the memory for four prompts")
	})
})

// Guards against single prompts so long that their prefill delays every stream.
var _ = Describe("a heavy prompt", func() {
	heavy := router.Request{
		Service: "s", Prompt: 500000, Output: 800, Prefill: 13 * time.Second, PrefillTargets: 260, Objective: 3 * time.Second, MaxGap: 800 * time.Millisecond, PassTime: 60 * time.Millisecond,
	}
	It("uses only idle targets, enough of them to meet its time-to-first-token objective", func() {
		r := newSlotRouter(targetCount)
		used := place(r, shortRequest).Target.ID
		p := place(r, heavy)
		Expect(heavy.Prefill / time.Duration(1+len(p.Helpers))).To(BeNumerically("<=", heavy.Objective))
		for _, t := range append(p.Helpers, p.Target) {
			Expect(t.ID).NotTo(Equal(used))
		}
	})

	It("is prefilled past its objective by idle targets that cannot meet it", func() {
		heaviest := heavy
		heaviest.Prefill = 50 * time.Second
		r := newSlotRouter(targetCount)
		p, ok := r.Pick(time.Unix(0, 0), heaviest)
		Expect(ok).To(BeTrue())
		place(r, shortRequest)
		_, ok = r.Pick(time.Unix(0, 0), heaviest)
		Expect(ok).To(BeFalse(), "other requests would have no target for seconds")
		Expect(heaviest.Prefill / time.Duration(1+len(p.Helpers))).To(BeNumerically("<", 4*heaviest.Objective))
		p, ok = newSlotRouter(4).Pick(time.Unix(0, 0), heavy)
		Expect(ok).To(BeTrue())
		Expect(heavy.Prefill / time.Duration(1+len(p.Helpers))).To(BeNumerically("<", 4*heavy.Objective))
	})

	It("is refused only after a wait, unlike a long prompt", func() {
		r := newSlotRouter(targetCount)
		Expect(r.ShouldRefuse(heavy)).To(BeFalse())
		waited := heavy
		waited.QueueTime = 2*heavy.Objective - time.Millisecond
		Expect(r.ShouldRefuse(waited)).To(BeFalse())
		waited.QueueTime = 2 * heavy.Objective
		Expect(r.ShouldRefuse(waited)).To(BeTrue())
		long := waited
		long.Prefill = 3 * time.Second
		Expect(r.ShouldRefuse(long)).To(BeFalse())
	})

	It("gets no targets while too few are idle", func() {
		r := newSlotRouter(5)
		place(r, shortRequest)
		place(r, longRequest)
		_, ok := r.Pick(time.Unix(0, 0), heavy)
		Expect(ok).To(BeFalse())
	})

	It("excludes prefills from its targets that would miss their objective, until its own prefill ends", func() {
		r := newSlotRouter(targetCount)
		p := place(r, heavy)
		other := heavy
		other.Prefill, other.PrefillTargets = 6*time.Second, 120
		_, ok := r.Pick(time.Unix(0, 0), other)
		Expect(ok).To(BeFalse())
		r.PrefillDone(p, heavy)
		r.Ended(p, heavy)
		_, ok = r.Pick(time.Unix(0, 0), other)
		Expect(ok).To(BeTrue())
	})
})
