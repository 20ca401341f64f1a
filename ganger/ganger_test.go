package ganger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/ganger"
)

func TestGanger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ganger")
}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// targets returns n idle candidates of 1,000 tokens named t0, t1, ….
func targets(n int) []ganger.Candidate {
	out := make([]ganger.Candidate, n)
	for i := range out {
		out[i] = ganger.Candidate{ID: fmt.Sprint("t", i), Incarnation: 1, Memory: 1000, Free: 1000, PrefillRate: 1000, DecodeRate: 100}
	}
	return out
}

func job(id string, prompt int) ganger.Job {
	return ganger.Job{ID: id, Model: "m", TextBytes: 4 * prompt, Prompt: prompt, Output: 100, Deadline: at(60)}
}

// newGanger returns a Ganger with n candidates.
func newGanger(n int) *ganger.Ganger {
	g := &ganger.Ganger{}
	g.Step(at(0), ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: targets(n)})
	return g
}

func begin(g *ganger.Ganger, j ganger.Job) []ganger.Action {
	return g.Step(at(0), ganger.Event{Kind: ganger.Begin, Job: j})
}

// summarize renders actions as "kind attempt target".
func summarize(acts []ganger.Action) []string {
	out := make([]string, len(acts))
	for i, a := range acts {
		out[i] = fmt.Sprint(a.Kind, " ", a.Attempt, " ", a.Target)
		if a.Kind == ganger.Failed {
			out[i] = fmt.Sprint(a.Kind, " ", a.ID, " ", a.Err.Code, " ", a.Err.Run)
		}
		if a.Kind == ganger.Done {
			out[i] = fmt.Sprint(a.Kind, " ", a.ID)
		}
	}
	return out
}

func event(kind ganger.EventKind, attempt string) ganger.Event {
	return ganger.Event{Kind: kind, Attempt: attempt, Export: []byte(attempt), Err: coder.Errorf(coder.TargetLost, "test")}
}

func expectSteps(g *ganger.Ganger, seconds float64, e ganger.Event, want ...string) []ganger.Action {
	GinkgoHelper()
	acts := g.Step(at(seconds), e)
	if len(want) == 0 {
		Expect(summarize(acts)).To(BeEmpty())
		return acts
	}
	Expect(summarize(acts)).To(Equal(want))
	return acts
}

// newReservedGanger returns a Ganger with gang g of three members, all granted at 0 s,
// and the first segment started.
func newReservedGanger() *ganger.Ganger {
	GinkgoHelper()
	g := newGanger(4)
	Expect(summarize(begin(g, job("g", 2400)))).To(Equal([]string{"Reserve g.1.0 t0"}))
	expectSteps(g, 0, event(ganger.Granted, "g.1.0"), "Reserve g.1.1 t1")
	expectSteps(g, 0, event(ganger.Granted, "g.1.1"), "Reserve g.1.2 t2")
	expectSteps(g, 0, event(ganger.Granted, "g.1.2"), "Run g.1.0 t0")
	return g
}

