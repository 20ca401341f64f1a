package ganger_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/ganger"
)

// offer describes targets t0, t1 and so on that lie in the given regions.
func offer(regions ...string) ganger.Event {
	all := targets(len(regions))
	for i, r := range regions {
		all[i].Region = r
	}
	return ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: all}
}

func offerRegions(regions ...string) *ganger.Ganger {
	g := &ganger.Ganger{}
	g.Step(at(0), offer(regions...))
	return g
}

func jobIn(prompt int, regions ...string) ganger.Job {
	j := job("g", prompt)
	j.Regions = regions
	return j
}

var _ = Describe("a gang that is restricted to regions", func() {
	// Guards against a segment of the prompt that is sent outside, also after a loss.
	It("has members there only", func() {
		g := offerRegions("b", "a", "", "a", "b", "a", "a")
		Expect(summarize(begin(g, jobIn(2400, "a")))).To(Equal([]string{"Reserve g.1.0 t1"}))
		expectSteps(g, 0, event(ganger.Granted, "g.1.0"), "Reserve g.1.1 t3")
		expectSteps(g, 0, event(ganger.Granted, "g.1.1"), "Reserve g.1.2 t5")
		expectSteps(g, 0, event(ganger.Granted, "g.1.2"), "Run g.1.0 t1")
		expectSteps(g, 0, event(ganger.Lost, "g.1.0"), "Free g.1.0 t1", "Free g.1.1 t3", "Free g.1.2 t5")
		for _, attempt := range []string{"g.1.0", "g.1.1", "g.1.2"} {
			g.Step(at(0), event(ganger.Freed, attempt))
		}
		expectSteps(g, 1, offer("b", "a", "", "a", "b", "a", "a"), "Reserve g.2.0 t3")
		expectSteps(g, 1, event(ganger.Granted, "g.2.0"), "Reserve g.2.1 t5")
		expectSteps(g, 1, event(ganger.Granted, "g.2.1"), "Reserve g.2.2 t6")
	})

	// Guards against a prompt that waits for memory that only targets elsewhere have.
	It("fails at once if the targets there are too few", func() {
		g := offerRegions("a", "b", "b", "b")
		Expect(summarize(begin(g, jobIn(2400, "a")))).To(Equal([]string{"Failed g PromptTooLong NotRun"}))
	})

	It("fails at once with a code of its own if no target is there", func() {
		g := offerRegions("a", "")
		Expect(summarize(begin(g, jobIn(2400, "b")))).To(Equal([]string{"Failed g NoRegion NotRun"}))
	})
})
