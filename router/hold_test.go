package router_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

const (
	// testMaxPause is the longest pause that a target can ask for.
	testMaxPause = time.Hour
	// testHoldTTL is how long a mark is kept of a target that is in no view.
	testHoldTTL = time.Hour
)

// views returns a target as it was announced once, announced again, and started again.
func views() (first, again, restarted messenger.Target) {
	first = newTargets(1, "")[0]
	again, restarted = first, first
	again.Load.Seq, again.Seq = 9, 9
	restarted.Incarnation = 2
	return first, again, restarted
}

func expectPicked(r *router.Router, at time.Time, want bool) {
	GinkgoHelper()
	_, ok := r.Pick(at, router.Request{Service: "s", Prompt: 10})
	Expect(ok).To(Equal(want))
}

// expectUsable fails unless the router holds the only target of its service in use.
func expectUsable(r *router.Router, at time.Time, want bool) {
	GinkgoHelper()
	expectPicked(r, at, want)
	Expect(r.HasTargets("s")).To(Equal(want))
	Expect(r.Targets("s")).To(HaveLen(r.Capacity("s", true).Targets))
	Expect(r.Capacity("s", false).Targets > 0).To(Equal(want))
	Expect(r.HasTargetsBesides("s", false, nil)).To(Equal(want))
}

var _ = Describe("a target that has said that it leaves", func() {
	first, again, restarted := views()

	It("counts as leaving at once", func() {
		r := router.Router{}
		r.Update(now, newTargets(3, ""))
		marked := newTargets(3, "")[1]
		Expect(r.Held(now, marked)).To(BeFalse())
		Expect(r.MarkLeaving(now, marked)).To(BeTrue())
		Expect(r.MarkLeaving(now, marked)).To(BeFalse())
		Expect(r.Held(now, marked)).To(BeTrue())
		Expect(r.Capacity("s", false).Targets).To(Equal(2))
		Expect(r.Capacity("s", true).Targets).To(Equal(2))
		Expect(r.Targets("s")).To(ConsistOf(HaveField("ID", "0"), HaveField("ID", "2")))
		Expect(r.Target(marked.ID).Leaving).To(BeTrue())
		for range 50 {
			Expect(pick(&r, router.Request{Prompt: 10})).NotTo(Equal(marked.ID))
		}
		Expect(pick(&r, router.Request{Prompt: 10, Exclude: []string{"0", "2"}})).To(BeEmpty())
	})

	It("leaves a service without targets", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		expectUsable(&r, now, true)
		r.MarkLeaving(now, first)
		expectUsable(&r, now, false)
	})

	It("isn't selected for its cached prefix", func() {
		r := router.Router{Seed: 3}
		r.Update(now, newTargets(5, ""))
		req := cachedRequest("m")
		id := pickCached(&r, req)
		r.MarkLeaving(now, messenger.Target{ID: id, Incarnation: 1})
		Expect(pick(&r, req)).NotTo(Equal(id))
	})

	It("isn't used by split prompts, nor as a helper", func() {
		r := newSlotRouter(4)
		r.MarkLeaving(time.Unix(0, 0), messenger.Target{ID: "t2", Incarnation: 1})
		for range 6 {
			Expect(idsOf(place(r, longRequest))).To(ConsistOf("t0", "t1", "t3"))
		}
	})

	It("makes a service use slots if only others report theirs", func() {
		r := router.Router{Seed: 1}
		r.Update(now, []messenger.Target{{ID: "a", Service: "s", Slots: 1, Incarnation: 1}, {ID: "b", Service: "s", Incarnation: 1}})
		r.MarkLeaving(now, messenger.Target{ID: "b", Incarnation: 1})
		Expect(pick(&r, router.Request{Prompt: 10})).To(Equal("a"))
		Expect(pick(&r, router.Request{Prompt: 10})).To(BeEmpty())
	})

	// Guards against views that were on their way, or that know the target by a heartbeat.
	It("leaves whatever later views say", func() {
		r := router.Router{}
		Expect(r.MarkLeaving(now, first)).To(BeTrue(), "before any view")
		for i, view := range [][]messenger.Target{{first}, {again}, {}, {first}, nil, {again}} {
			r.Update(now.Add(time.Duration(i)*time.Minute), view)
			expectUsable(&r, now, false)
		}
	})

	It("is forgotten when it has been in no view for long", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		r.MarkLeaving(now, first)
		r.Update(now.Add(10*testHoldTTL), []messenger.Target{first})
		gone := now.Add(11 * testHoldTTL)
		r.Update(gone, nil)
		r.Update(gone.Add(testHoldTTL-1), nil)
		Expect(r.Held(gone, first)).To(BeTrue())
		Expect(r.EndedHolds(gone)).To(BeEmpty())
		end := gone.Add(testHoldTTL)
		Expect(r.EndedHolds(end)).To(Equal([]router.Hold{{Target: first.ID, Leaving: true, Since: now, Until: end}}))
		Expect(r.EndedHolds(end)).To(BeEmpty())
		Expect(r.Held(end, first)).To(BeFalse())
		Expect(r.MarkLeaving(end, first)).To(BeTrue())
	})

	It("doesn't hold back its next incarnation or another id at its address", func() {
		r := router.Router{}
		r.MarkLeaving(now, first)
		r.Update(now, []messenger.Target{restarted})
		expectUsable(&r, now, true)
		r.Update(now, []messenger.Target{first})
		expectUsable(&r, now, false)
		other := first
		other.ID = "other"
		r.Update(now, []messenger.Target{first, other})
		Expect(pick(&r, router.Request{Prompt: 10})).To(Equal("other"))
	})

	// Guards against a keeper that raises the incarnation which it had assigned to a start.
	It("holds back every incarnation of an id that stands for one start", func() {
		r := router.Router{IDPerStart: true}
		r.Update(now, []messenger.Target{first})
		r.MarkLeaving(now, first)
		r.Update(now, []messenger.Target{restarted})
		expectUsable(&r, now, false)
		Expect(r.MarkLeaving(now, restarted)).To(BeFalse())

		r = router.Router{IDPerStart: true}
		r.Update(now, []messenger.Target{restarted})
		r.MarkLeaving(now, first)
		expectUsable(&r, now, false)
	})

	It("isn't marked if an earlier incarnation of it said so, or one without id", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{restarted})
		Expect(r.MarkLeaving(now, first)).To(BeTrue())
		Expect(r.MarkLeaving(now, messenger.Target{})).To(BeFalse())
		expectUsable(&r, now, true)
	})
})