var _ = Describe("a gang", func() {
	It("reserves its members in order of IDs, then runs the segments one after another", func() {
		g := newReservedGanger()
		acts := expectSteps(g, 0.1, event(ganger.Exported, "g.1.0"), "Run g.1.1 t1")
		Expect(acts[0].Import).To(Equal([]byte("g.1.0")))
		Expect(acts[0].Prefill).To(BeTrue())
		Expect([]int{acts[0].Start, acts[0].End}).To(Equal([]int{3310, 6620}))
		acts = expectSteps(g, 0.2, event(ganger.Exported, "g.1.1"), "Run g.1.2 t2")
		Expect(acts[0].Import).To(Equal([]byte("g.1.1")))
		Expect(acts[0].Prefill).To(BeFalse())
		Expect(acts[0].End).To(Equal(9600))
		expectSteps(g, 0.3, event(ganger.AnswerStarted, "g.1.2"))
		expectSteps(g, 0.4, event(ganger.Ended, "g.1.2"), "Done g", "Free g.1.0 t0", "Free g.1.1 t1", "Free g.1.2 t2")
		for i := range 3 {
			expectSteps(g, 0.5, event(ganger.Freed, fmt.Sprint("g.1.", i)))
		}
		Expect(g.Idle()).To(BeTrue())
	})

	It("renews the reservations of members until their segments run", func() {
		g := newReservedGanger()
		expectSteps(g, 0.4, ganger.Event{})
		expectSteps(g, 0.5, ganger.Event{}, "Renew g.1.1 t1", "Renew g.1.2 t2")
		expectSteps(g, 0.6, event(ganger.Granted, "g.1.1"))
	})

	It("releases all members when one is refused, and restarts with others", func() {
		g := newGanger(4)
		begin(g, job("g", 2400))
		expectSteps(g, 0, event(ganger.Granted, "g.1.0"), "Reserve g.1.1 t1")
		expectSteps(g, 0, event(ganger.Refused, "g.1.1"), "Free g.1.0 t0", "Free g.1.1 t1")
		expectSteps(g, 0.1, event(ganger.Freed, "g.1.0"))
		expectSteps(g, 0.1, event(ganger.Freed, "g.1.1"))
		g.Step(at(0.1), ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: targets(4)[1:]})
		expectSteps(g, 0.3, event(ganger.Granted, "g.2.0"), "Reserve g.2.1 t2")
	})

	It("restarts without a member that it lost", func() {
		g := newReservedGanger()
		expectSteps(g, 0.1, event(ganger.Exported, "g.1.0"), "Run g.1.1 t1")
		expectSteps(g, 0.2, event(ganger.Lost, "g.1.0"), "Free g.1.0 t0", "Free g.1.1 t1", "Free g.1.2 t2")
		expectSteps(g, 0.3, event(ganger.Exported, "g.1.1"))
		expectSteps(g, 0.4, ganger.Event{})
		g.Step(at(0.5), ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: targets(4)})
		expectSteps(g, 2.3, ganger.Event{}, "Free g.1.0 t0", "Free g.1.1 t1", "Free g.1.2 t2", "Reserve g.2.0 t1")
	})

	It("fails when a member is lost after part of the answer was passed on", func() {
		g := newReservedGanger()
		expectSteps(g, 0.1, event(ganger.Exported, "g.1.0"), "Run g.1.1 t1")
		expectSteps(g, 0.2, event(ganger.Exported, "g.1.1"), "Run g.1.2 t2")
		expectSteps(g, 0.3, event(ganger.AnswerStarted, "g.1.2"))
		expectSteps(g, 0.4, event(ganger.Lost, "g.1.1"), "Failed g GangLost Ran", "Free g.1.0 t0", "Free g.1.1 t1", "Free g.1.2 t2")
	})

	It("does not start its last segment twice if that may run at most once", func() {
		g := newGanger(4)
		j := job("g", 1500)
		j.AtMostOnce = true
		begin(g, j)
		expectSteps(g, 0, event(ganger.Granted, "g.1.0"), "Reserve g.1.1 t1")
		expectSteps(g, 0, event(ganger.Granted, "g.1.1"), "Run g.1.0 t0")
		expectSteps(g, 0.1, event(ganger.Exported, "g.1.0"), "Run g.1.1 t1")
		expectSteps(g, 0.2, event(ganger.Lost, "g.1.0"), "Failed g GangLost Unknown", "Free g.1.0 t0", "Free g.1.1 t1")
	})

	It("releases a reservation that gets no answer in time, even if a delayed grant follows", func() {
		g := newGanger(4)
		begin(g, job("g", 2400))
		expectSteps(g, 0.5, ganger.Event{}, "Free g.1.0 t0")
		expectSteps(g, 0.55, event(ganger.Granted, "g.1.0"))
		expectSteps(g, 1, ganger.Event{}, "Free g.1.0 t0")
		expectSteps(g, 1.1, event(ganger.Freed, "g.1.0"), "Reserve g.2.0 t0")
	})

	It("is cancelled by its caller", func() {
		g := newReservedGanger()
		expectSteps(g, 0.1, ganger.Event{Kind: ganger.Cancel, ID: "g"}, "Failed g Cancelled Unknown", "Free g.1.0 t0", "Free g.1.1 t1", "Free g.1.2 t2")
	})

	It("waits while the maximum number of gangs is running", func() {
		g := newGanger(9)
		g.MaxGangs = 1
		begin(g, job("g", 2400))
		Expect(begin(g, job("h", 2400))).To(BeEmpty())
		Expect(summarize(g.Step(at(0), ganger.Event{Kind: ganger.Cancel, ID: "g"}))).To(Equal([]string{"Failed g Cancelled NotRun", "Free g.1.0 t0", "Reserve h.1.0 t0"}))
	})

	DescribeTable("is refused at once when nothing can serve it",
		func(n, prompt int, seconds float64, want string) {
			j := job("g", prompt)
			j.Deadline = at(seconds)
			Expect(summarize(begin(newGanger(n), j))).To(Equal([]string{want}))
		},
		Entry("no target", 0, 2400, 60.0, "Failed g NoTarget NotRun"),
		Entry("more tokens than all targets hold", 3, 2900, 60.0, "Failed g PromptTooLong NotRun"),
		Entry("too little time left", 3, 2400, 3.0, "Failed g Overloaded NotRun"),
	)
})
