package logger_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

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
