package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/setter"
)

// outputTokens is the length of each answer of the fake engine.
const outputTokens = 40

func newFaker(cfg faker.Config) *faker.Faker {
	GinkgoHelper()
	cfg.Model, cfg.Memory, cfg.Step = "m", 10000, 5*time.Millisecond
	f, closer, err := faker.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closer)
	return f
}

// startWithFaker starts an agent whose target is a fake engine or service reached over HTTP.
func startWithFaker(f *faker.Faker, kind string, change func(*agent.Config)) *node {
	GinkgoHelper()
	return start(nil, func(cfg *agent.Config) {
		cfg.Settings.Target = setter.Target{Kind: kind, Service: "s", URL: f.URL()}
		cfg.Driver = &driver.Driver{BaseURL: f.URL(), IdleTimeout: 400 * time.Millisecond}
		if change != nil {
			change(cfg)
		}
	})
}

func prompt() string {
	p, err := json.Marshal(map[string]any{"model": "m", "prompt": strings.Repeat("step", 50), "max_tokens": outputTokens})
	Expect(err).NotTo(HaveOccurred())
	return string(p)
}

// expectText receives the chunks from number from through to. If to is zero, it receives all
// chunks and the end.
func expectText(s *muxer.Stream, from, to uint64) {
	GinkgoHelper()
	for seq := from; to == 0 || seq <= to; seq++ {
		msg := receive(s)
		if msg.Kind == messenger.KindEnd {
			var end messenger.End
			Expect(msg.Decode(&end)).To(Succeed())
			Expect(end.Count).To(Equal(uint64(outputTokens)))
			Expect(end.Usage.Output).To(Equal(outputTokens))
			Expect(seq).To(Equal(end.Count + 1))
			return
		}
		var c messenger.Chunk
		Expect(msg.Decode(&c)).To(Succeed())
		Expect(c.Seq).To(Equal(seq))
	}
}

// expectFreed expects that the engine reports no memory in use and no live requests.
func expectFreed(f *faker.Faker) {
	GinkgoHelper()
	Eventually(f.Report).Should(And(HaveField("Used", 0), HaveField("Live", BeEmpty())))
}

