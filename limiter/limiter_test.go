package limiter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/limiter"
)

var _ = Describe("limiting", func() {
	now := time.Unix(0, 0)

	It("bounds an account's tokens and says when to come back", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 10, Burst: 100}
		Expect(l.Take(now, "a", a, 80)).To(Succeed())
		err := coder.Of(l.Take(now, "a", a, 80))
		Expect(err.Code).To(Equal(coder.RateLimited))
		Expect(err.Retry).To(Equal(6 * time.Second))
		Expect(l.Take(now, "b", a, 80)).To(Succeed())
		Expect(l.Take(now.Add(err.Retry), "a", a, 80)).To(Succeed())
	})

	It("lets a request larger than the burst through, at the price of a debt", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 10, Burst: 100}
		Expect(l.Take(now, "a", a, 1000)).To(Succeed())
		Expect(coder.Of(l.Take(now.Add(89*time.Second), "a", a, 1)).Code).To(Equal(coder.RateLimited))
		Expect(l.Take(now.Add(91*time.Second), "a", a, 1)).To(Succeed())
	})

	It("gives back what was predicted but not used", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 1, Burst: 100}
		Expect(l.Take(now, "a", a, 100)).To(Succeed())
		l.Done("a", 60)
		Expect(l.Take(now, "a", a, 60)).To(Succeed())
	})

	It("bounds requests at once", func() {
		var l limiter.Limiter
		a := configurer.Account{Conc: 1}
		Expect(l.Take(now, "a", a, 1)).To(Succeed())
		err := coder.Of(l.Take(now, "a", a, 1))
		Expect(err.Code).To(Equal(coder.ConcLimited))
		Expect(err.Retry).To(BeNumerically(">", 0))
		l.Done("a", 0)
		Expect(l.Take(now, "a", a, 1)).To(Succeed())
	})
})
