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

var gangText = strings.Repeat("äb c", 1920)

// crew is four targets under an entry, one of which is struck at a step of a gang.
type crew struct {
	b      *bench
	ahead  atomic.Int64 // of the agents' clocks, nanoseconds
	mu     sync.Mutex
	all    [4]*small
	step   int // steps seen
	at     int // struck at this one
	strike func(i int)
	lost   sync.Map // ids whose first cancel at the engine was lost
	done   chan struct{}
}

func newCrew(at int, strike func(c *crew, i int)) *crew {
	c := &crew{b: newBench(), at: at, done: make(chan struct{})}
	c.strike = func(i int) { strike(c, i) }
	for i := range c.all {
		f, closer, err := faker.New(faker.Config{Model: "m", Memory: 1000, Block: 10, Budget: 100, Step: 2 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closer)
		c.man(i, f)
	}
	var wg sync.WaitGroup
	wg.Go(c.look)
	DeferCleanup(func() {
		close(c.done)
		wg.Wait()
	})
	Eventually(func() int { return len(c.b.view.Load().Targets) }).Should(Equal(len(c.all)))
	return c
}

// man puts an agent in front of an engine. It counts the steps of a segment and
// loses the engine's first cancel of each attempt.
func (c *crew) man(i int, f *faker.Faker) {
	d := &driver.Driver{BaseURL: f.URL()}
	s := before(f, fmt.Sprint("t", i), func(cfg *agent.Config) {
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }
		cfg.Engine.Run = func(ctx context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error) {
			c.pass(i)
			first := true
			res, err := d.Run(ctx, r, func(p []byte) error {
				if first {
					first = false
					c.pass(i)
				}
				return emit(p)
			})
			c.pass(i)
			return res, err
		}
		cfg.Engine.Cancel = func(ctx context.Context, id string) error {
			if _, known := c.lost.LoadOrStore(id, true); !known {
				return coder.Errorf(coder.TargetLost, "cancel lost")
			}
			return d.Cancel(ctx, id)
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[i] = s
}

func (c *crew) pass(i int) {
	c.mu.Lock()
	n := c.step
	c.step++
	c.mu.Unlock()
	if n == c.at {
		c.strike(i)
	}
}

func (c *crew) get(i int) *small {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[i]
}

// look shows the entry the targets as they are now.
func (c *crew) look() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		v := &watcher.View{Version: 1, Config: config()}
		v.Config.Models["m"] = configurer.Model{Bytes: 4, Output: 16}
		for i := range c.all {
			v.Targets = append(v.Targets, c.get(i).agent.Target())
		}
		c.b.view.Store(v)
		select {
		case <-c.done:
			return
		case <-t.C:
		}
	}
}

// ask sends the long prompt and returns the text and whether the answer is whole.
func (c *crew) ask(ctx context.Context, stream bool) (string, bool, string) {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": gangText, "max_tokens": gangOutput, "stream": stream})
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

// expectIdle expects the idle figures everywhere. Only behind a killed entry
// time passes for the agents, so that leases end.
func (c *crew) expectIdle() {
	GinkgoHelper()
	for i := range c.all {
		Eventually(func() int {
			if c.b.dead.Load() {
				c.ahead.Add(int64(time.Second))
			}
			s := c.get(i)
			r := s.engine.Report()
			return s.agent.Target().Load.Used + r.Used + len(r.Live)
		}, "15s").Should(BeZero(), "target %d", i)
	}
}

var _ = Describe("a gang that is struck", func() {
	// Steps of a gang of three: start and end of two segments, then start, first
	// piece and end of the last.
	const steps = 7

	restart := func(c *crew, i int) { Expect(c.get(i).engine.Restart()).To(Succeed()) }
	replace := func(c *crew, i int) {
		old := c.get(i)
		go func() {
			defer GinkgoRecover()
			old.stop()
			c.man(i, old.engine)
		}()
	}

	cut := func(c *crew, i int) { c.b.pool.Forget(c.get(i).agent.Target().Address) }
	kill := func(c *crew, _ int) {
		c.b.dead.Store(true)
		c.b.cut()
	}

	for k := range steps {
		DescribeTable(fmt.Sprint("at step ", k, " answers whole or with a code, and leaves no memory behind"),
			func(stream bool, strike func(c *crew, i int)) {
				c := newCrew(k, strike)
				text, whole, raw := c.ask(context.Background(), stream)
				want := faker.Answer(gangText, gangOutput)
				if whole {
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
			Entry("connection is lost", false, cut),
			Entry("connection is lost, streamed", true, cut),
		)
		DescribeTable(fmt.Sprint("at step ", k, " and given up leaves no memory behind"),
			func(strike func(c *crew, i int)) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := newCrew(k, func(c *crew, i int) {
					strike(c, i)
					cancel()
				})
				_, _, _ = c.ask(ctx, true)
				Expect(ctx.Err()).To(HaveOccurred())
				c.expectIdle()
			},
			Entry("its caller leaves", func(*crew, int) {}),
			Entry("the entry is killed", kill),
		)
	}
})
