package storer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/storer"
)

func TestStorer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storer")
}

var _ = Describe("a weight store", func() {
	start := time.Unix(1000, 0)
	after := func(s *storer.Storer, seconds float64, n int) float64 {
		now := start.Add(time.Duration(seconds * float64(time.Second)))
		return s.Take(now, n).Sub(start).Seconds()
	}

	It("serves a burst at once and the rest at its rate, in order", func() {
		s := &storer.Storer{Rate: 10, Burst: 30}
		Expect(after(s, 0, 30)).To(Equal(0.0))
		Expect(after(s, 0, 20)).To(Equal(2.0))
		Expect(after(s, 0, 10)).To(Equal(3.0))
		Expect(after(s, 100, 40)).To(Equal(101.0), "the bucket is full again")
	})

	It("has no limit when zero", func() {
		Expect(after(&storer.Storer{}, 5, 1<<40)).To(Equal(5.0))
		Expect(after(nil, 5, 1<<40)).To(Equal(5.0))
	})
})
