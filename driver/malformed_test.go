package driver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

const (
	uploadBytes   = 4 << 20              // more than the kernel buffers of a connection that is not read
	uploadPause   = 5 * time.Millisecond // until the upload fills the buffers
	uploadRepeats = 30                   // the reset meets the reader of the answer or the writer of the upload first
	event         = "id: 1\ndata: {\"text\": \"a\"}\n\nid: 2\ndata: {\"finish_reason\": \"stop\"}\n\n"
)

// Guards against answers of targets in trouble that are passed on as whole, well-formed ones.
var _ = Describe("a malformed answer", func() {
	call := func(d *driver.Driver, body string) error {
		return d.Call(context.Background(), messenger.Run{Attempt: "a", Method: http.MethodPost, Path: "/x", Body: []byte(body)}, func(messenger.Chunk) error { return nil })
	}
	expectLost := func(err error) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(coder.Of(err).Code).To(SatisfyAny(Equal(coder.TargetLost), Equal(coder.EngineFailed)), "%v", err)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown), "%v", err)
	}

	It("without a length, reset while the upload is written, is not complete", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // resets it, as there is unread data
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			<-time.After(uploadPause)
		}))
		DeferCleanup(s.Close)
		for range uploadRepeats {
			expectLost(call(&driver.Driver{BaseURL: s.URL}, strings.Repeat("x", uploadBytes)))
		}
	})

	DescribeTable("is no answer",
		func(head, end string) {
			expectLost(call(newRawDriver(head+"Connection: close\r\n\r\nbody"+end), "x"))
			_, _, err := run(newRawDriver(head + "Connection: close\r\n\r\n" + event + end))
			expectLost(err)
			expectLost(newRawDriver(head+"Connection: close\r\n\r\n{}"+end).Cancel(context.Background(), "a"))
		},
		Entry("status 000", "HTTP/1.1 000 X\r\n", ""),
		Entry("status 099", "HTTP/1.1 099 X\r\n", ""),
		Entry("status with a sign", "HTTP/1.1 +20 X\r\n", ""),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX-Own : 1\r\n", ""),
		Entry("blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", ""),
		Entry("control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Own: 1\r\n", ""),
		Entry("blank in a name of an informational answer", "HTTP/1.1 103 X\r\nX-Own : 1\r\n\r\nHTTP/1.1 200 OK\r\n", ""),
		Entry("another version", "HTTP/2.0 200 OK\r\n", ""),
	)

	DescribeTable("in chunks is no answer to a call",
		func(head, end string) {
			expectLost(call(newRawDriver(head+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"+end), "x"))
		},
		Entry("blank in a name of the trailer", "HTTP/1.1 200 OK\r\n", "0\r\nX-Own : 1\r\n\r\n"),
		Entry("control byte in a name of the trailer", "HTTP/1.1 200 OK\r\n", "0\r\nX-\x01Own: 1\r\n\r\n"),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n", "0\r\n\r\n"),
		Entry("no last chunk", "HTTP/1.1 200 OK\r\n", ""),
	)
})
