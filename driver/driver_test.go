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

// answering returns a driver for a server that answers everything with status and body.
func answering(status int, body string) *driver.Driver {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(s.Close)
	return &driver.Driver{BaseURL: s.URL}
}

// run returns the events that were emitted and the outcome.
func run(d *driver.Driver) (events []string, res driver.Result, err error) {
	res, err = d.Run(context.Background(), driver.Request{ID: "a"}, func(data []byte) error {
		events = append(events, string(data))
		return nil
	})
	return events, res, err
}

const end = "id: 2\ndata: {\"done\":\"stop\",\"usage\":{\"prompt\":3,\"output\":1}}\n\n"

var _ = Describe("a stream", func() {
	It("gives its events in order and its end apart", func() {
		events, res, err := run(answering(200, ": keep\n\nid: 1\ndata: {\"text\":\"a\"}\n\n"+end))
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(Equal([]string{`{"text":"a"}`}))
		Expect(res).To(Equal(driver.Result{Done: "stop", Usage: messenger.Usage{Prompt: 3, Output: 1}}))
	})

	DescribeTable("that is not whole", func(status int, body string, want coder.Code) {
		_, _, err := run(answering(status, body))
		Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
	},
		Entry("is cut", 200, "id: 1\ndata: {\"text\":\"a\"}\n\n", coder.TargetLost),
		Entry("is empty", 200, "", coder.TargetLost),
		Entry("has a gap", 200, end, coder.EngineFailed),
		Entry("repeats an event", 200, "id: 1\ndata: {\"text\":\"a\"}\n\nid: 1\ndata: {\"text\":\"a\"}\n\n"+end, coder.EngineFailed),
		Entry("has garbage for an event", 200, "id: 1\ndata: ]\n\n", coder.EngineFailed),
		Entry("has garbage for a number", 200, "id: x\n", coder.EngineFailed),
		Entry("has an event of no kind", 200, "id: 1\ndata: {}\n\n", coder.EngineFailed),
		Entry("ends with an error", 200, "id: 1\ndata: {\"error\":{\"code\":3001}}\n\n", coder.DeadlineExceeded),
		Entry("is refused with a code", 503, `{"code":2012,"retry":1}`, coder.NotReady),
		Entry("is refused without one", 500, "oops", coder.EngineFailed),
	)

	It("says when to come back", func() {
		_, _, err := run(answering(503, `{"code":2011,"retry":1.5}`))
		Expect(coder.Of(err).Retry).To(Equal(1500 * time.Millisecond))
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	})

	It("ends with the code of its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := answering(200, "").Report(ctx)
		Expect(coder.Of(err)).To(And(HaveField("Code", coder.Cancelled), HaveField("Run", coder.NotRun)))
	})
})
