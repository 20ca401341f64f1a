package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/segmenter"
)

// gangPrompt is more than twice the memory of an engine of newFaker. Its cuts
// fall inside characters.
var gangPrompt = strings.Repeat("Ngorongoro é ü ß", 25000*4/19)

// post is one target of the fleet under test.
type post struct {
	f *faker.Faker
	n *node
}

// fleet is an entry with a Segmenter over four targets.
type fleet struct {
	clock *clock
	posts [4]*post
	pool  *pooler.Pooler
	cut   func()          // closes the entry's connections
	ctx   context.Context // of the entry
	dead  context.CancelFunc
	text  strings.Builder

	mu      sync.Mutex
	cancels map[string]bool
}

func newFleet() *fleet {
	x := &fleet{clock: &clock{}, cancels: map[string]bool{}}
	x.ctx, x.dead = context.WithCancel(context.Background())
	DeferCleanup(x.dead)
	x.pool, x.cut = pooler.New(key)
	x.pool.Dial = x.dial
	DeferCleanup(x.cut)
	for i := range x.posts {
		x.posts[i] = &post{f: newFaker(faker.Config{})}
		x.man(x.posts[i])
	}
	return x
}

// man puts an agent before the engine of a post. Its first cancel of each
// attempt is lost.
func (x *fleet) man(p *post) {
	d := &driver.Driver{Base: p.f.URL()}
	p.n = before(p.f, "engine", func(cfg *agent.Config) {
		cfg.Now = x.clock.now
		cfg.Engine.Cancel = func(ctx context.Context, id string) error {
			x.mu.Lock()
			known := x.cancels[id]
			x.cancels[id] = true
			x.mu.Unlock()
			if !known {
				return coder.Errorf(coder.TargetLost, "cancel lost")
			}
			return d.Cancel(ctx, id)
		}
	})
}

// dial fails once the entry is dead.
func (x *fleet) dial(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) {
	if x.ctx.Err() != nil {
		return nil, nil, coder.Errorf(coder.TargetLost, "the entry was killed")
	}
	return muxer.Dial(ctx, addr, cfg)
}

// kill ends the entry without a word to anyone.
func (x *fleet) kill() {
	x.dead()
	x.cut()
}

func (x *fleet) targets(string) []messenger.Target {
	var out []messenger.Target
	for i, p := range x.posts {
		t := p.n.agent.Target()
		t.ID, t.Address = fmt.Sprint("t", i), p.n.addr
		out = append(out, t)
	}
	return out
}

func (x *fleet) emit(c messenger.Chunk) error {
	var piece driver.Text
	err := json.Unmarshal(c.Data, &piece)
	x.text.WriteString(piece.Text)
	return err
}

// run runs one gang and strikes at answer number k of its agents.
func (x *fleet) run(k int, strike func(p *post)) error { return x.runBefore(k, strike, nil) }

func (x *fleet) runBefore(k int, strike func(p *post), claim func(context.Context, string) error) error {
	n := 0
	d := &dispatcher.Dispatcher{Pool: x.pool}
	s, stop := segmenter.New(segmenter.Config{Dispatch: d, Targets: x.targets, Trace: func(e ganger.Event) {
		if n == k {
			var try, i int
			_, err := fmt.Sscanf(e.Attempt, "g.%d.%d", &try, &i)
			Expect(err).NotTo(HaveOccurred())
			strike(x.posts[i])
		}
		n++
	}})
	_, err := s.Do(x.ctx, segmenter.Job{
		ID: "g", Model: "m", Text: gangPrompt, Prompt: len(gangPrompt) / 4, Output: outputTokens,
		Deadline: time.Now().Add(time.Minute), Emit: x.emit, Before: claim,
	})
	stop()
	d.Wait()
	return err
}

// expectIdle expects every engine and agent to return to its idle figures, time passing.
func (x *fleet) expectIdle() {
	GinkgoHelper()
	for i, p := range x.posts {
		Eventually(func() int {
			x.clock.pass(time.Second)
			r := p.f.Report()
			return p.n.agent.Target().Load.Used + r.Used + len(r.Live)
		}).Should(BeZero(), "target %d", i)
	}
}

func (x *fleet) expectWhole(err error) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(x.text.String()).To(Equal(faker.Answer(gangPrompt, outputTokens)))
}

var _ = Describe("a gang over agents and engines", func() {
	// Answers that a gang of three gets: three grants, two exports, the first
	// piece, the end.
	const answers = 7

	It("answers a prompt more than twice an engine's memory as one engine would", func() {
		x := newFleet()
		x.expectWhole(x.run(answers+3, nil))
		x.expectIdle()
	})

	It("frees all when its caller gives up in mid-answer", func() {
		x := newFleet()
		err := x.run(answers-2, func(*post) { x.dead() })
		Expect(coder.Of(err).Code).To(Equal(coder.Cancelled), "%v", err)
		x.expectIdle()
	})

	It("has not run when its claim fails", func() {
		x := newFleet()
		claims := 0
		err := x.runBefore(-1, nil, func(context.Context, string) error {
			claims++
			return coder.Errorf(coder.NoQuorum, "test")
		})
		Expect(coder.Of(err)).To(And(HaveField("Code", coder.NoQuorum), HaveField("Run", coder.NotRun)), "%v", err)
		Expect(claims).To(Equal(1))
		x.expectIdle()
	})

	struck := func(k int, strike func(x *fleet, p *post)) {
		x := newFleet()
		err := x.run(k, func(p *post) { strike(x, p) })
		if err != nil && x.text.Len() > 0 {
			Expect(coder.Of(err).Code).To(Equal(coder.GangLost), "%v", err)
			Expect(coder.Of(err).Run).To(Equal(coder.Ran))
		} else {
			x.expectWhole(err)
		}
		x.expectIdle()
	}

	for k := range answers {
		It(fmt.Sprint("leaves no memory behind when an engine restarts at answer ", k), func() {
			struck(k, func(_ *fleet, p *post) { Expect(p.f.Restart()).To(Succeed()) })
		})
		It(fmt.Sprint("leaves no memory behind when an agent is replaced at answer ", k), func() {
			struck(k, func(x *fleet, p *post) {
				p.n.stop()
				x.man(p)
			})
		})
		It(fmt.Sprint("leaves no memory behind when a connection is lost at answer ", k), func() {
			struck(k, func(x *fleet, p *post) { x.pool.Forget(p.n.addr) })
		})
		It(fmt.Sprint("leaves no memory behind when the entry is killed at answer ", k), func() {
			x := newFleet()
			_ = x.run(k, func(*post) { x.kill() })
			x.expectIdle()
		})
	}
})
