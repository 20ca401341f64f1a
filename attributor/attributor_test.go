package attributor_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/attributor"
)

func TestAttributor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attributor")
}

// answered returns the log line of a request that ended at the given second and took
// 500 ms. more holds further JSON fields.
func answered(second int, prompt int, more string) string {
	return fmt.Sprintf(`{"level":"info","msg":"request answered","time":"2026-12-04T10:00:%02d.000Z","ms":500,"prompt":%d,"objective":300,"maxgap":200%s}`, second, prompt, more)
}

func failed(code int, run string) string {
	return fmt.Sprintf(`{"msg":"request failed","time":"2026-12-04T10:00:05.000Z","ms":500,"prompt":5000,"code":%d,"run":%q}`, code, run)
}

func read(lines ...string) *attributor.Attributor {
	GinkgoHelper()
	a := &attributor.Attributor{}
	Expect(a.Read(strings.NewReader(strings.Join(lines, "\n") + "\n"))).To(Succeed())
	return a
}

func expectOutcome(line string, want attributor.Outcome) {
	GinkgoHelper()
	rows := read(line).Totals()
	Expect(rows).To(HaveLen(1))
	Expect(rows[0].Outcomes[want]).To(Equal(1), "%s", line)
}

func expectLateBy(more string, want attributor.Part) {
	GinkgoHelper()
	rows := read(answered(5, 5000, `,"first":900`+more)).Totals()
	Expect(rows[0].LateBy[want]).To(Equal(1), "%s: %v", more, rows[0].LateBy)
}

var _ = Describe("a request's log line", func() {
	It("tells how the request ended", func() {
		expectOutcome(answered(5, 5000, `,"first":200,"gap":100`), attributor.InTime)
		expectOutcome(answered(5, 5000, `,"first":400,"gap":900`), attributor.LateFirst)
		expectOutcome(answered(5, 5000, `,"first":200,"gap":201`), attributor.Paused)
		expectOutcome(failed(2003, "not-run"), attributor.Refused)
		expectOutcome(failed(3002, "unknown"), attributor.Failed)
		expectOutcome(failed(3004, "unknown"), attributor.GivenUp)
		expectOutcome(failed(3004, "not-run"), attributor.GivenUp)
	})

	It("tells the largest part of the time to a late first token", func() {
		expectLateBy(`,"held":700,"wait":100`, attributor.Held)
		expectLateBy(`,"queued":500,"wait":400,"prefill":100`, attributor.Queued)
		expectLateBy(`,"queued":100,"wait":800,"prefill":100`, attributor.Waiting)
		expectLateBy(`,"wait":800,"prefill":700`, attributor.Prefill)
		expectLateBy(`,"wait":200,"silence":600`, attributor.Silence)
		expectLateBy(`,"wait":200,"refusal":600`, attributor.Refusal)
		expectLateBy(`,"wait":200,"cut":600`, attributor.Cut)
	})

	It("counts at the arrival of the request and in its class", func() {
		rows := read(answered(5, 5000, ""), answered(6, 1, ""), answered(6, 5000, ""), answered(6, 200000, "")).Rows()
		var got []string
		for _, r := range rows {
			got = append(got, fmt.Sprintf("%d %s", r.From.Second(), r.Class))
		}
		Expect(got).To(Equal([]string{"4 Medium", "5 Medium", "5 Huge", "5 plain"}))
	})

	It("may follow a prefix", func() {
		Expect(read("  34.52 entry-1 " + answered(5, 5000, "")).Lines).To(Equal(1))
	})

	It("is passed over and counted if it is broken, foreign or too long", func() {
		a := read("", "plain text", `{"msg":"request answered"`, `{"msg":"started"}`, `{"msg":"request answered","time":7}`,
			"{"+strings.Repeat("x", 3<<20), answered(5, 5000, ""))
		Expect(a.Lines).To(Equal(1))
		Expect(a.Foreign).To(Equal(6))
	})
})

var _ = Describe("a log", func() {
	It("without a last line break is read whole", func() {
		a := &attributor.Attributor{}
		Expect(a.Read(strings.NewReader(answered(5, 5000, "")))).To(Succeed())
		Expect(a.Lines).To(Equal(1))
	})

	It("that can't be read is an error", func() {
		failure := errors.New("input/output error")
		r := io.MultiReader(strings.NewReader(answered(5, 5000, "")), iotest.ErrReader(failure))
		Expect((&attributor.Attributor{}).Read(r)).To(MatchError(failure))
	})

	It("of any length takes bounded memory", func() {
		a := &attributor.Attributor{}
		at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
		const n = 20000
		for i := range n {
			l := fmt.Sprintf(`{"msg":"request answered","time":%q,"ms":0,"prompt":5000}`, at.Add(time.Duration(i)*time.Minute).Format(time.RFC3339))
			Expect(a.Read(strings.NewReader(l))).To(Succeed())
		}
		Expect(len(a.Rows())).To(BeNumerically("<=", 3600))
		Expect(a.Totals()[0].Requests()).To(Equal(n))
	})

	It("gives the same counts as a table and as JSON", func() {
		a := read(answered(5, 5000, `,"first":400,"wait":380,"prefill":20`), answered(5, 1, ""))
		var table, asJSON bytes.Buffer
		Expect(a.WriteTable(&table)).To(Succeed())
		Expect(a.WriteJSON(&asJSON)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("2 requests, 0 other lines, steps of 1s"))
		var report struct {
			Totals []struct {
				Class    string
				Requests int
				Outcomes map[string]int
				LateBy   map[string]int
			}
		}
		Expect(json.Unmarshal(asJSON.Bytes(), &report)).To(Succeed())
		Expect(report.Totals[0].Class).To(Equal("Medium"))
		Expect(report.Totals[0].Outcomes).To(HaveKeyWithValue("late-first", 1))
		Expect(report.Totals[0].LateBy).To(HaveKeyWithValue("waiting", 1))
	})
})

// Logs may hold anything between two requests, and no line may stop the reader.
func TestAnyInputIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		noise := rapid.SliceOf(rapid.OneOf(rapid.String(), rapid.Just(answered(5, 5000, ""))))
		text := strings.Join(noise.Draw(t, "lines"), "\n")
		a := &attributor.Attributor{}
		if err := a.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, r := range a.Totals() {
			n += r.Requests()
		}
		if n != a.Lines {
			t.Fatalf("%d requests counted from %d lines", n, a.Lines)
		}
	})
}
