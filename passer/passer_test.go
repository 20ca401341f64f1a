package passer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/passer"
)

func TestPasser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "passer")
}

func newEngine() *passer.Passer {
	return &passer.Passer{Queue: 1, Engine: configurer.Engine{
		Slots: 2, Memory: 100000, Stride: 40, Chunk: 2000, Step: 1, Seq: 0.1, Context: 0.01, Read: 200000, Pairs: 0.1, Hop: 0.5,
	}}
}

// runPass runs one pass.
func runPass(p *passer.Passer) (time.Duration, []passer.Outcome) {
	d, ok := p.Begin()
	if !ok {
		return 0, nil
	}
	return d, p.End()
}

func expectNear(d, want time.Duration) {
	GinkgoHelper()
	Expect(d).To(BeNumerically("~", want, 10*time.Microsecond))
}

func outcome(kind passer.Kind, id string) passer.Outcome { return passer.Outcome{Kind: kind, ID: id} }

var _ = Describe("Passer", func() {
	It("prefills a prompt, then emits one event per pass", func() {
		p := newEngine()
		Expect(p.Submit(passer.Request{ID: "a", Prompt: 1000, Output: 80, Events: 3})).To(BeTrue())
		d, out := runPass(p)
		expectNear(d, 6050*time.Microsecond) // a step, 5 ms for the tokens, 0.05 ms for half a million pairs
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.Event, "a")}))
		d, out = runPass(p)
		expectNear(d, 40*(1100+10+0)*time.Microsecond+40*400*time.Nanosecond) // 40 steps, 1,040 tokens of context
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.Event, "a")}))
		_, out = runPass(p)
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.Ended, "a")}))
		_, ok := p.Begin()
		Expect(ok).To(BeFalse())
	})

	It("delays decoding requests by prefill", func() {
		p := newEngine()
		p.Submit(passer.Request{ID: "a", Prompt: 1000, Output: 400, Events: 9})
		runPass(p)
		withoutPrefill, _ := runPass(p)
		p.Submit(passer.Request{ID: "b", Prompt: 40000, Output: 40, Events: 2})
		withPrefill, out := runPass(p)
		Expect(withPrefill - withoutPrefill).To(BeNumerically("~", 280*time.Millisecond, time.Millisecond))
		Expect(out).To(ContainElements(outcome(passer.Event, "a"), outcome(passer.Event, "b")))
	})

	It("prefills at most one chunk per pass while no request decodes", func() {
		p := newEngine()
		p.Submit(passer.Request{ID: "a", Prompt: 3000, Output: 40, Events: 2})
		_, out := runPass(p)
		Expect(out).To(BeEmpty())
		_, out = runPass(p)
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.Event, "a")}))
	})

	It("emits the first event once all parts are prefilled", func() {
		p, helper := newEngine(), newEngine()
		p.Submit(passer.Request{ID: "a", Prompt: 3000, Output: 40, Events: 1, Parts: 2})
		helper.SubmitPart(passer.Part{ID: "a", Tokens: 1500, Pairs: passer.Pairs(3000) / 2})
		own, out := runPass(p)
		Expect(out).To(BeEmpty())
		other, out := runPass(helper)
		expectNear(other, own)
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.PartPrefilled, "a")}))
		p.RecordPart("a")
		_, out = runPass(p)
		Expect(out).To(Equal([]passer.Outcome{outcome(passer.Ended, "a")}))
	})

	It("limits slots, queue and memory", func() {
		p := newEngine()
		for _, id := range []string{"a", "b", "c"} {
			Expect(p.Submit(passer.Request{ID: id, Prompt: 60000, Output: 40, Events: 1})).To(BeTrue())
		}
		Expect(p.Submit(passer.Request{ID: "d", Prompt: 1, Output: 40, Events: 1})).To(BeFalse())
		running, waiting := p.Counts()
		Expect([]int{running, waiting}).To(Equal([]int{2, 1}))
		runPass(p)
		Expect(p.ReserveMemory(50000)).To(BeFalse(), "the first request uses most of the memory")
		p.Cancel("a")
		Expect(p.ReserveMemory(40000)).To(BeTrue())
		Expect(newEngine().Submit(passer.Request{ID: "e", Prompt: 100001, Events: 1})).To(BeFalse())
		Expect(newEngine().Submit(passer.Request{ID: "e", Prompt: 100001, HelperTokens: 50000, Events: 1})).To(BeTrue())
	})
})
