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

// startTarget starts a target, with model m if none is set, and returns it with a
// driver for it.
func startTarget(cfg faker.Config) (*faker.Faker, *driver.Driver) {
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

// collector collects the text of a stream. If limit is not zero, it stops the
// stream after that many events.
type collector struct {
	text    strings.Builder
	count   int
	limit   int
	onEvent func()
}

var errLimit = coder.Errorf(coder.Cancelled, "event limit reached")

func (c *collector) emit(data []byte) error {
	var t driver.Text
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	c.text.WriteString(t.Text)
	c.count++
	if c.onEvent != nil {
		c.onEvent()
	}
	if c.count == c.limit {
		return errLimit
	}
	return nil
}

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
}

func expectComplete(d *driver.Driver, id, prompt string, output int) {
	GinkgoHelper()
	r := &collector{}
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

// startLongRun starts a long run in the background. It returns once the first token
// has arrived, with a channel that receives the error of the run.
func startLongRun(d *driver.Driver, id, prompt string) <-chan error {
	firstToken, outcome := make(chan struct{}), make(chan error, 1)
	r := &collector{}
	r.onEvent = func() {
		if r.count == 1 {
			close(firstToken)
		}
	}
	go func() {
		_, err := d.Run(ctx, request(id, prompt, 100_000), r.emit)
		outcome <- err
	}()
	Eventually(firstToken).Should(BeClosed())
	return outcome
}

func expectRunError(outcome <-chan error, want coder.Code) {
	GinkgoHelper()
	var err error
	Eventually(outcome).Should(Receive(&err))
	expectCode(err, want)
}

var _ = Describe("A run", func() {
	It("streams the complete answer to its prompt", func() {
		_, d := startTarget(faker.Config{})
		expectComplete(d, "a", "where is runner seven", 20)
		expectComplete(d, "b", "when is the renewal due", 5)
	})

	It("is answered in one response when no stream is requested", func() {
		f, _ := startTarget(faker.Config{})
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

	It("accepts messages as well as a prompt", func() {
		_, d := startTarget(faker.Config{})
		r := &collector{}
		messages := []byte(`{"messages":[{"role":"system","content":"be short"},{"role":"user","content":"hello"}],"max_tokens":3}`)
		_, err := d.Run(ctx, driver.Request{ID: "a", Body: messages}, r.emit)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.text.String()).To(Equal(faker.Answer("be short\nhello", 3)))
	})

	It("can be resumed in mid-stream and after its end", func() {
		_, d := startTarget(faker.Config{})
		r := &collector{limit: 3}
		_, err := d.Run(ctx, request("a", "hello", 30), r.emit)
		Expect(err).To(MatchError(errLimit))
		for range 2 {
			rest := &collector{}
			res, err := d.Resume(ctx, "a", 3, rest.emit)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Usage.Output).To(Equal(30))
			Expect(r.text.String() + rest.text.String()).To(Equal(faker.Answer("hello", 30)))
		}
	})

	It("cannot be resumed if the engine has no record of it", func() {
		_, d := startTarget(faker.Config{})
		_, err := d.Resume(ctx, "a", 0, (&collector{}).emit)
		expectCode(err, coder.UnknownAttempt)
	})

	It("releases its memory when cancelled, and its stream ends with an error code", func() {
		f, d := startTarget(faker.Config{})
		outcome := startLongRun(d, "a", "hello")
		Expect(f.Report().Live).To(Equal([]string{"a"}))
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectRunError(outcome, coder.Cancelled)
		Expect(f.Report().Used).To(BeZero())
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		Expect(d.Cancel(ctx, "b")).To(Succeed())
	})

	It("is ended at its deadline", func() {
		f, d := startTarget(faker.Config{})
		r := request("a", "hello", 100_000)
		r.Remaining = 50 * time.Millisecond
		_, err := d.Run(ctx, r, (&collector{}).emit)
		expectCode(err, coder.DeadlineExceeded)
		Expect(f.Report().Used).To(BeZero())
	})

	It("is refused with an error code if it is invalid", func() {
		_, d := startTarget(faker.Config{Memory: 100})
		_, err := d.Run(ctx, driver.Request{ID: "a", Body: []byte("{")}, nil)
		expectCode(err, coder.Malformed)
		_, err = d.Run(ctx, request("a", strings.Repeat("long", 101), 1), nil)
		expectCode(err, coder.PromptTooLong)
		_, err = d.Run(ctx, driver.Request{ID: "a", Body: []byte("{}"), Import: []byte("junk")}, nil)
		expectCode(err, coder.Malformed)
	})
})

var _ = Describe("KV export and import", func() {
	It("produces the answer of a single engine for a prompt prefilled on several engines", func() {
		prompt := strings.Repeat("a tender pack of many pages. ", 1000)
		third := len(prompt) / 3
		segments := []string{prompt[:third], prompt[third : 2*third], prompt[2*third:]}
		var export []byte
		var fakers []*faker.Faker
		for i, segment := range segments[:2] {
			f, d := startTarget(faker.Config{Memory: 4000})
			r := driver.Request{ID: fmt.Sprint("s", i), Body: body(segment, 9), Import: export, Prefill: true}
			res, err := d.Run(ctx, r, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.FinishReason).To(Equal("export"))
			Expect(f.Report().Used).To(Equal(res.Usage.Prompt))
			export = res.Export
			fakers = append(fakers, f)
			DeferCleanup(func() { Expect(d.Cancel(ctx, r.ID)).To(Succeed()); Expect(f.Report().Used).To(BeZero()) })
		}
		last, d := startTarget(faker.Config{Memory: 4000})
		r := &collector{}
		_, err := d.Run(ctx, driver.Request{ID: "s2", Body: body(segments[2], 9), Import: export}, r.emit)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.text.String()).To(Equal(faker.Answer(prompt, 9)))
		Expect(last.Report().Used).To(BeZero())
		Expect(fakers[0].Report().Live).To(Equal([]string{"s0"}))
	})
})

