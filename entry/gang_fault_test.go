package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/watcher"
)

const gangOutput = 8 // tokens

var gangPrompt = strings.Repeat("äb c", 1920)

// gangTest is an entry with four targets. A fault is injected at a target when a gang
// reaches a given step.
type gangTest struct {
	b           *testBed
	clockOffset atomic.Int64 // added to the agents' clocks, nanoseconds
	mu          sync.Mutex
	targets     [4]*engineAgent
	reached     int // number of steps that the gang has reached
	faultStep   int // step at which the fault is injected
	inject      func(i int)
	cancelLost  sync.Map // IDs of attempts whose first cancel was dropped
	done        chan struct{}
}

func newGangTest(faultStep int, inject func(c *gangTest, i int)) *gangTest {
	c := &gangTest{b: newTestBed(), faultStep: faultStep, done: make(chan struct{})}
	c.inject = func(i int) { inject(c, i) }
	for i := range c.targets {
		f, closer, err := faker.New(faker.Config{Model: "m", Memory: 1000, Block: 10, Budget: 100, Step: 2 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closer)
		c.startAgent(i, f)
	}
	var wg sync.WaitGroup
	wg.Go(c.refreshView)
	DeferCleanup(func() {
		close(c.done)
		wg.Wait()
	})
	Eventually(func() int { return len(c.b.view.Load().Targets) }).Should(Equal(len(c.targets)))
	return c
}

// startAgent starts an agent for an engine, with a driver that counts the steps of the gang
// and drops the first cancel of each attempt.
func (c *gangTest) startAgent(i int, f *faker.Faker) {
	d := &driver.Driver{BaseURL: f.URL()}
	s := startAgent(f, fmt.Sprint("t", i), func(cfg *agent.Config) {
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }
		cfg.Engine.Run = func(ctx context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error) {
			c.reachStep(i)
			first := true
			res, err := d.Run(ctx, r, func(p []byte) error {
				if first {
					first = false
					c.reachStep(i)
				}
				return emit(p)
			})
			c.reachStep(i)
			return res, err
		}
		cfg.Engine.Cancel = func(ctx context.Context, id string) error {
			if _, known := c.cancelLost.LoadOrStore(id, true); !known {
				return coder.Errorf(coder.TargetLost, "cancel dropped")
			}
			return d.Cancel(ctx, id)
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[i] = s
}

// reachStep counts a step and injects the fault at target i if the step is the chosen one.
func (c *gangTest) reachStep(i int) {
	c.mu.Lock()
	n := c.reached
	c.reached++
	c.mu.Unlock()
	if n == c.faultStep {
		c.inject(i)
	}
}

func (c *gangTest) target(i int) *engineAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[i]
}

// refreshView keeps the entry's view up to date with the state of the targets until the
// test ends.
func (c *gangTest) refreshView() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		v := &watcher.View{Version: 1, Config: config()}
		v.Config.Models["m"] = configurer.Model{Bytes: 4, Output: 16}
		for i := range c.targets {
			v.Targets = append(v.Targets, c.target(i).agent.Target())
		}
		c.b.view.Store(v)
		select {
		case <-c.done:
			return
		case <-t.C:
		}
	}
}

// complete sends the long prompt and returns the generated text, whether the answer is
// complete, and the raw body.
func (c *gangTest) complete(ctx context.Context, stream bool) (string, bool, string) {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": gangPrompt, "max_tokens": gangOutput, "stream": stream})
	Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequestWithContext(ctx, "POST", c.b.url+"/v1/completions", strings.NewReader(string(body)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer t")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", false, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	p, _ := io.ReadAll(resp.Body)
	text := ""
	for line := range strings.Lines(string(p)) {
		var got struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &got) == nil && len(got.Choices) > 0 {
			text += got.Choices[0].Text
		}
	}
	return text, strings.Contains(string(p), `"completion_tokens"`), string(p)
}

// expectIdle expects that no target holds memory or runs a request. If the entry was killed,
// it advances the clocks of the agents, as only the end of the leases releases the memory.
func (c *gangTest) expectIdle() {
	GinkgoHelper()
	for i := range c.targets {
		Eventually(func() int {
			if c.b.killed.Load() {
				c.clockOffset.Add(int64(time.Second))
			}
			s := c.target(i)
			r := s.engine.Report()
			return s.agent.Target().Load.Used + r.Used + len(r.Live)
		}, "15s").Should(BeZero(), "target %d", i)
	}
}

var _ = Describe("a gang with an injected fault", func() {
	// The steps of a gang of three targets: the start and end of the first two segments,
	// then the start, first chunk and end of the last segment.
	const steps = 7

	restart := func(c *gangTest, i int) { Expect(c.target(i).engine.Restart()).To(Succeed()) }
	replace := func(c *gangTest, i int) {
		old := c.target(i)
		go func() {
			defer GinkgoRecover()
			old.stop()
			c.startAgent(i, old.engine)
		}()
	}

	disconnect := func(c *gangTest, i int) { c.b.pool.Forget(c.target(i).agent.Target().Address) }
	kill := func(c *gangTest, _ int) {
		c.b.killed.Store(true)
		c.b.closeConns()
	}

	// The agent is replaced with streaming at odd steps and without it at even ones.
	for k := range steps {
		DescribeTable(fmt.Sprint("at step ", k, " returns a complete answer or an error code, and releases all memory"),
			func(stream bool, inject func(c *gangTest, i int)) {
				c := newGangTest(k, inject)
				text, complete, raw := c.complete(context.Background(), stream)
				want := faker.Answer(gangPrompt, gangOutput)
				if complete {
					Expect(text).To(Equal(want))
				} else {
					Expect(stream).To(BeTrue(), raw)
					Expect(raw).To(ContainSubstring("event: error"))
					Expect(want).To(HavePrefix(text))
				}
				c.expectIdle()
			},
			Entry("engine restarts", false, restart),
			Entry("engine restarts, streamed", true, restart),
			Entry("agent is replaced", k%2 == 1, replace),
			Entry("connection is lost", false, disconnect),
			Entry("connection is lost, streamed", true, disconnect),
		)
		DescribeTable(fmt.Sprint("at step ", k, " releases all memory when the request is abandoned"),
			func(inject func(c *gangTest, i int)) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := newGangTest(k, func(c *gangTest, i int) {
					inject(c, i)
					cancel()
				})
				_, _, _ = c.complete(ctx, true)
				Eventually(ctx.Done(), "30s").Should(BeClosed(), "the fault was injected and the request cancelled")
				c.expectIdle()
			},
			Entry("the caller disconnects", func(*gangTest, int) {}),
			Entry("the entry is killed", kill),
		)
	}
})
