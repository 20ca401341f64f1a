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

// small is an engine stand-in of 1,000 tokens with its agent.
type small struct {
	engine *faker.Faker
	agent  *agent.Agent
	stop   func()
}

func newSmall(id string) *small {
	GinkgoHelper()
	f, closeFaker, err := faker.New(faker.Config{Model: "m", Memory: 1000, Block: 10, Budget: 100, Step: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeFaker)
	return before(f, id, nil)
}

// before puts an agent in front of an engine.
func before(f *faker.Faker, id string, change func(*agent.Config)) *small {
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
	return &small{engine: f, agent: a, stop: stop}
}

var _ = Describe("prompts beyond one engine's memory", func() {
	var (
		b    *bench
		four []*small
	)

	// look has the entry see the targets as they are now.
	look := func() {
		v := &watcher.View{Version: 1, Config: config()}
		v.Config.Models["m"] = configurer.Model{Bytes: 4, Output: 16}
		for _, s := range four {
			v.Targets = append(v.Targets, s.agent.Target())
		}
		b.view.Store(v)
	}

	BeforeEach(func() {
		b = newBench()
		four = nil
		for _, id := range []string{"a", "b", "c", "d"} {
			four = append(four, newSmall(id))
		}
		look()
	})

	long := `{"model":"m","max_tokens":8,"prompt":"` + strings.Repeat("äb c", 1920) + `"}`

	expectIdle := func() {
		GinkgoHelper()
		for _, s := range four {
			Eventually(func() int { return s.engine.Report().Used }, "5s").Should(BeZero())
			Eventually(func() int { return s.agent.Target().Load.Used }, "5s").Should(BeZero())
		}
	}

	It("are answered by a gang, and leave no memory held", func() {
		resp, text := b.call("POST", "/v1/completions", long)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(text).To(ContainSubstring(`"completion_tokens":8`))
		expectIdle()
	})

	It("stream as any other answer", func() {
		_, text := b.call("POST", "/v1/completions", strings.Replace(long, "{", `{"stream":true,`, 1))
		Expect(text).To(HavePrefix("data: {"))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		expectIdle()
	})

	It("start anew when a member is lost", func() {
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := b.call("POST", "/v1/completions", long)
			answered <- text
		}()
		Eventually(func() int { return four[0].engine.Report().Used }).Should(BeNumerically(">", 0))
		four[0].engine.Kill()
		Expect(four[0].engine.Restart()).To(Succeed())
		Eventually(func() chan string {
			look()
			return answered
		}, "5s").Should(Receive(ContainSubstring(`"completion_tokens":8`)))
		expectIdle()
	})

	It("are cancelled through another entry", func() {
		other := newBench()
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

	It("are refused at once when all targets together can't hold them", func() {
		resp, text := b.call("POST", "/v1/completions", `{"model":"m","prompt":"`+strings.Repeat("x", 9999)+strings.Repeat("x", 6400)+`"}`)
		Expect(resp.StatusCode).To(Equal(413), text)
	})

	It("free all members when the caller cancels", func() {
		var wg sync.WaitGroup
		var text string
		wg.Go(func() {
			defer GinkgoRecover()
			_, text = b.call("POST", "/v1/completions", long, "Batch: b")
		})
		Eventually(func() int { return b.entry.Status().Active }).Should(Equal(1))
		Eventually(func() int { return four[0].agent.Target().Load.Used + four[1].agent.Target().Load.Used }).Should(BeNumerically(">", 0))
		b.call("POST", "/v1/cancel", "", "Batch: b")
		wg.Wait()
		Expect(text).To(Or(ContainSubstring(coder.Cancelled.String()), ContainSubstring(`"completion_tokens":8`)))
		expectIdle()
	})
})
