package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
)

var _ = Describe("admission", func() {
	It("admits a request that can finish before its deadline", func() {
		var a admitter.Admitter
		r := admitter.Request{Remaining: 4 * time.Second, Wait: time.Second, Prompt: 1000, PrefillRate: 1000, Output: 40, DecodeRate: 20}
		Expect(a.Admit(r)).To(Succeed())
		r.Remaining--
		err := coder.Of(a.Admit(r))
		Expect(err.Code).To(Equal(coder.Overloaded))
		Expect(err.Run).To(Equal(coder.NotRun))
		Expect(err.Retry).To(BeNumerically(">=", time.Second))
	})

	It("refuses a request past its deadline", func() {
		var a admitter.Admitter
		err := coder.Of(a.Admit(admitter.Request{}))
		Expect(err.Code).To(Equal(coder.DeadlineExceeded))
		Expect(err.Run).To(Equal(coder.NotRun))
	})

	It("adds a seeded jitter to the retry delay", func() {
		a, same := admitter.Admitter{Seed: 1}, admitter.Admitter{Seed: 1}
		d := a.RetryAfter(10 * time.Second)
		Expect(d).To(Equal(same.RetryAfter(10 * time.Second)))
		Expect(d).To(BeNumerically(">=", 10*time.Second))
		Expect(d).To(BeNumerically("<=", 15*time.Second))
		Expect(a.RetryAfter(10 * time.Second)).NotTo(Equal(d))
	})
})
