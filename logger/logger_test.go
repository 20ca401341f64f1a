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

var _ = Describe("a logger", func() {
	It("passes lines on in order", func() {
		var out bytes.Buffer
		l, closer := logger.New(&out, 10)
		for _, s := range []string{"a\n", "b\n", "c\n"} {
			_, err := io.WriteString(l, s)
			Expect(err).NotTo(HaveOccurred())
		}
		closer()
		Expect(out.String()).To(Equal("a\nb\nc\n"))
	})

	It("drops lines before a writer that is blocked, and says how many", func() {
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

// This answers a standard output that nobody reads.
func TestBlockedWriterHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		l, closer := logger.New(w, 10)
		at := time.Now()
		for range 1000 {
			_, _ = io.WriteString(l, "line\n")
		}
		if took := time.Since(at); took > 0 {
			t.Errorf("writing took %s", took)
		}
		closer()
		if took := time.Since(at); took > time.Second {
			t.Errorf("closing took %s", took)
		}
		_ = r.Close() // the reader has gone
	})
}

// This answers a burst of requests, refused ones among them.
func TestVolumeIsBounded(t *testing.T) {
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
		if n := strings.Count(text, "request failed"); n > (seconds+1)*logger.MostRequests {
			t.Errorf("%d lines about requests in %d s", n, seconds)
		}
		if n := strings.Count(text, "keeper left"); n != seconds*100 {
			t.Errorf("%d of %d lines about changes", n, seconds*100)
		}
		if !strings.Contains(text, "log lines were dropped") {
			t.Error("nothing says that lines were dropped")
		}
	})
}
