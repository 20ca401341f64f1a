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

	It("bounds the token rate of an account and returns a retry delay", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 10, Burst: 100}
		Expect(l.Acquire(now, "a", a, 80)).To(Succeed())
		err := coder.Of(l.Acquire(now, "a", a, 80))
		Expect(err.Code).To(Equal(coder.RateLimited))
		Expect(err.Retry).To(Equal(6 * time.Second))
		Expect(l.Acquire(now, "b", a, 80)).To(Succeed())
		Expect(l.Acquire(now.Add(err.Retry), "a", a, 80)).To(Succeed())
	})

	It("admits a request larger than the burst and leaves the bucket negative", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 10, Burst: 100}
		Expect(l.Acquire(now, "a", a, 1000)).To(Succeed())
		Expect(coder.Of(l.Acquire(now.Add(89*time.Second), "a", a, 1)).Code).To(Equal(coder.RateLimited))
		Expect(l.Acquire(now.Add(91*time.Second), "a", a, 1)).To(Succeed())
	})

	It("returns predicted tokens that were not used", func() {
		var l limiter.Limiter
		a := configurer.Account{Rate: 1, Burst: 100}
		Expect(l.Acquire(now, "a", a, 100)).To(Succeed())
		l.Release("a", 60)
		Expect(l.Acquire(now, "a", a, 60)).To(Succeed())
	})

	It("bounds the number of concurrent requests", func() {
		var l limiter.Limiter
		a := configurer.Account{Conc: 1}
		Expect(l.Acquire(now, "a", a, 1)).To(Succeed())
		err := coder.Of(l.Acquire(now, "a", a, 1))
		Expect(err.Code).To(Equal(coder.ConcLimited))
		Expect(err.Retry).To(BeNumerically(">", 0))
		l.Release("a", 0)
		Expect(l.Acquire(now, "a", a, 1)).To(Succeed())
	})
})