var _ = Describe("A run on an imported prefix", func() {
	It("ends with an error code when the engine that holds the prefix is lost", func() {
		first, d := startTarget(faker.Config{})
		res, err := d.Run(ctx, driver.Request{ID: "s", Body: body("beginning", 1), Prefill: true}, nil)
		Expect(err).NotTo(HaveOccurred())
		last, d := startTarget(faker.Config{})
		outcome := make(chan error, 1)
		r := driver.Request{ID: "r", Body: body("end", 100_000), Import: res.Export}
		go func() {
			_, err := d.Run(ctx, r, (&collector{}).emit)
			outcome <- err
		}()
		Eventually(func() int { return last.Report().Running }).Should(Equal(1))
		first.Kill()
		expectRunError(outcome, coder.GangLost)
		eventuallyUsed(last, 0)
		r.ID = "again"
		_, err = d.Run(ctx, r, nil)
		expectCode(err, coder.GangLost)
	})
})

var _ = Describe("An injected failure", func() {
	It("kill: ends streams at once, refuses connections and loses the memory", func() {
		f, d := startTarget(faker.Config{})
		outcome := startLongRun(d, "a", "hello")
		before := f.Report().Incarnation
		f.Kill()
		expectRunError(outcome, coder.TargetLost)
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

	It("freeze: counts as a lost target, and the run resumes after the unfreeze", func() {
		f, d := startTarget(faker.Config{})
		d.IdleTimeout = 200 * time.Millisecond
		defaultDriver := &driver.Driver{BaseURL: f.URL()} // with the default idle timeout
		outcome := startLongRun(defaultDriver, "a", "hello")
		f.Freeze()
		_, err := d.Report(ctx)
		expectCode(err, coder.TargetLost)
		_, err = d.Run(ctx, request("b", "hello", 1), nil)
		expectCode(err, coder.TargetLost)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		f.Unfreeze()
		Consistently(outcome, "100ms").ShouldNot(Receive())
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectRunError(outcome, coder.Cancelled)
	})

	It("stalled connection: ends its stream, which a new connection can resume", func() {
		f, d := startTarget(faker.Config{})
		d.IdleTimeout = 200 * time.Millisecond
		outcome := startLongRun(d, "a", "hello")
		f.StallConnections()
		expectRunError(outcome, coder.TargetLost)
		r := &collector{limit: 5}
		_, err := d.Resume(ctx, "a", 0, r.emit)
		Expect(err).To(MatchError(errLimit))
	})

	It("crash text: a prompt that contains it crashes the engine, which restarts", func() {
		f, d := startTarget(faker.Config{CrashText: "poison", RestartDelay: 10 * time.Millisecond})
		before := f.Report().Incarnation
		outcome := startLongRun(d, "bystander", "hello")
		_, err := d.Run(ctx, request("bad", "some poison here", 5), nil)
		expectCode(err, coder.TargetLost)
		expectRunError(outcome, coder.TargetLost)
		Eventually(func() uint64 { return f.Report().Incarnation }).Should(BeNumerically(">", before))
		expectComplete(d, "good", "hello", 3)
	})
})
