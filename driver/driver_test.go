package driver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

// newDriver returns a driver for a server that answers every request with status and body.
func newDriver(status int, body string) *driver.Driver {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(s.Close)
	return &driver.Driver{BaseURL: s.URL}
}

// run sends a request and returns the emitted events and the outcome.
func run(d *driver.Driver) (events []string, res driver.Result, err error) {
	res, err = d.Run(context.Background(), driver.Request{ID: "a"}, func(data []byte) error {
		events = append(events, string(data))
		return nil
	})
	return events, res, err
}

const endEvent = "id: 2\ndata: {\"done\":\"stop\",\"usage\":{\"prompt\":3,\"output\":1}}\n\n"

var _ = Describe("a stream", func() {
	It("emits text events in order and returns the end as the result", func() {
		events, res, err := run(newDriver(200, ": keep\n\nid: 1\ndata: {\"text\":\"a\"}\n\n"+endEvent))
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(Equal([]string{`{"text":"a"}`}))
		Expect(res).To(Equal(driver.Result{FinishReason: "stop", Usage: messenger.Usage{Prompt: 3, Output: 1}}))
	})

	DescribeTable("that is incomplete or malformed", func(status int, body string, want coder.Code) {
		_, _, err := run(newDriver(status, body))
		Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
	},
		Entry("is cut", 200, "id: 1\ndata: {\"text\":\"a\"}\n\n", coder.TargetLost),
		Entry("is empty", 200, "", coder.TargetLost),
		Entry("has a gap", 200, endEvent, coder.EngineFailed),
		Entry("repeats an event", 200, "id: 1\ndata: {\"text\":\"a\"}\n\nid: 1\ndata: {\"text\":\"a\"}\n\n"+endEvent, coder.EngineFailed),
		Entry("has an event that is not JSON", 200, "id: 1\ndata: ]\n\n", coder.EngineFailed),
		Entry("has an event ID that is not a number", 200, "id: x\n", coder.EngineFailed),
		Entry("has an event that is neither text nor end", 200, "id: 1\ndata: {}\n\n", coder.EngineFailed),
		Entry("ends with an error", 200, "id: 1\ndata: {\"error\":{\"code\":3001}}\n\n", coder.DeadlineExceeded),
		Entry("is refused with a code", 503, `{"code":2012,"retry":1}`, coder.NotReady),
		Entry("is refused without a code", 500, "oops", coder.EngineFailed),
	)

	It("returns the time after which a retry may succeed", func() {
		_, _, err := run(newDriver(503, `{"code":2011,"retry":1.5}`))
		Expect(coder.Of(err).Retry).To(Equal(1500 * time.Millisecond))
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	})

	It("returns the code for the end of its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := newDriver(200, "").Report(ctx)
		Expect(coder.Of(err)).To(And(HaveField("Code", coder.Cancelled), HaveField("Run", coder.NotRun)))
	})
})
