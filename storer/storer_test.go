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

var _ = Describe("Storer", func() {
	start := time.Unix(1000, 0)
	completion := func(s *storer.Storer, seconds float64, n int) float64 {
		now := start.Add(time.Duration(seconds * float64(time.Second)))
		return s.Reserve(now, n).Sub(start).Seconds()
	}

	It("serves a burst without delay and later reads at its rate, in order", func() {
		s := &storer.Storer{Rate: 10, Burst: 30}
		Expect(completion(s, 0, 30)).To(Equal(0.0))
		Expect(completion(s, 0, 20)).To(Equal(2.0))
		Expect(completion(s, 0, 10)).To(Equal(3.0))
		Expect(completion(s, 100, 40)).To(Equal(101.0), "the bucket refilled while idle")
	})

	It("has no limit when zero or nil", func() {
		Expect(completion(&storer.Storer{}, 5, 1<<40)).To(Equal(5.0))
		Expect(completion(nil, 5, 1<<40)).To(Equal(5.0))
	})
})
