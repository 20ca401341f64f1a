package retrier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/retrier"
)

var _ = Describe("retrying", func() {
	lost := coder.Errorf(coder.TargetLost, "")
	again := func(r *retrier.Retrier, c retrier.Case) error {
		c.Left = time.Minute
		_, err := r.Again(c)
		return err
	}

	It("repeats only what is idempotent or did not run", func() {
		var r retrier.Retrier
		Expect(again(&r, retrier.Case{Err: lost})).To(Succeed())
		Expect(again(&r, retrier.Case{Err: lost, Once: true})).To(MatchError(lost))
		Expect(again(&r, retrier.Case{Err: coder.Errorf(coder.Voided, ""), Once: true})).To(Succeed())
		Expect(again(&r, retrier.Case{Err: lost, Sent: true})).To(MatchError(lost))
	})

	It("never repeats what the caller or the clock ended, or what is wrong itself", func() {
		var r retrier.Retrier
		for _, c := range []coder.Code{coder.Cancelled, coder.DeadlineExceeded, coder.PromptTooLong, coder.Internal} {
			Expect(again(&r, retrier.Case{Err: coder.Errorf(c, "")})).To(HaveOccurred())
		}
	})

	It("keeps retries to a share of each service's traffic", func() {
		var r retrier.Retrier
		n := 0
		for again(&r, retrier.Case{Service: "a", Err: lost}) == nil {
			n++
		}
		Expect(n).To(Equal(20))
		Expect(coder.Of(again(&r, retrier.Case{Service: "a", Err: lost})).Code).To(Equal(coder.RetryBudget))
		Expect(again(&r, retrier.Case{Service: "b", Err: lost})).To(Succeed())
		for range 4 {
			r.First("a", 0.25)
		}
		Expect(again(&r, retrier.Case{Service: "a", Err: lost})).To(Succeed())
		Expect(again(&r, retrier.Case{Service: "a", Err: lost})).NotTo(Succeed())
	})

	It("reserves a retry once", func() {
		r := retrier.Retrier{Saved: 2}
		c := retrier.Case{Service: "a", Err: lost, Left: time.Minute}
		Expect(r.Reserve(c)).To(BeTrue())
		Expect(r.Reserve(c)).To(BeTrue())
		Expect(r.Reserve(c)).To(BeFalse())
		Expect(again(&r, c)).NotTo(Succeed())
		c.Paid = true
		Expect(again(&r, c)).To(Succeed())
		c.Service, c.Once, c.Paid = "b", true, false
		Expect(r.Reserve(c)).To(BeFalse())
	})

	It("saves up no more than it is given", func() {
		r := retrier.Retrier{Saved: 3}
		n := 0
		for again(&r, retrier.Case{Service: "a", Err: lost}) == nil {
			n++
		}
		Expect(n).To(Equal(3))
	})

	It("waits longer each time, never beyond the time left", func() {
		r := retrier.Retrier{Seed: 1}
		first, err := r.Again(retrier.Case{Err: lost, Tries: 1, Left: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		later, err := r.Again(retrier.Case{Err: lost, Tries: 4, Left: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		Expect(later).To(BeNumerically(">", first))
		_, err = r.Again(retrier.Case{Err: lost, Tries: 4, Left: later / 4})
		Expect(err).To(MatchError(lost))
	})
})
