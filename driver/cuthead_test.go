package driver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

// newRawDriver returns a driver for a server that writes text and closes the connection.
func newRawDriver(text string) *driver.Driver {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.Close()
	}))
	DeferCleanup(s.Close)
	return &driver.Driver{BaseURL: s.URL}
}

// Guards against a success with an empty or short body for an answer whose target closed the
// connection within its head, or that has no final status.
var _ = Describe("an answer without a complete head", func() {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"
	call := func(text string) (chunks []messenger.Chunk, err error) {
		err = newRawDriver(text).Call(context.Background(), messenger.Run{Attempt: "a", Method: http.MethodGet, Path: "/x"}, func(c messenger.Chunk) error {
			chunks = append(chunks, c)
			return nil
		})
		return chunks, err
	}

	It("is lost, wherever it is cut", func() {
		for i := range strings.Index(answer, "body") {
			chunks, err := call(answer[:i])
			Expect(coder.Of(err)).To(And(HaveField("Code", coder.TargetLost), HaveField("Run", coder.Unknown)), "%q", answer[:i])
			Expect(chunks).To(BeEmpty())
			_, _, err = run(newRawDriver(answer[:i]))
			Expect(coder.Of(err)).To(And(HaveField("Code", coder.TargetLost), HaveField("Run", coder.Unknown)), "%q", answer[:i])
		}
		chunks, err := call(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks).To(HaveLen(1))
	})

	It("has failed if its status is not final", func() {
		chunks, err := call("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		Expect(coder.Of(err)).To(And(HaveField("Code", coder.EngineFailed), HaveField("Run", coder.Unknown)))
		Expect(chunks).To(BeEmpty())
	})
})
