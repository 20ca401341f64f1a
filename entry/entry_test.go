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

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/entry"
	"bramleyshunt/identifier"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// bench is an Entry behind an HTTP server, with one engine and one plain service.
type bench struct {
	entry  *entry.Entry
	url    string
	engine *fake
	plain  *fake
	keeper *keeper
	view   atomic.Pointer[watcher.View]
	pool   *pooler.Pooler
	cut    func()      // closes the entry's connections
	dead   atomic.Bool // the entry opens no new ones
	stale  atomic.Bool
}

// seeds keeps the ids of several entries apart.
var seeds atomic.Uint64

func config() *configurer.Configurer {
	return &configurer.Configurer{
		Services: map[string]configurer.Service{
			"draft":  {Kind: "engine", Model: "m", Timeout: 5, Longest: 30},
			"packs":  {Kind: "engine", Model: "once", Once: true},
			"absent": {Kind: "engine", Model: "nowhere"},
			"portal": {Kind: "plain", Routes: []configurer.Route{{Method: "POST", Prefix: "/ping", Once: true}, {}}},
		},
		Models: map[string]configurer.Model{"m": {Window: 1000, Bytes: 4, Output: 16}, "once": {}, "nowhere": {}},
		Accounts: map[string]configurer.Account{
			"crew":    {Token: identifier.Hash("t")},
			"guest":   {Token: identifier.Hash("g"), Services: []string{"portal"}},
			"limited": {Token: identifier.Hash("l"), Rate: 0.001, Burst: 1},
		},
		Limits: configurer.Limits{Body: 20000},
	}
}

