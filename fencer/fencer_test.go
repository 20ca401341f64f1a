package fencer_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/fencer"
	"bramleyshunt/messenger"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestFencer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fencer")
}

func order(fence uint64, verb string) *messenger.Order {
	return &messenger.Order{Fence: fence, Verb: verb}
}

func expectRefused(f *fencer.Fencer, o *messenger.Order, want coder.Code) {
	GinkgoHelper()
	begin, answer, err := f.Begin(o)
	Expect(begin).To(BeFalse())
	Expect(answer.Code).To(Equal(want))
	Expect(coder.Of(err).Code).To(Equal(want))
}

func expectBegun(f *fencer.Fencer, o *messenger.Order) {
	GinkgoHelper()
	begin, _, err := f.Begin(o)
	Expect(err).NotTo(HaveOccurred())
	Expect(begin).To(BeTrue())
}

var _ = Describe("fencer", func() {
	It("refuses all orders until the highest issued token is confirmed", func() {
		f := &fencer.Fencer{}
		expectRefused(f, order(9, "load"), coder.NotReady)
		f.Learn(7)
		expectRefused(f, order(6, "load"), coder.Fenced)
		expectBegun(f, order(9, "load"))
		f.Invalidate()
		expectRefused(f, order(10, "load"), coder.NotReady)
	})

	It("does not lower its floor on a delayed answer of the keepers", func() {
		f := &fencer.Fencer{}
		f.Learn(5)
		expectBegun(f, order(7, "load"))
		f.Learn(5)
		expectRefused(f, order(6, "load"), coder.Fenced)
	})

	It("repeats the answer to a repeated order and refuses a different order with the same token", func() {
		f := &fencer.Fencer{}
		f.Learn(1)
		expectBegun(f, order(2, "load"))
		expectRefused(f, order(2, "load"), coder.Busy)
		first := f.Finish(order(2, "load"), coder.OK)
		begin, again, err := f.Begin(order(2, "load"))
		Expect(err).NotTo(HaveOccurred())
		Expect(begin).To(BeFalse())
		Expect(again).To(Equal(first))
		expectRefused(f, order(2, "unload"), coder.Fenced)
	})

	It("allows a failed order to be executed again with the same token", func() {
		f := &fencer.Fencer{}
		f.Learn(1)
		expectBegun(f, order(2, "load"))
		f.Finish(order(2, "load"), coder.TargetLost)
		expectRefused(f, order(2, "unload"), coder.Fenced)
		expectBegun(f, order(2, "load"))
	})
})

// TestInvariants checks that no order is executed whose token is below one already
// executed, although the agent restarts without state and receives delayed answers.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fencer.Fencer{}
		var issued, highest uint64
		learned := false // after the last restart
		verbs := map[uint64]string{}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				issued += rapid.Uint64Range(1, 3).Draw(t, "step")
				verbs[issued] = rapid.SampledFrom([]string{"load", "unload"}).Draw(t, "verb")
			},
			"deliver": func(t *rapid.T) {
				n := rapid.Uint64Range(0, issued).Draw(t, "fence")
				o := order(n, verbs[n])
				begin, _, _ := f.Begin(o)
				if !begin {
					return
				}
				if n < highest {
					t.Fatalf("order %d executed after order %d", n, highest)
				}
				highest = n
				f.Finish(o, rapid.SampledFrom([]coder.Code{coder.OK, coder.TargetLost}).Draw(t, "outcome"))
			},
			"learn": func(*rapid.T) {
				f.Learn(issued)
				learned = true
			},
			"learn late": func(t *rapid.T) {
				if learned {
					f.Learn(rapid.Uint64Range(0, issued).Draw(t, "older"))
				}
			},
			"lapse": func(*rapid.T) { f.Invalidate() },
			"restart": func(*rapid.T) {
				f = &fencer.Fencer{}
				learned = false
			},
		})
	})
}