// pickCached returns the target that is selected for its cached prefix.
func pickCached(r *router.Router, req router.Request) string {
	GinkgoHelper()
	id := pick(r, req)
	r.PrefillDone(router.Pick{Target: messenger.Target{ID: id, Incarnation: 1}}, req)
	Expect(pick(r, req)).To(Equal(id))
	return id
}

// cachedRequest is a request with a prefix that targets cache.
func cachedRequest(salt string) router.Request {
	text := strings.Repeat("x", 4000)
	return router.Request{Service: "s", Prompt: 1000, PromptBytes: len(text), PrefixHashes: router.PrefixHashes(salt, text)}
}

// idsOf returns the ids of the target of a pick and of its helpers.
func idsOf(p router.Pick) []string {
	out := []string{p.Target.ID}
	for _, t := range p.Helpers {
		out = append(out, t.ID)
	}
	return out
}

var _ = Describe("a target that pauses", func() {
	first, again, restarted := views()
	const second = time.Second

	expectPause := func(r *router.Router, at time.Time, d time.Duration, wantUntil time.Time, wantExtended bool) {
		GinkgoHelper()
		until, extended := r.Pause(at, first, d)
		Expect(until).To(Equal(wantUntil))
		Expect(extended).To(Equal(wantExtended))
	}

	It("is selected again when the later end of its pauses has come", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		expectPause(&r, now, 4*second, now.Add(4*second), true)
		expectPause(&r, now.Add(second), 2*second, now.Add(4*second), false)
		expectPause(&r, now.Add(2*second), 9*second, now.Add(11*second), true)
		expectPause(&r, now.Add(3*second), 0, now.Add(11*second), false)
		expectPause(&r, now.Add(3*second), -second, now.Add(11*second), false)
		expectPicked(&r, now.Add(11*second-1), false)
		Expect(r.Held(now.Add(11*second-1), first)).To(BeTrue())
		expectPicked(&r, now.Add(11*second), true)
		Expect(r.Held(now.Add(11*second), first)).To(BeFalse())
		Expect(r.HasTargets("s")).To(BeTrue())
		Expect(r.Capacity("s", false).Targets).To(Equal(1))
	})

	It("is held back for an hour at most", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		expectPause(&r, now, 1<<62, now.Add(testMaxPause), true)
		expectPicked(&r, now.Add(testMaxPause-1), false)
		expectPicked(&r, now.Add(testMaxPause), true)
	})

	It("isn't held back for a time that is not positive", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		expectPause(&r, now, 0, time.Time{}, false)
		expectPause(&r, now, -1<<63, time.Time{}, false)
		expectPicked(&r, now, true)
		Expect(r.EndedHolds(now)).To(BeEmpty())
	})

	It("pauses whatever later views say", func() {
		r := router.Router{}
		r.Pause(now, first, testMaxPause)
		for i, view := range [][]messenger.Target{{first}, {again}, {}, {first}, nil, {again}} {
			r.Update(now.Add(time.Duration(i)*time.Minute), view)
			expectPicked(&r, now.Add(testMaxPause-1), false)
		}
		expectPicked(&r, now.Add(testMaxPause), true)
	})

	It("doesn't hold back its next incarnation, unless its id stands for one start", func() {
		for _, perStart := range []bool{false, true} {
			r := router.Router{IDPerStart: perStart}
			r.Update(now, []messenger.Target{first})
			r.Pause(now, first, second)
			r.Update(now, []messenger.Target{restarted})
			expectPicked(&r, now, !perStart)
			Expect(r.Held(now, restarted)).To(Equal(perStart))
		}
	})

	It("isn't selected for its cached prefix", func() {
		r := router.Router{Seed: 3}
		r.Update(now, newTargets(5, ""))
		req := cachedRequest("m")
		id := pickCached(&r, req)
		r.Pause(now, messenger.Target{ID: id, Incarnation: 1}, second)
		Expect(pick(&r, req)).NotTo(Equal(id))
	})

	It("isn't used by prompts of any kind where targets report their slots", func() {
		apart := longRequest
		apart.MaxGap, apart.Objective, apart.PassTime = 800*time.Millisecond, 3*second, 60*time.Millisecond
		at := time.Unix(0, 0)
		for name, req := range map[string]router.Request{"plain": plainRequest, "short": shortRequest, "long": longRequest, "apart": apart} {
			r := newSlotRouter(6)
			r.Pause(at, messenger.Target{ID: "t1", Incarnation: 1}, second)
			for range 20 {
				p, ok := r.Pick(at, req)
				if !ok {
					break
				}
				Expect(idsOf(p)).NotTo(ContainElement("t1"), name)
				r.Sent(at, p, req)
			}
			Expect(r.Capacity("s", true).Targets).To(Equal(6))
		}
	})

	It("lets the limits of the other targets delay requests", func() {
		r := newSlotRouter(2)
		at := time.Unix(0, 0)
		r.SetEntries("e", []string{"e"})
		limited := place(r, plainRequest)
		r.RecordLimit(at, at, limited, 0.1)
		r.Sent(at, limited, plainRequest)
		expectWait := func(want time.Duration) {
			GinkgoHelper()
			wait, ok := r.LimitWait(at, "s", 0)
			Expect(ok).To(BeTrue())
			Expect(wait).To(Equal(want))
		}
		expectWait(0)
		r.Pause(at, messenger.Target{ID: map[string]string{"t0": "t1", "t1": "t0"}[limited.Target.ID], Incarnation: 1}, 30*second)
		expectWait(10 * second)
		r.Pause(at, limited.Target, 20*second)
		expectWait(20 * second)
	})

	It("is reported when its pause has ended", func() {
		r := router.Router{}
		r.Update(now, []messenger.Target{first})
		r.Pause(now, first, 2*second)
		r.Pause(now.Add(second), first, 2*second)
		Expect(r.EndedHolds(now.Add(3*second - 1))).To(BeEmpty())
		r.Pause(now.Add(4*second), first, second)
		Expect(r.EndedHolds(now.Add(5 * second))).To(Equal([]router.Hold{
			{Target: first.ID, Since: now, Until: now.Add(3 * second)},
			{Target: first.ID, Since: now.Add(4 * second), Until: now.Add(5 * second)},
		}))
		Expect(r.EndedHolds(now.Add(9 * second))).To(BeEmpty())
	})
})

