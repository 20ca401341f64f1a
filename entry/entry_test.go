package entry_test

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"bramleyshunt/authenticator"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/entry"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// testBed is an Entry behind an HTTP server, with a fake agent of an engine and one of a
// plain service.
type testBed struct {
	entry      *entry.Entry
	url        string
	engine     *fakeAgent
	plain      *fakeAgent
	keeper     *fakeKeeper
	view       atomic.Pointer[watcher.View]
	pool       *pooler.Pooler
	closeConns func()      // closes the entry's connections to agents
	killed     atomic.Bool // the entry cannot open new connections
	stale      atomic.Bool // the view is not confirmed
}

// nextSeed gives each entry its own seed, so that entries do not assign the same request IDs.
var nextSeed atomic.Uint64

func config() *configurer.Configurer {
	return &configurer.Configurer{
		Services: map[string]configurer.Service{
			"draft":  {Kind: "engine", Model: "m", Timeout: 5, MaxTimeout: 30},
			"packs":  {Kind: "engine", Model: "once", Once: true},
			"absent": {Kind: "engine", Model: "nowhere"},
			"portal": {Kind: "plain", Routes: []configurer.Route{{Method: "POST", Prefix: "/ping", Once: true}, {}}},
		},
		Models: map[string]configurer.Model{"m": {Window: 1000, Bytes: 4, Output: 16}, "once": {}, "nowhere": {}},
		Accounts: map[string]configurer.Account{
			"crew":    {Token: authenticator.Hash("t")},
			"guest":   {Token: authenticator.Hash("g"), Services: []string{"portal"}},
			"limited": {Token: authenticator.Hash("l"), Rate: 0.001, Burst: 1},
		},
		Limits: configurer.Limits{Body: 20000},
	}
}

func newTestBed() *testBed { return newTestBedWith(0) }

