package retrier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/retrier"
)

var _ = Describe("Retrier", func() {
	lost := coder.Errorf(coder.TargetLost, "")
	retry := func(r *retrier.Retrier, f retrier.Failure) error {
		f.Remaining = time.Minute
		_, err := r.Retry(f)
		return err
	}

	It("retries only attempts that are idempotent or did not run", func() {
		var r retrier.Retrier
		Expect(retry(&r, retrier.Failure{Err: lost})).To(Succeed())
		Expect(retry(&r, retrier.Failure{Err: lost, NonIdempotent: true})).To(MatchError(lost))
		Expect(retry(&r, retrier.Failure{Err: coder.Errorf(coder.Voided, ""), NonIdempotent: true})).To(Succeed())
		Expect(retry(&r, retrier.Failure{Err: lost, AnswerStarted: true})).To(MatchError(lost))
	})

	It("does not retry cancelled, expired or invalid requests or internal errors", func() {
		var r retrier.Retrier
		for _, code := range []coder.Code{coder.Cancelled, coder.DeadlineExceeded, coder.PromptTooLong, coder.Internal} {
			Expect(retry(&r, retrier.Failure{Err: coder.Errorf(code, "")})).To(HaveOccurred())
		}
	})

	It("limits retries to a ratio of the requests of each service", func() {
		var r retrier.Retrier
		n := 0
		for retry(&r, retrier.Failure{Service: "a", Err: lost}) == nil {
			n++
		}
		Expect(n).To(Equal(20))
		Expect(coder.Of(retry(&r, retrier.Failure{Service: "a", Err: lost})).Code).To(Equal(coder.RetryBudget))
		Expect(retry(&r, retrier.Failure{Service: "b", Err: lost})).To(Succeed())
		for range 4 {
			r.RecordRequest("a", 0.25)
		}
		Expect(retry(&r, retrier.Failure{Service: "a", Err: lost})).To(Succeed())
		Expect(retry(&r, retrier.Failure{Service: "a", Err: lost})).NotTo(Succeed())
	})

	It("charges a reserved retry once", func() {
		r := retrier.Retrier{MaxBudget: 2}
		f := retrier.Failure{Service: "a", Err: lost, Remaining: time.Minute}
		Expect(r.Reserve(f)).To(BeTrue())
		Expect(r.Reserve(f)).To(BeTrue())
		Expect(r.Reserve(f)).To(BeFalse())
		Expect(retry(&r, f)).NotTo(Succeed())
		f.Reserved = true
		Expect(retry(&r, f)).To(Succeed())
		f.Service, f.NonIdempotent, f.Reserved = "b", true, false
		Expect(r.Reserve(f)).To(BeFalse())
	})

	It("holds at most MaxBudget retries", func() {
		r := retrier.Retrier{MaxBudget: 3}
		n := 0
		for retry(&r, retrier.Failure{Service: "a", Err: lost}) == nil {
			n++
		}
		Expect(n).To(Equal(3))
	})

	It("increases the delay with each attempt and never waits past the deadline", func() {
		r := retrier.Retrier{Seed: 1}
		first, err := r.Retry(retrier.Failure{Err: lost, Attempts: 1, Remaining: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		later, err := r.Retry(retrier.Failure{Err: lost, Attempts: 4, Remaining: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		Expect(later).To(BeNumerically(">", first))
		_, err = r.Retry(retrier.Failure{Err: lost, Attempts: 4, Remaining: later / 4})
		Expect(err).To(MatchError(lost))
	})
})
