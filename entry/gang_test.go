package entry_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/faker"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

// engineAgent is a simulated engine with memory for 1,000 tokens, and its agent.
type engineAgent struct {
	engine *faker.Faker
	agent  *agent.Agent
	stop   func()
}

func newEngineAgent(id string) *engineAgent {
	GinkgoHelper()
	f, closeFaker, err := faker.New(faker.Config{Model: "m", Memory: 1000, Block: 10, Budget: 100, Step: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeFaker)
	return startAgent(f, id, nil)
}

// startAgent starts an agent for an engine.
func startAgent(f *faker.Faker, id string, change func(*agent.Config)) *engineAgent {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	cfg := agent.Config{ReportInterval: 20 * time.Millisecond, Settings: &setter.Setter{
		Node: id, Listen: l.Addr().String(),
		Target: setter.Target{Kind: "engine", Service: "draft", Model: "m", URL: f.URL()},
	}}
	if change != nil {
		change(&cfg)
	}
	a, stop, err := agent.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	stop = sync.OnceFunc(stop)
	DeferCleanup(stop)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = muxer.Serve(ctx, l, muxer.Config{Node: id}, func(ctx context.Context, s *muxer.Stream) {
			if msg, err := s.Receive(ctx); err == nil {
				a.Handle(ctx, s, msg)
			}
		})
	})
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
	Eventually(func() messenger.Target { return a.Target() }).Should(And(HaveField("Leaving", false), HaveField("Load.Memory", 1000)))
	return &engineAgent{engine: f, agent: a, stop: stop}
}

var _ = Describe("prompts that exceed the memory of one engine", func() {
	var (
		b       *testBed
		targets []*engineAgent
	)

	// refreshView updates the entry's view to the current state of the targets.
	refreshView := func() {
		v := &watcher.View{Version: 1, Config: config()}
		v.Config.Models["m"] = configurer.Model{Bytes: 4, Output: 16}
		for _, s := range targets {
			v.Targets = append(v.Targets, s.agent.Target())
		}
		b.view.Store(v)
	}

	BeforeEach(func() {
		b = newTestBed()
		targets = nil
		for _, id := range []string{"a", "b", "c", "d"} {
			targets = append(targets, newEngineAgent(id))
		}
		refreshView()
	})

	long := `{"model":"m","max_tokens":8,"prompt":"` + strings.Repeat("äb c", 1920) + `"}`

	expectIdle := func() {
		GinkgoHelper()
		for _, s := range targets {
			Eventually(func() int { return s.engine.Report().Used }, "5s").Should(BeZero())
			Eventually(func() int { return s.agent.Target().Load.Used }, "5s").Should(BeZero())
		}
	}

	It("are answered by a gang that then releases its memory", func() {
		resp, text := b.call("POST", "/v1/completions", long)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(text).To(ContainSubstring(`"completion_tokens":8`))
		expectIdle()
	})

	It("can be streamed", func() {
		_, text := b.call("POST", "/v1/completions", strings.Replace(long, "{", `{"stream":true,`, 1))
		Expect(text).To(HavePrefix("data: {"))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		expectIdle()
	})

	It("are answered by another attempt when a member of the gang is lost", func() {
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := b.call("POST", "/v1/completions", long)
			answered <- text
		}()
		Eventually(func() int { return targets[0].engine.Report().Used }).Should(BeNumerically(">", 0))
		targets[0].engine.Kill()
		Expect(targets[0].engine.Restart()).To(Succeed())
		Eventually(func() chan string {
			refreshView()
			return answered
		}, "5s").Should(Receive(ContainSubstring(`"completion_tokens":8`)))
		expectIdle()
	})

	It("can be cancelled through another entry", func() {
		other := newTestBed()
		other.view.Store(b.view.Load())
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := b.call("POST", "/v1/completions", strings.Replace(long, `"max_tokens":8`, `"max_tokens":300`, 1), "Batch: b")
			answered <- text
		}()
		Eventually(func() string {
			_, text := other.call("POST", "/v1/cancel", "", "Batch: b")
			return text
		}, "5s").Should(And(ContainSubstring(`"cancelled":0`), MatchRegexp(`"elsewhere":[1-9]`)))
		Eventually(answered, "5s").Should(Receive(ContainSubstring("Cancelled")))
	})

	It("are refused at once when they exceed the memory of all targets together", func() {
		resp, text := b.call("POST", "/v1/completions", `{"model":"m","prompt":"`+strings.Repeat("x", 9999)+strings.Repeat("x", 6400)+`"}`)
		Expect(resp.StatusCode).To(Equal(413), text)
	})

	It("release the memory of all targets when the caller cancels", func() {
		var wg sync.WaitGroup
		var text string
		wg.Go(func() {
			defer GinkgoRecover()
			_, text = b.call("POST", "/v1/completions", long, "Batch: b")
		})
		Eventually(func() int { return b.entry.Status().Active }).Should(Equal(1))
		Eventually(func() int { return targets[0].agent.Target().Load.Used + targets[1].agent.Target().Load.Used }).Should(BeNumerically(">", 0))
		b.call("POST", "/v1/cancel", "", "Batch: b")
		wg.Wait()
		Expect(text).To(Or(ContainSubstring(coder.Cancelled.String()), ContainSubstring(`"completion_tokens":8`)))
		expectIdle()
	})
})
