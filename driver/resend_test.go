package driver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

// Guards against an HTTP client that sends a call again by itself when its connection is
// lost, as net/http does on a reused connection where the method or a key allows it.
var _ = Describe("a call whose connection is lost after the target has read it", func() {
	var d *driver.Driver
	var calls, arrivals atomic.Int64
	BeforeEach(func() {
		calls.Store(0)
		arrivals.Store(0)
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if calls.Add(1) == 1 {
				return // an answer after which the connection could be used again
			}
			arrivals.Add(1)
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(s.Close)
		d = &driver.Driver{BaseURL: s.URL}
		Expect(d.Cancel(context.Background(), "before")).To(Succeed())
	})
	expectSentOnce := func(err error) {
		GinkgoHelper()
		Expect(coder.Of(err)).To(And(HaveField("Code", coder.TargetLost), HaveField("Run", coder.Unknown)))
		Expect(arrivals.Load()).To(Equal(int64(1)))
	}

	DescribeTable("is not sent again to a plain service",
		func(method, body string, headers ...messenger.Header) {
			r := messenger.Run{Attempt: "a", Method: method, Path: "/x", Body: []byte(body), Headers: headers}
			expectSentOnce(d.Call(context.Background(), r, func(messenger.Chunk) error { return nil }))
		},
		Entry("GET", http.MethodGet, ""),
		Entry("DELETE", http.MethodDelete, ""),
		Entry("POST", http.MethodPost, "x"),
		Entry("POST without a body", http.MethodPost, ""),
		Entry("POST with a key", http.MethodPost, "x", messenger.Header{Name: "Idempotency-Key", Value: "k"}),
		Entry("POST with a key and no body", http.MethodPost, "", messenger.Header{Name: "X-Idempotency-Key", Value: "k"}),
	)

	It("is not sent again to an engine", func() {
		_, _, err := run(d)
		expectSentOnce(err)
	})

	It("is not sent again with an order", func() {
		_, err := d.Order(context.Background(), messenger.Order{Fence: 1, Verb: "load"})
		expectSentOnce(err)
	})
})
