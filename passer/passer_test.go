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

func engine() *passer.Passer {
	return &passer.Passer{Queue: 1, Engine: configurer.Engine{
		Slots: 2, Memory: 100000, Stride: 40, Chunk: 2000, Step: 1, Seq: 0.1, Context: 0.01, Read: 200000, Pairs: 0.1, Hop: 0.5,
	}}
}

// pass plays one pass.
func pass(p *passer.Passer) (time.Duration, []passer.Outcome) {
	d, ok := p.Begin()
	if !ok {
		return 0, nil
	}
	return d, p.End()
}

func near(d, want time.Duration) {
	GinkgoHelper()
	Expect(d).To(BeNumerically("~", want, 10*time.Microsecond))
}

func made(kind passer.Kind, id string) passer.Outcome { return passer.Outcome{Kind: kind, ID: id} }

var _ = Describe("an engine of passes", func() {
	It("reads a prompt, then makes an event a pass", func() {
		p := engine()
		Expect(p.Submit(passer.Request{ID: "a", Prompt: 1000, Output: 80, Events: 3})).To(BeTrue())
		d, out := pass(p)
		near(d, 6050*time.Microsecond) // a step, 5 ms for the tokens, 0.05 ms for half a million pairs
		Expect(out).To(Equal([]passer.Outcome{made(passer.Event, "a")}))
		d, out = pass(p)
		near(d, 40*(1100+10+0)*time.Microsecond+40*400*time.Nanosecond) // 40 steps, 1,040 tokens of context
		Expect(out).To(Equal([]passer.Outcome{made(passer.Event, "a")}))
		_, out = pass(p)
		Expect(out).To(Equal([]passer.Outcome{made(passer.Ended, "a")}))
		_, ok := p.Begin()
		Expect(ok).To(BeFalse())
	})

	It("holds up those who write while it reads", func() {
		p := engine()
		p.Submit(passer.Request{ID: "a", Prompt: 1000, Output: 400, Events: 9})
		pass(p)
		alone, _ := pass(p)
		p.Submit(passer.Request{ID: "b", Prompt: 40000, Output: 40, Events: 2})
		beside, out := pass(p)
		Expect(beside - alone).To(BeNumerically("~", 280*time.Millisecond, time.Millisecond))
		Expect(out).To(ContainElements(made(passer.Event, "a"), made(passer.Event, "b")))
	})

	It("reads no more a step than its chunk while nobody writes", func() {
		p := engine()
		p.Submit(passer.Request{ID: "a", Prompt: 3000, Output: 40, Events: 2})
		_, out := pass(p)
		Expect(out).To(BeEmpty())
		_, out = pass(p)
		Expect(out).To(Equal([]passer.Outcome{made(passer.Event, "a")}))
	})

	It("makes the first event once all parts are read", func() {
		p, helper := engine(), engine()
		p.Submit(passer.Request{ID: "a", Prompt: 3000, Output: 40, Events: 1, Parts: 2})
		helper.Help(passer.Part{ID: "a", Tokens: 1500, Pairs: passer.Pairs(3000) / 2})
		own, out := pass(p)
		Expect(out).To(BeEmpty())
		other, out := pass(helper)
		near(other, own)
		Expect(out).To(Equal([]passer.Outcome{made(passer.Read, "a")}))
		p.PartRead("a")
		_, out = pass(p)
		Expect(out).To(Equal([]passer.Outcome{made(passer.Ended, "a")}))
	})

	It("has slots, a queue and memory", func() {
		p := engine()
		for _, id := range []string{"a", "b", "c"} {
			Expect(p.Submit(passer.Request{ID: id, Prompt: 60000, Output: 40, Events: 1})).To(BeTrue())
		}
		Expect(p.Submit(passer.Request{ID: "d", Prompt: 1, Output: 40, Events: 1})).To(BeFalse())
		running, waiting := p.Running()
		Expect([]int{running, waiting}).To(Equal([]int{2, 1}))
		pass(p)
		Expect(p.Hold(50000)).To(BeFalse(), "the first request has most of the memory")
		p.Cancel("a")
		Expect(p.Hold(40000)).To(BeTrue())
		Expect(engine().Submit(passer.Request{ID: "e", Prompt: 100001, Events: 1})).To(BeFalse())
		Expect(engine().Submit(passer.Request{ID: "e", Prompt: 100001, Held: 50000, Events: 1})).To(BeTrue())
	})
})