// newTestBedWith returns a testBed whose entry allows the given time for a request body; the
// default if zero.
func newTestBedWith(bodyTimeout time.Duration) *testBed {
	b := &testBed{keeper: &fakeKeeper{claims: map[string]messenger.Claim{}}}
	b.engine = newFakeAgent("e1", "draft", "m")
	b.plain = newFakeAgent("p1", "portal", "")
	packs := b.engine.target
	packs.ID, packs.Service, packs.Model = "e2", "packs", "once"
	b.view.Store(&watcher.View{Config: config(), Targets: []messenger.Target{b.engine.target, packs, b.plain.target}})
	pool, closer := pooler.New(muxer.Config{Node: "entry"})
	b.pool, b.closeConns = pool, closer
	pool.Dial = func(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) {
		if b.killed.Load() {
			return nil, nil, coder.Errorf(coder.TargetLost, "the entry was killed")
		}
		return muxer.Dial(ctx, addr, cfg)
	}
	e, stop, err := entry.New(entry.Config{
		View: b.view.Load, Pool: pool, Call: b.keeper.call, Seed: nextSeed.Add(1), BodyTimeout: bodyTimeout,
		Ready: func() error {
			if b.stale.Load() {
				return coder.Errorf(coder.Stale, "")
			}
			return nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(e)
	serverLog := gbytes.NewBuffer()
	server.Config.ErrorLog = log.New(serverLog, "", 0)
	server.Start()
	DeferCleanup(func() { Expect(string(serverLog.Contents())).NotTo(ContainSubstring("panic")) })
	DeferCleanup(closer)
	DeferCleanup(stop)
	DeferCleanup(server.Close)
	b.entry, b.url = e, server.URL
	return b
}

// call sends a request, with headers in the form "Name: value", and returns the response
// and its body. If the body is cut off, the text ends with "!" and the error.
func (b *testBed) call(method, path, body string, headers ...string) (*http.Response, string) {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(context.Background(), method, b.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer t")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	p, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, string(p) + "!" + err.Error()
	}
	return resp, string(p)
}

func expectCode(resp *http.Response, text string, c coder.Code) {
	GinkgoHelper()
	Expect(text).To(ContainSubstring(`"name":"` + c.String() + `"`))
	Expect(resp.StatusCode).To(Equal(c.Status()))
	if c.Run() == coder.NotRun {
		Expect(resp.Header.Get("Bramleyshunt-Run")).To(Equal("not-run"))
	}
	if c >= 2000 && c < 3000 {
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
}

const prompt = `{"model":"m","prompt":"Say hello"}`

var _ = Describe("an entry", func() {
	var b *testBed
	BeforeEach(func() { b = newTestBed() })

	It("answers a prompt with one JSON object", func() {
		resp, text := b.call("POST", "/v1/completions", prompt)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(resp.Header.Get("Bramleyshunt-Code")).To(Equal("0"))
		Expect(text).To(ContainSubstring(`"text":"hello world"`))
		Expect(text).To(ContainSubstring(`"completion_tokens":2`))
	})

	It("streams a chat as server-sent events", func() {
		_, text := b.call("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
		Expect(text).To(HavePrefix(`data: {`))
		Expect(text).To(ContainSubstring(`"delta":{"role":"assistant","content":"hello"}`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("removes the caller's priority and sets the output limit of the model", func() {
		b.call("POST", "/v1/completions", `{"prompt":"x", "model":"m", "priority":99}`)
		Expect(string(b.engine.runs()[0].Body)).To(Equal(`{"max_tokens":16,"model":"m","prompt":"x","stream":true}`))
	})

	It("forwards requests to a plain service without the token", func() {
		resp, text := b.call("GET", "/service/portal/jobs/7?all=1", "", "X-Clerk: 12")
		Expect(resp.StatusCode).To(Equal(201), text)
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain"))
		Expect(text).To(Equal("hello world"))
		run := b.plain.runs()[0]
		Expect(run.Path).To(Equal("/jobs/7?all=1"))
		Expect(run.Headers).To(ContainElement(messenger.Header{Name: "X-Clerk", Value: "12"}))
		Expect(run.Headers).NotTo(ContainElement(HaveField("Name", "Authorization")))
	})

	It("predicts no output tokens for a request to a plain service", func() {
		b.call("GET", "/service/portal/jobs/7", "")
		Expect(b.plain.lastReservation()).To(And(HaveField("Prompt", 1), HaveField("Output", 0)))
	})

	DescribeTable("refuses", func(method, path, body string, want coder.Code, headers ...string) {
		resp, text := b.call(method, path, body, headers...)
		expectCode(resp, text, want)
		Expect(b.engine.runs()).To(BeEmpty())
	},
		Entry("wrong token", "POST", "/v1/completions", prompt, coder.Unauthenticated, "Authorization: Bearer x"),
		Entry("no token", "POST", "/v1/completions", prompt, coder.Unauthenticated, "Authorization: Basic dDp0"),
		Entry("forbidden service", "POST", "/v1/completions", prompt, coder.Forbidden, "Authorization: Bearer g"),
		Entry("malformed JSON", "POST", "/v1/completions", `{"model":`, coder.Malformed),
		Entry("JSON that is not an object", "POST", "/v1/completions", `[1]`, coder.Malformed),
		Entry("wrong type", "POST", "/v1/completions", `{"model":"m","prompt":7}`, coder.Malformed),
		Entry("no prompt", "POST", "/v1/completions", `{"model":"m"}`, coder.Malformed),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, coder.Malformed),
		Entry("negative max_tokens", "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, coder.Malformed),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"z","prompt":"x"}`, coder.UnknownModel),
		Entry("unknown service", "GET", "/service/none/x", "", coder.UnknownService),
		Entry("engine as plain service", "GET", "/service/draft/x", "", coder.UnknownService),
		Entry("body too large", "POST", "/v1/completions", strings.Repeat("x", 20001), coder.TooLarge),
		Entry("prompt longer than the context window", "POST", "/v1/completions", `{"model":"m","prompt":"`+strings.Repeat("x", 5000)+`"}`, coder.PromptTooLong),
		Entry("timeout not a number", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: soon"),
		Entry("timeout NaN", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: NaN"),
		Entry("timeout negative", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: -1"),
		Entry("timeout too long", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: 31"),
		Entry("timeout too short", "POST", "/v1/completions", prompt, coder.Overloaded, "Request-Timeout: 0.01"),
		Entry("no target", "POST", "/v1/completions", `{"model":"nowhere","prompt":"x"}`, coder.NoTarget),
		Entry("no idempotency key", "POST", "/v1/completions", `{"model":"once","prompt":"x"}`, coder.KeyRequired),
		Entry("no idempotency key for a route", "POST", "/service/portal/ping", "", coder.KeyRequired),
		Entry("unknown path", "GET", "/v2", "", coder.NotFound),
		Entry("wrong method", "GET", "/v1/completions", "", coder.MethodNotAllowed),
		Entry("cancel without key and batch", "POST", "/v1/cancel", "", coder.Malformed),
	)

	It("enforces the rate limit of an account", func() {
		resp, _ := b.call("POST", "/v1/completions", prompt, "Authorization: Bearer l")
		Expect(resp.StatusCode).To(Equal(200))
		resp, text := b.call("POST", "/v1/completions", prompt, "Authorization: Bearer l")
		expectCode(resp, text, coder.RateLimited)
	})

	It("ends a request whose body does not arrive in time", func() {
		b := newTestBedWith(50 * time.Millisecond)
		conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\nContent-Length: 9\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		answer := make(chan string, 1)
		go func() {
			p := make([]byte, 12)
			_, _ = io.ReadFull(conn, p)
			answer <- string(p)
		}()
		Eventually(answer, "5s").Should(Receive(Equal("HTTP/1.1 400")))
	})

	It("is ready only with a confirmed view", func() {
		resp, _ := b.call("GET", "/ready", "")
		Expect(resp.StatusCode).To(Equal(200))
		b.stale.Store(true)
		resp, text := b.call("GET", "/ready", "")
		expectCode(resp, text, coder.Stale)
		resp, text = b.call("POST", "/v1/completions", prompt)
		expectCode(resp, text, coder.Stale)
		b.view.Store(nil)
		resp, text = b.call("GET", "/ready", "")
		expectCode(resp, text, coder.NotReady)
		resp, _ = b.call("GET", "/live", "")
		Expect(resp.StatusCode).To(Equal(200))
	})
})
