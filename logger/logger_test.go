package logger_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/logger"
)

func TestLogger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logger")
}

var _ = Describe("Logger", func() {
	It("writes lines in order", func() {
		var out bytes.Buffer
		l, closer := logger.New(&out, 10)
		for _, s := range []string{"a\n", "b\n", "c\n"} {
			_, err := io.WriteString(l, s)
			Expect(err).NotTo(HaveOccurred())
		}
		closer()
		Expect(out.String()).To(Equal("a\nb\nc\n"))
	})

	It("drops lines while the writer is blocked, and logs how many", func() {
		r, w := io.Pipe()
		l, closer := logger.New(w, 10)
		for range 100 {
			_, err := io.WriteString(l, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(l.Dropped()).To(BeNumerically(">=", 89))
		var out bytes.Buffer
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(&out, r)
		}()
		closer()
		Expect(w.Close()).To(Succeed())
		<-read
		Expect(strings.Count(out.String(), "line\n")).To(BeNumerically("<=", 11))
		Expect(out.String()).To(ContainSubstring("log lines were dropped"))
	})
})

// Guards against a process that hangs because nothing reads its standard output: neither
// logging nor closing may wait for a blocked writer.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		l, closer := logger.New(w, 10)
		at := time.Now()
		for range 1000 {
			_, _ = io.WriteString(l, "line\n")
		}
		if took := time.Since(at); took > 0 {
			t.Errorf("writing to a blocked writer took %s, want 0s", took)
		}
		closer()
		if took := time.Since(at); took > time.Second {
			t.Errorf("closing with a blocked writer took %s, want at most 1s", took)
		}
		_ = r.Close() // the reader closes the pipe
	})
}

// Guards against a log that grows with the rate of requests: a burst of requests, refused
// ones included, may add only a bounded number of lines per second.
func TestRequestLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l, closer := logger.New(&out, 100_000)
		const seconds = 3
		for range seconds * 100 {
			for range 200 { // 20,000 a second
				_, _ = io.WriteString(l, `{"msg":"request failed","request":"x"}`+"\n")
			}
			_, _ = io.WriteString(l, `{"msg":"keeper left"}`+"\n")
			time.Sleep(10 * time.Millisecond)
		}
		closer()
		text := out.String()
		if n := strings.Count(text, "request failed"); n > (seconds+1)*logger.MaxRequestLines {
			t.Errorf("%d lines about requests in %d s exceed the rate limit", n, seconds)
		}
		if n := strings.Count(text, "keeper left"); n != seconds*100 {
			t.Errorf("got %d of %d lines about changes of state", n, seconds*100)
		}
		if !strings.Contains(text, "log lines were dropped") {
			t.Error("no line reports that lines were dropped")
		}
	})
}
