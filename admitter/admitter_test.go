package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/admitter"
	"bramleyshunt/coder"
)

var _ = Describe("admission", func() {
	It("takes what can finish in its time", func() {
		var a admitter.Admitter
		c := admitter.Case{Left: 4 * time.Second, Wait: time.Second, Prompt: 1000, Speed: 1000, Output: 40, Pace: 20}
		Expect(a.Admit(c)).To(Succeed())
		c.Left--
		err := coder.Of(a.Admit(c))
		Expect(err.Code).To(Equal(coder.Overloaded))
		Expect(err.Run).To(Equal(coder.NotRun))
		Expect(err.Retry).To(BeNumerically(">=", time.Second))
	})

	It("refuses what has no time left", func() {
		var a admitter.Admitter
		err := coder.Of(a.Admit(admitter.Case{}))
		Expect(err.Code).To(Equal(coder.DeadlineExceeded))
		Expect(err.Run).To(Equal(coder.NotRun))
	})

	It("spreads returns with a seeded jitter above the backlog", func() {
		a, same := admitter.Admitter{Seed: 1}, admitter.Admitter{Seed: 1}
		d := a.Retry(10 * time.Second)
		Expect(d).To(Equal(same.Retry(10 * time.Second)))
		Expect(d).To(BeNumerically(">=", 10*time.Second))
		Expect(d).To(BeNumerically("<=", 15*time.Second))
		Expect(a.Retry(10 * time.Second)).NotTo(Equal(d))
	})
})