var _ = Describe("the wait for targets that pause", func() {
	const second = time.Second

	// newRouter returns a Router with targets 0, 1 and 2 of which the last ones have paused.
	newRouter := func(pauses ...time.Duration) *router.Router {
		r := &router.Router{}
		r.Update(now, newTargets(3, ""))
		for i, d := range pauses {
			r.Pause(now, messenger.Target{ID: fmt.Sprint(2 - i), Incarnation: 1}, d)
		}
		return r
	}
	expectWait := func(r *router.Router, exclude []string, want time.Duration) {
		GinkgoHelper()
		wait, ok := r.PauseWait(now, "s", exclude)
		Expect(ok).To(Equal(want > 0))
		Expect(wait).To(Equal(want))
	}

	It("ends with the first pause if all of them pause", func() {
		expectWait(newRouter(), nil, 0)
		expectWait(newRouter(second, second), nil, 0)
		expectWait(newRouter(4*second, 3*second, 5*second), nil, 3*second)
	})

	It("leaves out targets that leave or are excluded", func() {
		r := newRouter(4*second, 3*second)
		expectWait(r, []string{"0"}, 3*second)
		expectWait(r, []string{"0", "1"}, 4*second)
		expectWait(r, []string{"0", "1", "2"}, 0)
		r.MarkLeaving(now, messenger.Target{ID: "0", Incarnation: 1})
		expectWait(r, nil, 3*second)
		r.MarkLeaving(now, messenger.Target{ID: "1", Incarnation: 1})
		expectWait(r, nil, 4*second)
		r.MarkLeaving(now, messenger.Target{ID: "2", Incarnation: 1})
		expectWait(r, nil, 0)
	})

	It("is none for another service", func() {
		_, ok := newRouter(second, second, second).PauseWait(now, "other", nil)
		Expect(ok).To(BeFalse())
	})

	It("counts for a long prompt the targets that accept it", func() {
		r := &router.Router{}
		r.Update(now, append(newTargets(1, router.LaneShort), newTargets(1, router.LaneLong)...))
		r.Pause(now, messenger.Target{ID: "long0", Incarnation: 1}, second)
		expectWait(r, nil, 0)
		wait, ok := r.PromptPauseWait(now, "s", true, nil)
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(second))
	})
})
