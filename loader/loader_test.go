package loader_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/loader"
)

func TestLoader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loader")
}

// send runs a load of three requests against a server with a fixed response.
func send(status int, code coder.Code, body string) *loader.Report {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if code != coder.OK {
			w.Header().Set("Bramleyshunt-Code", fmt.Sprint(int(code)))
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(s.Close)
	l := &loader.Loader{
		EntryURLs: []string{s.URL},
		Check:     func(_ string, _ int, text string) bool { return text == "hi" },
	}
	return l.Run(context.Background(), loader.Plan{Requests: 3, Timeout: time.Minute})
}

func expectOutcomes(r *loader.Report, code coder.Code, invalid int) {
	GinkgoHelper()
	Expect(r.Outcomes).To(HaveLen(3))
	Expect(r.Invalid()).To(HaveLen(invalid))
	Expect(r.Codes()).To(HaveKeyWithValue(code, 3))
}

var _ = Describe("Loader", func() {
	const answer = `data: {"choices":[{"text":"hi"}]}` + "\n\n"

	// Guards against answers of something that is no entry, which a report counts as outcomes.
	DescribeTable("counts malformed answers as invalid",
		func(answer string) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}))
			DeferCleanup(s.Close)
			l := &loader.Loader{EntryURLs: []string{s.URL}, Check: func(_ string, _ int, text string) bool { return text == "hi" }}
			expectOutcomes(l.Run(context.Background(), loader.Plan{Requests: 3, Timeout: time.Minute}), coder.OK, 3)
		},
		Entry("status 000", "HTTP/1.1 000 X\r\nBramleyshunt-Code: 2003\r\nContent-Length: 0\r\n\r\n"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX-Own : 1\r\n\r\n"+answer+"data: [DONE]\n\n"),
	)

	DescribeTable("reports the outcome of requests",
		func(status int, sent coder.Code, body string, want coder.Code, invalid int) {
			expectOutcomes(send(status, sent, body), want, invalid)
		},
		Entry("complete answer", 200, coder.OK, answer+"data: [DONE]\n\n", coder.OK, 0),
		Entry("stream cut off without an error event", 200, coder.OK, answer, coder.OK, 3),
		Entry("incorrect answer", 200, coder.OK, "data: [DONE]\n\n", coder.OK, 3),
		Entry("refusal", 503, coder.Overloaded, `{"error":{"code":2003}}`, coder.Overloaded, 0),
		Entry("refusal without a code", 503, coder.OK, "", coder.OK, 3),
		Entry("error event within the stream", 200, coder.OK, answer+"event: error\ndata: {\"error\":{\"code\":3002}}\n\n", coder.TargetLost, 0),
	)

	It("writes reports as table and JSON", func() {
		r := send(200, coder.OK, answer+"data: [DONE]\n\n")
		var out bytes.Buffer
		Expect(r.WriteTable(&out, r)).To(Succeed())
		Expect(r.WriteJSON(&out, nil)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("slowdown"))
	})

	It("generates the same prompts for the same seed", func() {
		Expect(loader.Prompt(1, 2, 100)).To(Equal(loader.Prompt(1, 2, 100)))
		Expect(loader.Prompt(1, 2, 100)).To(HaveLen(400))
		Expect(loader.Prompt(1, 2, 100)).NotTo(Equal(loader.Prompt(1, 3, 100)))
	})
})
