package faker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
)

func TestFaker(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "faker")
}

var ctx = context.Background()

// begin starts a target and a driver for it.
func begin(cfg faker.Config) (*faker.Faker, *driver.Driver) {
	GinkgoHelper()
	if cfg.Model == "" {
		cfg.Model = "m"
	}
	f, closer, err := faker.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closer)
	return f, &driver.Driver{BaseURL: f.URL()}
}

func body(prompt string, output int) []byte {
	data, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": output})
	Expect(err).NotTo(HaveOccurred())
	return data
}

func request(id, prompt string, output int) driver.Request {
	return driver.Request{ID: id, Body: body(prompt, output)}
}

// reader collects the text of a stream. It stops the stream after limit events
// if that is not zero.
type reader struct {
	text  strings.Builder
	count int
	limit int
	seen  func()
}

var errLimit = coder.Errorf(coder.Cancelled, "limit of the reader")

func (r *reader) emit(data []byte) error {
	var t driver.Text
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	r.text.WriteString(t.Text)
	r.count++
	if r.seen != nil {
		r.seen()
	}
	if r.count == r.limit {
		return errLimit
	}
	return nil
}

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
}

func expectWhole(d *driver.Driver, id, prompt string, output int) {
	GinkgoHelper()
	r := &reader{}
	res, err := d.Run(ctx, request(id, prompt, output), r.emit)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.text.String()).To(Equal(faker.Answer(prompt, output)))
	Expect(res.Usage.Output).To(Equal(output))
	Expect(res.FinishReason).To(Equal("length"))
}

func eventuallyUsed(f *faker.Faker, tokens int) {
	GinkgoHelper()
	Eventually(func() int { return f.Report().Used }).Should(Equal(tokens))
}

// running starts a long request that nobody waits for and returns once it has
// sent a token, with the channel of its outcome.
func running(d *driver.Driver, id, prompt string) <-chan error {
	first, out := make(chan struct{}), make(chan error, 1)
	r := &reader{}
	r.seen = func() {
		if r.count == 1 {
			close(first)
		}
	}
	go func() {
		_, err := d.Run(ctx, request(id, prompt, 100_000), r.emit)
		out <- err
	}()
	Eventually(first).Should(BeClosed())
	return out
}

func expectOutcome(out <-chan error, want coder.Code) {
	GinkgoHelper()
	var err error
	Eventually(out).Should(Receive(&err))
	expectCode(err, want)
}

var _ = Describe("a run", func() {
	It("streams the whole answer to its own prompt", func() {
		_, d := begin(faker.Config{})
		expectWhole(d, "a", "where is runner seven", 20)
		expectWhole(d, "b", "when is the renewal due", 5)
	})

	It("answers whole when no stream is asked for", func() {
		f, _ := begin(faker.Config{})
		req, err := http.NewRequest(http.MethodPost, f.URL()+"/run", strings.NewReader(string(body("hello", 7))))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(driver.HeaderID, "a")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(MatchJSON(fmt.Sprintf(`{"text":%q,"done":"length","usage":{"prompt":2,"cached":0,"output":7}}`, faker.Answer("hello", 7))))
	})

	It("takes messages as well as a prompt", func() {
		_, d := begin(faker.Config{})
		r := &reader{}
		chat := []byte(`{"messages":[{"role":"system","content":"be short"},{"role":"user","content":"hello"}],"max_tokens":3}`)
		_, err := d.Run(ctx, driver.Request{ID: "a", Body: chat}, r.emit)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.text.String()).To(Equal(faker.Answer("be short\nhello", 3)))
	})

	It("is resumed in mid-stream and after its end", func() {
		_, d := begin(faker.Config{})
		r := &reader{limit: 3}
		_, err := d.Run(ctx, request("a", "hello", 30), r.emit)
		Expect(err).To(MatchError(errLimit))
		for range 2 {
			rest := &reader{}
			res, err := d.Resume(ctx, "a", 3, rest.emit)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Usage.Output).To(Equal(30))
			Expect(r.text.String() + rest.text.String()).To(Equal(faker.Answer("hello", 30)))
		}
	})

	It("can't be resumed when the engine does not have it", func() {
		_, d := begin(faker.Config{})
		_, err := d.Resume(ctx, "a", 0, (&reader{}).emit)
		expectCode(err, coder.UnknownAttempt)
	})

	It("frees its memory when cancelled, and its stream ends with a code", func() {
		f, d := begin(faker.Config{})
		out := running(d, "a", "hello")
		Expect(f.Report().Live).To(Equal([]string{"a"}))
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectOutcome(out, coder.Cancelled)
		Expect(f.Report().Used).To(BeZero())
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		Expect(d.Cancel(ctx, "b")).To(Succeed())
	})

	It("ends when its time is over", func() {
		f, d := begin(faker.Config{})
		r := request("a", "hello", 100_000)
		r.Remaining = 50 * time.Millisecond
		_, err := d.Run(ctx, r, (&reader{}).emit)
		expectCode(err, coder.DeadlineExceeded)
		Expect(f.Report().Used).To(BeZero())
	})

	It("is refused with a code when it is bad", func() {
		_, d := begin(faker.Config{Memory: 100})
		_, err := d.Run(ctx, driver.Request{ID: "a", Body: []byte("{")}, nil)
		expectCode(err, coder.Malformed)
		_, err = d.Run(ctx, request("a", strings.Repeat("long", 101), 1), nil)
		expectCode(err, coder.PromptTooLong)
		_, err = d.Run(ctx, driver.Request{ID: "a", Body: []byte("{}"), Import: []byte("junk")}, nil)
		expectCode(err, coder.Malformed)
	})
})

