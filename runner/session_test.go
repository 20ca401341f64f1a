package runner_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// step is one request of a session.
type step struct {
	title  string
	as     string // client account; exampleToken returns its token
	via    int    // index of the node
	method string
	path   string
	key    string // Idempotency-Key
	time   string // Request-Timeout
	body   string
}

// Parts of an answer that differ from run to run.
var (
	volatileFields = regexp.MustCompile(`"(id|created|number|cached_tokens)":\s*("[^"]*"|\d+)`)
	durations      = regexp.MustCompile(`\d+(\.\d+)?(µs|ms|s)\b`)
)

// session records the answers that callers get, for comparison with a golden file.
type session struct {
	d   *deployment
	out bytes.Buffer
}

func (s *session) heading(format string, args ...any) {
	_, _ = fmt.Fprintf(&s.out, "== "+format+"\n\n", args...)
}

// do sends the request of a step and records the answer.
func (s *session) do(st step) {
	GinkgoHelper()
	n := s.d.nodes[st.via]
	req, err := http.NewRequest(st.method, n.url+st.path, strings.NewReader(st.body))
	Expect(err).NotTo(HaveOccurred())
	_, _ = fmt.Fprintf(&s.out, "-- %s\n%s %s as %s through %s\n", st.title, st.method, st.path, st.as, n.zone)
	req.Header.Set("Authorization", "Bearer "+exampleToken(st.as))
	for name, value := range map[string]string{"Idempotency-Key": st.key, "Request-Timeout": st.time} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	h := resp.Header
	_, _ = fmt.Fprintf(&s.out, "%d code=%s run=%s retry=%t\n", resp.StatusCode, h.Get("Bramleyshunt-Code"),
		h.Get("Bramleyshunt-Run"), h.Get("Retry-After") != "")
	_, _ = fmt.Fprintf(&s.out, "%s\n\n", strings.TrimSpace(mask(string(body))))
}

// mask replaces the parts of a body that differ from run to run by asterisks.
func mask(body string) string {
	return durations.ReplaceAllString(volatileFields.ReplaceAllString(body, `"$1":"*"`), "*")
}

func (s *session) expectGolden(name string) {
	GinkgoHelper()
	goldie.New(GinkgoTB(), goldie.WithFixtureDir("testdata")).Assert(GinkgoTB(), name, s.out.Bytes())
}

func completion(model, prompt string, output int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, output, stream)
}

var _ = Describe("a session of requests", func() {
	It("of Laufspur", func() {
		d := start("laufspur", map[string]int{"erzaehler": 14, "spurbuch": 3})
		s := &session{d: d}
		s.heading("configuration %d in force in %d places", d.apply(d.fleetToken(), nil), len(d.nodes))
		s.do(step{"too little time", "organisers-zugspitz", 0, "POST", "/v1/completions", "", "20", completion("erzaehler", prompt(300), 10000, false)})
		for _, n := range d.nodes {
			n.waitReady()
		}
		s.do(step{"a checkpoint summary", "crews-trail", 0, "POST", "/v1/completions", "", "10", completion("erzaehler", prompt(400), 8, true)})
		s.do(step{"a night digest, whole", "organisers-zugspitz", 1, "POST", "/v1/completions", "", "30", completion("erzaehler", prompt(60000), 8, false)})
		s.do(step{"a crew briefing as a chat", "crews-trail", 2, "POST", "/v1/chat/completions", "", "10",
			`{"model":"erzaehler","messages":[{"role":"user","content":"Verpflegung 7"}],"max_tokens":4}`})
		s.do(step{"a position ping", "beacons", 0, "POST", "/service/spurbuch/pings", "12-7", "", "runner 12 at 7"})
		s.do(step{"the same ping again, elsewhere", "beacons", 1, "POST", "/service/spurbuch/pings", "12-7", "", "runner 12 at 7"})
		s.do(step{"the key for another ping", "beacons", 1, "POST", "/service/spurbuch/pings", "12-7", "", "runner 13 at 7"})
		s.do(step{"a ping without a key", "beacons", 2, "POST", "/service/spurbuch/pings", "", "", "runner 14 at 7"})
		Expect(d.countPosts("spurbuch", "/pings", "runner 12 at 7")).To(Equal(1))
		s.do(step{"an unknown token", "nobody", 0, "GET", "/service/spurbuch/standings", "", "", ""})
		s.do(step{"a service the account may not use", "beacons", 0, "POST", "/v1/completions", "", "", completion("erzaehler", "x", 4, false)})
		s.do(step{"malformed JSON", "crews-trail", 0, "POST", "/v1/completions", "", "", `{"model":`})
		s.do(step{"an unknown model", "crews-trail", 0, "POST", "/v1/completions", "", "", completion("orakel", "x", 4, false)})
		s.heading("race night: configuration %d", d.apply(exampleToken("race-office"), map[string]string{"95-more.json": `{"accounts":{"crews-trail":{"share":9}}}`}))
		running := (d.stopLeader() + 1) % len(d.nodes)
		s.heading("the leading keeper's VM is lost")
		s.d.nodes[0], s.d.nodes[running] = s.d.nodes[running], s.d.nodes[0]
		s.d.nodes[0].zone = "a place left"
		s.do(step{"a ping afterwards", "beacons", 0, "POST", "/service/spurbuch/pings", "12-8", "", "runner 12 at 8"})
		s.do(step{"a summary afterwards", "crews-trail", 0, "POST", "/v1/completions", "", "10", completion("erzaehler", prompt(300), 4, true)})
		s.expectGolden("laufspur")
	})

	It("of Kilimanjaro Barua", func() {
		d := start("kilimanjaro", map[string]int{"barua-llm": 18, "clerk-portal": 3})
		s := &session{d: d}
		s.heading("configuration %d in force in %d places", d.apply(d.fleetToken(), nil), len(d.nodes))
		for _, n := range d.nodes {
			n.waitReady()
		}
		s.do(step{"a loan reminder", "posta-merge", 0, "POST", "/v1/completions", "loan-1", "10", completion("barua-llm", prompt(300), 8, false)})
		s.do(step{"the same reminder again, elsewhere", "posta-merge", 1, "POST", "/v1/completions", "loan-1", "10", completion("barua-llm", prompt(300), 8, false)})
		s.do(step{"a tender pack, streamed", "haraka-letters", 2, "POST", "/v1/completions", "tender-1", "30", completion("barua-llm", prompt(80000), 8, true)})
		s.do(step{"another wording under the pack's key", "haraka-letters", 0, "POST", "/v1/completions", "tender-1", "30", completion("barua-llm", prompt(80001), 8, true)})
		s.do(step{"a pack without a key", "haraka-letters", 0, "POST", "/v1/completions", "", "30", completion("barua-llm", prompt(10), 8, false)})
		s.do(step{"a clerk looks at a job", "clerks", 1, "GET", "/service/clerk-portal/jobs/7", "", "", ""})
		s.do(step{"a clerk cancels a batch", "clerks", 1, "DELETE", "/service/clerk-portal/batches/7", "", "", ""})
		s.do(step{"a clerk starts a batch", "clerks", 1, "POST", "/service/clerk-portal/batches", "batch-8", "", "batch 8"})
		Expect(d.countPosts("clerk-portal", "/batches", "batch 8")).To(Equal(1))
		s.do(step{"a time beyond the bound", "clerks", 1, "GET", "/service/clerk-portal/jobs/7", "", "500", ""})
		s.expectGolden("kilimanjaro")
	})
})