var _ = Describe("an agent in front of an engine", func() {
	var f *faker.Faker

	BeforeEach(func() { f = newFaker(faker.Config{}) })

	It("streams a complete answer and leaves the engine idle", func() {
		n := startWithFaker(f, "engine", nil)
		m, _ := n.dial()
		expectText(n.begin(m, "a", prompt()), 1, 0)
		n.expectIdle()
		expectFreed(f)
	})

	It("fails attempts on a killed engine, reports them, and serves again after the restart", func() {
		n := startWithFaker(f, "engine", nil)
		m, _ := n.dial()
		incarnation := n.agent.Target().Incarnation
		s := n.begin(m, "a", prompt())
		expectText(s, 1, 3)
		f.Kill()
		expectEventuallyFailed(s, coder.TargetLost)
		Eventually(n.reported).Should(HaveExactElements(messenger.Suspect{Fingerprint: 77, Target: "n1", Incarnation: incarnation}))
		Expect(f.Restart()).To(Succeed())
		Eventually(func() bool { return n.agent.Target().Leaving }).Should(BeFalse())
		n.expectIdle()
		expectText(n.begin(m, "b", prompt()), 1, 0)
		expectFreed(f)
	})

	It("detects an engine that restarted between two reports", func() {
		n := startWithFaker(f, "engine", nil)
		m, _ := n.dial()
		s := n.begin(m, "a", prompt())
		expectText(s, 1, 3)
		Expect(f.Restart()).To(Succeed())
		expectEventuallyFailed(s, coder.TargetLost)
		Eventually(n.reported).Should(HaveLen(1))
	})

	DescribeTable("resumes an unresponsive stream", func(suspend func(), restore func()) {
		registry := metrics.NewRegistry()
		n := startWithFaker(f, "engine", func(cfg *agent.Config) { cfg.Metrics = registry })
		m, _ := n.dial()
		s := n.begin(m, "a", prompt())
		expectText(s, 1, 3)
		suspend()
		Eventually(counter(registry, "agent.taken-up")).Should(BeNumerically(">=", 1))
		restore()
		expectText(s, 4, 0)
		Expect(n.reported()).To(BeEmpty())
		n.expectIdle()
		expectFreed(f)
	},
		Entry("because the engine stops sending on its connection", func() { f.Hush() }, func() {}),
		Entry("because the engine is frozen", func() { f.Freeze() }, func() { f.Thaw() }),
	)

	It("frees the engine although cancel calls are lost", func() {
		var lost atomic.Int32
		d := &driver.Driver{BaseURL: f.URL()}
		n := startWithFaker(f, "engine", func(cfg *agent.Config) {
			cfg.Engine.Cancel = func(ctx context.Context, id string) error {
				if lost.Add(1) <= 2 {
					return coder.Errorf(coder.TargetLost, "cancel lost")
				}
				return d.Cancel(ctx, id)
			}
		})
		m, _ := n.dial()
		s := n.begin(m, "a", prompt())
		expectText(s, 1, 3)
		Expect(request(m, messenger.KindCancel, &messenger.Cancel{Attempt: "a"}, &messenger.Cancelled{})).To(Succeed())
		expectEventuallyFailed(s, coder.Cancelled)
		n.expectIdle()
		expectFreed(f)
		Expect(lost.Load()).To(BeNumerically(">", 2))
	})

	It("frees attempts of a killed agent, and reports their outcome as unknown", func() {
		p := &isolator{}
		old := startWithFaker(f, "engine", func(cfg *agent.Config) { p.install(cfg) })
		m, _ := old.dial()
		incarnation := old.agent.Target().Incarnation
		hold := old.runMessage("held", prompt())
		hold.Prefill = true
		s := old.grant(m, "held")
		Expect(s.Send(messenger.KindRun, hold)).To(Succeed())
		Expect(receive(s).Kind).To(Equal(messenger.KindEnd))
		expectText(old.begin(m, "a", prompt()), 1, 3)
		p.isolate()
		Expect(f.Report().Used).To(BeNumerically(">", 0))

		n := startWithFaker(f, "engine", nil)
		expectFreed(f)
		again, _ := n.dial()
		s, err := again.Open(messenger.KindResume, &messenger.Resume{Attempt: "a", Incarnation: incarnation, Seq: 3})
		Expect(err).NotTo(HaveOccurred())
		expectFailed(s, coder.WrongIncarnation, coder.Unknown)
		var v messenger.Voided
		Expect(request(again, messenger.KindVoid, &messenger.Void{Attempt: "a", Incarnation: incarnation}, &v)).To(Succeed())
		Expect(v.Run).To(Equal(coder.Unknown))
	})
})

var _ = Describe("an agent in front of a plain service", func() {
	It("executes each call at most once over connections that break", func() {
		f := newFaker(faker.Config{Kind: faker.KindPlain})
		n := startWithFaker(f, "plain", nil)
		post := func(id string) messenger.Run {
			return messenger.Run{Method: "POST", Path: "/ping?slow=0.02", Body: []byte(id)}
		}
		ran := 0
		for _, o := range sendAttempts(n, newRelay(n.addr, 7), 4, 20, post) {
			posts := f.Posts("/ping", o.id)
			Expect(posts).To(BeNumerically("<=", 1))
			if o.err == nil {
				ran++
				Expect(posts).To(Equal(1))
				Expect(o.text).To(ContainSubstring(fmt.Sprintf("%q", o.id)))
			} else if coder.Of(o.err).Run == coder.NotRun {
				Expect(posts).To(BeZero(), "%v", o.err)
			}
		}
		Expect(ran).To(BeNumerically(">", 0))
		n.expectIdle()
	})
})