var _ = Describe("KV export and import", func() {
	It("carries a prompt over several engines as if it were on one", func() {
		prompt := strings.Repeat("a tender pack of many pages. ", 1000)
		third := len(prompt) / 3
		segments := []string{prompt[:third], prompt[third : 2*third], prompt[2*third:]}
		var export []byte
		var fakers []*faker.Faker
		for i, segment := range segments[:2] {
			f, d := begin(faker.Config{Memory: 4000})
			r := driver.Request{ID: fmt.Sprint("s", i), Body: body(segment, 9), Import: export, Prefill: true}
			res, err := d.Run(ctx, r, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.FinishReason).To(Equal("export"))
			Expect(f.Report().Used).To(Equal(res.Usage.Prompt))
			export = res.Export
			fakers = append(fakers, f)
			DeferCleanup(func() { Expect(d.Cancel(ctx, r.ID)).To(Succeed()); Expect(f.Report().Used).To(BeZero()) })
		}
		last, d := begin(faker.Config{Memory: 4000})
		r := &reader{}
		_, err := d.Run(ctx, driver.Request{ID: "s2", Body: body(segments[2], 9), Import: export}, r.emit)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.text.String()).To(Equal(faker.Answer(prompt, 9)))
		Expect(last.Report().Used).To(BeZero())
		Expect(fakers[0].Report().Live).To(Equal([]string{"s0"}))
	})
})

var _ = Describe("a run on an imported prefix", func() {
	It("ends with a code when the engine that holds the prefix is lost", func() {
		first, d := begin(faker.Config{})
		res, err := d.Run(ctx, driver.Request{ID: "s", Body: body("beginning", 1), Prefill: true}, nil)
		Expect(err).NotTo(HaveOccurred())
		last, d := begin(faker.Config{})
		out := make(chan error, 1)
		r := driver.Request{ID: "r", Body: body("end", 100_000), Import: res.Export}
		go func() {
			_, err := d.Run(ctx, r, (&reader{}).emit)
			out <- err
		}()
		Eventually(func() int { return last.Report().Running }).Should(Equal(1))
		first.Kill()
		expectOutcome(out, coder.GangLost)
		eventuallyUsed(last, 0)
		r.ID = "again"
		_, err = d.Run(ctx, r, nil)
		expectCode(err, coder.GangLost)
	})
})

var _ = Describe("failures", func() {
	It("a kill ends streams at once, refuses dials and loses memory", func() {
		f, d := begin(faker.Config{})
		out := running(d, "a", "hello")
		before := f.Report().Incarnation
		f.Kill()
		expectOutcome(out, coder.TargetLost)
		_, err := d.Report(ctx)
		expectCode(err, coder.TargetLost)
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
		Expect(f.Restart()).To(Succeed())
		rep, err := d.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Incarnation).To(BeNumerically(">", before))
		Expect(rep.Used).To(BeZero())
		_, err = d.Resume(ctx, "a", 1, nil)
		expectCode(err, coder.UnknownAttempt)
	})

	It("a frozen engine counts as lost, and goes on when thawed", func() {
		f, d := begin(faker.Config{})
		d.IdleTimeout = 200 * time.Millisecond
		slow := &driver.Driver{BaseURL: f.URL()}
		out := running(slow, "a", "hello")
		f.Freeze()
		_, err := d.Report(ctx)
		expectCode(err, coder.TargetLost)
		_, err = d.Run(ctx, request("b", "hello", 1), nil)
		expectCode(err, coder.TargetLost)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		f.Thaw()
		Consistently(out, "100ms").ShouldNot(Receive())
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectOutcome(out, coder.Cancelled)
	})

	It("a silent connection ends its stream while a new one resumes it", func() {
		f, d := begin(faker.Config{})
		d.IdleTimeout = 200 * time.Millisecond
		out := running(d, "a", "hello")
		f.Hush()
		expectOutcome(out, coder.TargetLost)
		r := &reader{limit: 5}
		_, err := d.Resume(ctx, "a", 0, r.emit)
		Expect(err).To(MatchError(errLimit))
	})

	It("a prompt with the crash text takes the engine down, and it comes back", func() {
		f, d := begin(faker.Config{Crash: "poison", Revive: 10 * time.Millisecond})
		before := f.Report().Incarnation
		out := running(d, "bystander", "hello")
		_, err := d.Run(ctx, request("bad", "some poison here", 5), nil)
		expectCode(err, coder.TargetLost)
		expectOutcome(out, coder.TargetLost)
		Eventually(func() uint64 { return f.Report().Incarnation }).Should(BeNumerically(">", before))
		expectWhole(d, "good", "hello", 3)
	})
})
