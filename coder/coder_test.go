package coder_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
)

func TestCoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coder")
}

var _ = Describe("Code", func() {
	It("has a name, a title and an HTTP status", func() {
		for _, c := range coder.All() {
			Expect(c.String()).NotTo(HavePrefix("Code("), "%d", c)
			Expect(c.Title()).NotTo(BeEmpty(), "%s", c)
			Expect(http.StatusText(c.Status()) != "" || c == coder.Cancelled).To(BeTrue(), "%s", c)
		}
	})

	DescribeTable("has a stable number and execution state",
		func(c coder.Code, number int, run coder.Run) {
			Expect(int(c)).To(Equal(number))
			Expect(c.Run()).To(Equal(run))
		},
		Entry(nil, coder.Malformed, 1001, coder.NotRun),
		Entry(nil, coder.RateLimited, 2001, coder.NotRun),
		Entry(nil, coder.ClaimHeld, 2013, coder.Unknown),
		Entry(nil, coder.RetryBudget, 2014, coder.NotRun),
		Entry(nil, coder.DeadlineExceeded, 3001, coder.Unknown),
		Entry(nil, coder.Voided, 3006, coder.NotRun),
		Entry(nil, coder.Conflict, 4001, coder.NotRun),
		Entry(nil, coder.BadFrame, 5001, coder.Unknown),
	)

	It("is found in a wrapped error", func() {
		err := fmt.Errorf("outer: %w", coder.Errorf(coder.Stale, "old"))
		Expect(coder.Of(err).Code).To(Equal(coder.Stale))
		Expect(coder.Of(errors.New("bare")).Code).To(Equal(coder.Internal))
		Expect(coder.Of(nil)).To(BeNil())
	})
})
