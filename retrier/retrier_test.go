package retrier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/retrier"
)

var _ = Describe("Retrier", func() {
	now := time.Unix(0, 0)
	lost := coder.Errorf(coder.TargetLost, "")
	retry := func(r *retrier.Retrier, f retrier.Failure) error {
		f.Remaining = time.Minute
		_, err := r.Retry(now, f)
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

	It("charges a reserved attempt once", func() {
		var r retrier.Retrier
		r.SetMaxBudget(now, 2)
		f := retrier.Failure{Service: "a", Err: lost, Remaining: time.Minute}
		Expect(r.Check(now, f)).To(Succeed())
		Expect(r.Unused(now, "a")).To(Equal(2.0))
		Expect(r.Reserve(now, f)).To(BeTrue())
		Expect(r.Unused(now, "a")).To(Equal(1.0))
		Expect(r.Reserve(now, f)).To(BeTrue())
		Expect(r.Reserve(now, f)).To(BeFalse())
		Expect(coder.Of(r.Check(now, f)).Code).To(Equal(coder.RetryBudget))
		Expect(retry(&r, f)).NotTo(Succeed())
		f.Service, f.NonIdempotent = "b", true
		Expect(r.Reserve(now, f)).To(BeFalse())
		Expect(r.Check(now, f)).To(MatchError(lost))
	})

	It("charges nothing after an attempt that reached no target", func() {
		var r retrier.Retrier
		r.SetMaxBudget(now, 1)
		f := retrier.Failure{Service: "a", Err: &coder.Error{Code: coder.TargetLost, Run: coder.NotRun}, Remaining: time.Minute, Attempts: 1}
		for range 3 {
			Expect(retry(&r, f)).To(Succeed())
		}
		Expect(r.Unused(now, "a")).To(Equal(1.0))
		refused := retrier.Failure{Service: "a", Err: &coder.Error{Code: coder.Busy, Run: coder.NotRun}}
		Expect(retry(&r, refused)).To(Succeed())
		Expect(retry(&r, refused)).NotTo(Succeed())
		Expect(retry(&r, f)).To(Succeed())
		f.Attempts = 6
		Expect(retry(&r, f)).NotTo(Succeed())
	})

	It("has a full budget again one window after its start and after each retry", func() {
		r := retrier.Retrier{Window: 10 * time.Second, Started: now}
		r.SetMaxBudget(now, 2)
		f := retrier.Failure{Service: "a", Err: lost, Remaining: time.Minute}
		reserve := func(after time.Duration) bool { return r.Reserve(now.Add(after), f) }
		Expect(reserve(9 * time.Second)).To(BeFalse())
		Expect(reserve(10 * time.Second)).To(BeTrue())
		Expect(reserve(15 * time.Second)).To(BeTrue())
		Expect(reserve(19 * time.Second)).To(BeFalse())
		Expect(reserve(20 * time.Second)).To(BeTrue())
		Expect(reserve(20 * time.Second)).To(BeFalse())
	})

	It("counts what is added to its maximum as spent for one window", func() {
		r := retrier.Retrier{Window: 10 * time.Second, Started: now.Add(-time.Hour)}
		r.SetMaxBudget(now, 1)
		f := retrier.Failure{Service: "a", Err: lost, Remaining: time.Minute}
		Expect(r.Reserve(now, f)).To(BeTrue())
		r.SetMaxBudget(now, 20)
		Expect(r.Reserve(now.Add(9*time.Second), f)).To(BeFalse())
		r.SetMaxBudget(now.Add(9*time.Second), 1)
		Expect(r.Unused(now.Add(10*time.Second), "a")).To(BeNumerically("<=", 1))
	})

	It("holds at most MaxBudget retries", func() {
		var r retrier.Retrier
		r.SetMaxBudget(now, 3)
		n := 0
		for retry(&r, retrier.Failure{Service: "a", Err: lost}) == nil {
			n++
		}
		Expect(n).To(Equal(3))
	})

	It("increases the delay with each attempt and never waits past the deadline", func() {
		r := retrier.Retrier{Seed: 1}
		first, err := r.Retry(now, retrier.Failure{Err: lost, Attempts: 1, Remaining: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		later, err := r.Retry(now, retrier.Failure{Err: lost, Attempts: 4, Remaining: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		Expect(later).To(BeNumerically(">", first))
		_, err = r.Retry(now, retrier.Failure{Err: lost, Attempts: 4, Remaining: later / 4})
		Expect(err).To(MatchError(lost))
	})
})
