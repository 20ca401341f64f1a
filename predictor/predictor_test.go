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
	near := func(d, want, slack time.Duration) {
		GinkgoHelper()
		Expect(d).To(BeNumerically("~", want, slack))
	}

	It("of reading grow with the square of a long prompt and fall with its parts", func() {
		near(p.Read(4960, 1), 20500*time.Microsecond, time.Millisecond)
		near(p.Read(45000, 1), 269*time.Millisecond, 5*time.Millisecond)
		near(p.Read(210000, 1), 2842*time.Millisecond, 20*time.Millisecond)
		near(p.Read(210000, 10), 284*time.Millisecond, 2*time.Millisecond)
	})

	It("of a pass grow with the writers and their context", func() {
		near(p.Pass(0, 0), 42550*time.Microsecond, time.Microsecond)
		near(p.Pass(16, 80000), 55453*time.Microsecond, 10*time.Microsecond)
		Expect(p.Pace(0, 0)).To(BeNumerically("~", 1081, 1))
	})

	It("split a prompt only where it holds others up", func() {
		Expect(p.Parts(4960, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(1))
		Expect(p.Parts(45000, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(6))
		Expect(p.Parts(210000, 120*time.Millisecond, 50*time.Millisecond)).To(Equal(57))
	})

	It("are none without a declared speed", func() {
		var zero predictor.Predictor
		Expect(zero.Known()).To(BeFalse())
		Expect(zero.Read(1000, 1)).To(BeZero())
		Expect(zero.Pace(1, 1)).To(BeZero())
	})
})