func newBench() *bench {
	b := &bench{keeper: &keeper{claims: map[string]messenger.Claim{}}}
	b.engine = newFake("e1", "draft", "m")
	b.plain = newFake("p1", "portal", "")
	packs := b.engine.target
	packs.ID, packs.Service, packs.Model = "e2", "packs", "once"
	b.view.Store(&watcher.View{Config: config(), Targets: []messenger.Target{b.engine.target, packs, b.plain.target}})
	pool, closer := pooler.New(muxer.Config{Node: "entry"})
	b.pool, b.cut = pool, closer
	pool.Dial = func(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) {
		if b.dead.Load() {
			return nil, nil, coder.Errorf(coder.TargetLost, "the entry was killed")
		}
		return muxer.Dial(ctx, addr, cfg)
	}
	e, stop, err := entry.New(entry.Config{
		View: b.view.Load, Pool: pool, Call: b.keeper.call, Seed: seeds.Add(1), BodyTimeout: 200 * time.Millisecond,
		Ready: func() error {
			if b.stale.Load() {
				return coder.Errorf(coder.Stale, "")
			}
			return nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(e)
	faults := gbytes.NewBuffer()
	server.Config.ErrorLog = log.New(faults, "", 0)
	server.Start()
	DeferCleanup(func() { Expect(string(faults.Contents())).NotTo(ContainSubstring("panic")) })
	DeferCleanup(closer)
	DeferCleanup(stop)
	DeferCleanup(server.Close)
	b.entry, b.url = e, server.URL
	return b
}

// call sends a request with the headers given as "Name: value".
func (b *bench) call(method, path, body string, headers ...string) (*http.Response, string) {
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

var _ = Describe("serving", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("answers a prompt whole", func() {
		resp, text := b.call("POST", "/v1/completions", prompt)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(resp.Header.Get("Bramleyshunt-Code")).To(Equal("0"))
		Expect(text).To(ContainSubstring(`"text":"hello world"`))
		Expect(text).To(ContainSubstring(`"completion_tokens":2`))
	})

	It("answers a chat as events", func() {
		_, text := b.call("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
		Expect(text).To(HavePrefix(`data: {`))
		Expect(text).To(ContainSubstring(`"delta":{"role":"assistant","content":"hello"}`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("gives the engine no priority or length of the caller's making", func() {
		b.call("POST", "/v1/completions", `{"prompt":"x", "model":"m", "priority":99}`)
		Expect(string(b.engine.runs()[0].Body)).To(Equal(`{"max_tokens":16,"model":"m","prompt":"x","stream":true}`))
	})

	It("passes plain calls through, without the token", func() {
		resp, text := b.call("GET", "/service/portal/jobs/7?all=1", "", "X-Clerk: 12")
		Expect(resp.StatusCode).To(Equal(201), text)
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain"))
		Expect(text).To(Equal("hello world"))
		run := b.plain.runs()[0]
		Expect(run.Path).To(Equal("/jobs/7?all=1"))
		Expect(run.Headers).To(ContainElement(messenger.Header{Name: "X-Clerk", Value: "12"}))
		Expect(run.Headers).NotTo(ContainElement(HaveField("Name", "Authorization")))
	})

	It("predicts no answer tokens for a plain call", func() {
		b.call("GET", "/service/portal/jobs/7", "")
		Expect(b.plain.reserved()).To(And(HaveField("Prompt", 1), HaveField("Output", 0)))
	})

	DescribeTable("refusing", func(method, path, body string, want coder.Code, headers ...string) {
		resp, text := b.call(method, path, body, headers...)
		expectCode(resp, text, want)
		Expect(b.engine.runs()).To(BeEmpty())
	},
		Entry("wrong token", "POST", "/v1/completions", prompt, coder.Unauthenticated, "Authorization: Bearer x"),
		Entry("no token", "POST", "/v1/completions", prompt, coder.Unauthenticated, "Authorization: Basic dDp0"),
		Entry("forbidden service", "POST", "/v1/completions", prompt, coder.Forbidden, "Authorization: Bearer g"),
		Entry("malformed JSON", "POST", "/v1/completions", `{"model":`, coder.Malformed),
		Entry("other JSON", "POST", "/v1/completions", `[1]`, coder.Malformed),
		Entry("wrong type", "POST", "/v1/completions", `{"model":"m","prompt":7}`, coder.Malformed),
		Entry("no prompt", "POST", "/v1/completions", `{"model":"m"}`, coder.Malformed),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, coder.Malformed),
		Entry("negative bound", "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, coder.Malformed),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"z","prompt":"x"}`, coder.UnknownModel),
		Entry("unknown service", "GET", "/service/none/x", "", coder.UnknownService),
		Entry("engine as plain service", "GET", "/service/draft/x", "", coder.UnknownService),
		Entry("body too large", "POST", "/v1/completions", strings.Repeat("x", 20001), coder.TooLarge),
		Entry("prompt beyond the window", "POST", "/v1/completions", `{"model":"m","prompt":"`+strings.Repeat("x", 5000)+`"}`, coder.PromptTooLong),
		Entry("timeout not a number", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: soon"),
		Entry("timeout not a time", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: NaN"),
		Entry("timeout negative", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: -1"),
		Entry("timeout too long", "POST", "/v1/completions", prompt, coder.BadTimeout, "Request-Timeout: 31"),
		Entry("timeout too short", "POST", "/v1/completions", prompt, coder.Overloaded, "Request-Timeout: 0.01"),
		Entry("no target", "POST", "/v1/completions", `{"model":"nowhere","prompt":"x"}`, coder.NoTarget),
		Entry("no key", "POST", "/v1/completions", `{"model":"once","prompt":"x"}`, coder.KeyRequired),
		Entry("no key for a route", "POST", "/service/portal/ping", "", coder.KeyRequired),
		Entry("unknown path", "GET", "/v2", "", coder.NotFound),
		Entry("wrong method", "GET", "/v1/completions", "", coder.MethodNotAllowed),
		Entry("cancel of nothing named", "POST", "/v1/cancel", "", coder.Malformed),
	)

	It("holds an account to its rate", func() {
		resp, _ := b.call("POST", "/v1/completions", prompt, "Authorization: Bearer l")
		Expect(resp.StatusCode).To(Equal(200))
		resp, text := b.call("POST", "/v1/completions", prompt, "Authorization: Bearer l")
		expectCode(resp, text, coder.RateLimited)
	})

	It("doesn't wait for a body that never comes", func() {
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
