package predictor_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/predictor"
)

func TestPredictor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "predictor")
}

var p = predictor.Predictor{Engine: configurer.Engine{
	Slots: 16, Stride: 46, Chunk: 2048, Step: 0.925, Seq: 0.00483, Context: 0.00254, Read: 256000, Pairs: 0.0917,
}}

var _ = Describe("predicted times", func() {
	expectNear := func(d, want, slack time.Duration) {
		GinkgoHelper()
		Expect(d).To(BeNumerically("~", want, slack))
	}

	It("of prefill grow with the square of a long prompt and shrink with the number of parts", func() {
		expectNear(p.Prefill(4960, 1), 20500*time.Microsecond, time.Millisecond)
		expectNear(p.Prefill(45000, 1), 269*time.Millisecond, 5*time.Millisecond)
		expectNear(p.Prefill(210000, 1), 2842*time.Millisecond, 20*time.Millisecond)
		expectNear(p.Prefill(210000, 10), 284*time.Millisecond, 2*time.Millisecond)
	})

	It("of a decode pass grow with the streams and their context", func() {
		expectNear(p.Pass(0, 0), 42550*time.Microsecond, time.Microsecond)
		expectNear(p.Pass(16, 80000), 55453*time.Microsecond, 10*time.Microsecond)
		Expect(p.DecodeRate(0, 0)).To(BeNumerically("~", 1081, 1))
	})

	It("lead to splitting only prompts that would delay other streams", func() {
		Expect(p.PrefillTargets(4960, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(1))
		Expect(p.PrefillTargets(45000, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(6))
		Expect(p.PrefillTargets(210000, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(57))
	})

	It("are zero without a declared speed", func() {
		var zero predictor.Predictor
		Expect(zero.HasPrefillRate()).To(BeFalse())
		Expect(zero.Prefill(1000, 1)).To(BeZero())
		Expect(zero.DecodeRate(1, 1)).To(BeZero())
	})
})

var _ = Describe("decode work", func() {
	// Guards against streams that are charged for the whole pass that they share.
	It("is a stream's part of the passes of a busy replica", func() {
		all := p.Decode(46) * time.Duration(p.Engine.Slots)
		Expect(all).To(BeNumerically("~", p.BusyPass(), time.Microsecond))
		Expect(p.Decode(-1)).To(BeZero())
		Expect(predictor.Predictor{}.Decode(100)).To(BeZero())
	})
})
