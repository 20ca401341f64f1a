package loader_test

import (
	"bytes"
	"context"
	"fmt"
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

// send runs a load of three requests against a fixed answer.
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
		Bases: []string{s.URL},
		Check: func(_ string, _ int, text string) bool { return text == "hi" },
	}
	return l.Run(context.Background(), loader.Plan{Requests: 3, Timeout: time.Minute})
}

func expectEnds(r *loader.Report, code coder.Code, bad int) {
	GinkgoHelper()
	Expect(r.Outcomes).To(HaveLen(3))
	Expect(r.Unsettled()).To(HaveLen(bad))
	Expect(r.Codes()).To(HaveKeyWithValue(code, 3))
}

var _ = Describe("a load", func() {
	const hi = `data: {"choices":[{"text":"hi"}]}` + "\n\n"

	DescribeTable("tells how requests ended",
		func(status int, sent coder.Code, body string, want coder.Code, bad int) {
			expectEnds(send(status, sent, body), want, bad)
		},
		Entry("whole", 200, coder.OK, hi+"data: [DONE]\n\n", coder.OK, 0),
		Entry("cut without an error", 200, coder.OK, hi, coder.OK, 3),
		Entry("with another's answer", 200, coder.OK, "data: [DONE]\n\n", coder.OK, 3),
		Entry("refused", 503, coder.Overloaded, `{"error":{"code":2003}}`, coder.Overloaded, 0),
		Entry("refused without a code", 503, coder.OK, "", coder.OK, 3),
		Entry("failed in mid-stream", 200, coder.OK, hi+"event: error\ndata: {\"error\":{\"code\":3002}}\n\n", coder.TargetLost, 0),
	)

	It("writes a table and JSON", func() {
		r := send(200, coder.OK, hi+"data: [DONE]\n\n")
		var out bytes.Buffer
		Expect(r.WriteTable(&out, r)).To(Succeed())
		Expect(r.WriteJSON(&out, nil)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("slowdown"))
	})

	It("sends the same prompts for the same seed", func() {
		Expect(loader.Prompt(1, 2, 100)).To(Equal(loader.Prompt(1, 2, 100)))
		Expect(loader.Prompt(1, 2, 100)).To(HaveLen(400))
		Expect(loader.Prompt(1, 2, 100)).NotTo(Equal(loader.Prompt(1, 3, 100)))
	})
})
