package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/administrator"
	"bramleyshunt/coder"
	"bramleyshunt/operator"
)

var _ = Describe("an operator who evacuates a zone", func() {
	ctx := context.Background()

	// Guards against an order that a lost answer leaves undone, or reports as failed.
	It("has the order accepted although an answer is lost, and ends it", func() {
		f := newFleet()
		lost := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			h := administrator.New(administrator.Config{Key: []byte("fleet"), Applier: &f.applier, Call: f.call})
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(lost.Close)
		o := f.operator()
		o.Bases = []string{lost.URL, f.urls[0]}
		out, err := o.Evacuate(ctx, "a", operator.EvacuateOptions{Force: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(HaveField("Evacuated", true), HaveField("Repeated", true)))
		out, err = f.operator().Evacuate(ctx, "a", operator.EvacuateOptions{End: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(HaveField("Evacuated", false), HaveField("Repeated", false)))
		Expect(f.applier.Evacuated().Zones).To(BeEmpty())
	})

	// Guards against an order for an unknown zone that is repeated until its time ends.
	It("is told of an unknown zone and of an invalid name", func() {
		f := newFleet()
		_, err := f.operator().Evacuate(ctx, "a", operator.EvacuateOptions{})
		Expect(coder.Of(err)).To(HaveField("Code", coder.NotFound))
		_, err = f.operator().Evacuate(ctx, "a b", operator.EvacuateOptions{Force: true})
		Expect(coder.Of(err)).To(HaveField("Code", coder.Malformed))
		Expect(f.applier.Evacuated().Zones).To(BeEmpty())
	})
})
