package agent_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "agent")
}

var muxConfig = muxer.Config{Node: "test", Key: []byte("fleet")}

// listen serves exchanges on a loopback port until the spec ends and returns the address.
func listen(handle func(context.Context, *muxer.Stream)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, muxConfig, handle)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// clock is the system clock with an offset that tests advance.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *clock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// node is an agent under test with a listener for entries.
type node struct {
	agent *agent.Agent
	addr  string
	stop  func()

	mu       sync.Mutex
	suspects []messenger.Suspect
}

func (n *node) call(_ context.Context, _ messenger.Kind, v, _ any) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspects = append(n.suspects, *v.(*messenger.Suspect))
	return nil
}

func (n *node) reported() []messenger.Suspect {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]messenger.Suspect{}, n.suspects...)
}

// start runs an agent and waits until it accepts work. The target is e, or what change
// configures if e is nil.
func start(e *stub, change func(*agent.Config)) *node {
	n := &node{}
	cfg := agent.Config{
		Settings: &setter.Setter{Node: "n1", Target: setter.Target{Kind: "engine", Service: "s"}},
		Call:     n.call, ReportInterval: 20 * time.Millisecond,
	}
	if e != nil {
		cfg.Engine = e.engine()
	}
	if change != nil {
		change(&cfg)
	}
	a, stop, err := agent.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	n.agent, n.stop = a, sync.OnceFunc(stop)
	DeferCleanup(n.stop)
	n.addr = listen(func(ctx context.Context, s *muxer.Stream) {
		msg, err := s.Receive(ctx)
		if err == nil && !a.Handle(ctx, s, msg) {
			_ = s.Fail("", coder.Errorf(coder.BadFrame, "kind %s", msg.Kind))
		}
	})
	Eventually(func() bool { return n.agent.Target().Leaving }).Should(BeFalse())
	return n
}

// dial returns a new connection and the function that closes it.
func (n *node) dial() (*muxer.Muxer, func()) {
	GinkgoHelper()
	m, closer, err := muxer.Dial(context.Background(), n.addr, muxConfig)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closer)
	return m, closer
}

func (n *node) reserve(id string) *messenger.Reserve {
	return &messenger.Reserve{Attempt: id, Incarnation: n.agent.Target().Incarnation, Prompt: 10, Output: 5, Remaining: time.Minute, Fingerprint: 77}
}

func (n *node) runMessage(id, body string) *messenger.Run {
	return &messenger.Run{Attempt: id, Incarnation: n.agent.Target().Incarnation, Remaining: time.Minute, Body: []byte(body)}
}

// grant makes a reservation and returns its stream, which stays open.
func (n *node) grant(m *muxer.Muxer, id string) *muxer.Stream {
	GinkgoHelper()
	s, err := m.Open(messenger.KindReserve, n.reserve(id))
	Expect(err).NotTo(HaveOccurred())
	var got messenger.Reserved
	Expect(receive(s).Decode(&got)).To(Succeed())
	Expect(got.Attempt).To(Equal(id))
	return s
}

// begin sends Reserve and Run on one stream.
func (n *node) begin(m *muxer.Muxer, id, body string) *muxer.Stream {
	GinkgoHelper()
	s := n.grant(m, id)
	Expect(s.Send(messenger.KindRun, n.runMessage(id, body))).To(Succeed())
	return s
}

func receive(s *muxer.Stream) muxer.Message {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	msg, err := s.Receive(ctx)
	Expect(err).NotTo(HaveOccurred())
	return msg
}

func expectChunk(s *muxer.Stream, seq uint64) {
	GinkgoHelper()
	msg := receive(s)
	Expect(msg.Kind).To(Equal(messenger.KindChunk))
	var c messenger.Chunk
	Expect(msg.Decode(&c)).To(Succeed())
	Expect(c.Seq).To(Equal(seq))
	Expect(string(c.Data)).To(Equal(fmt.Sprint(seq)))
}

func expectChunksAndEnd(s *muxer.Stream, from, to uint64) {
	GinkgoHelper()
	for seq := from; seq <= to; seq++ {
		expectChunk(s, seq)
	}
	var end messenger.End
	msg := receive(s)
	Expect(msg.Kind).To(Equal(messenger.KindEnd))
	Expect(msg.Decode(&end)).To(Succeed())
	Expect(end.Count).To(Equal(to))
}

func expectFailed(s *muxer.Stream, c coder.Code, run coder.Run) {
	GinkgoHelper()
	err := receive(s).Decode(nil)
	Expect(coder.Of(err)).To(HaveField("Code", c), "%v", err)
	Expect(coder.Of(err).Run).To(Equal(run), "%v", err)
}

// expectEventuallyFailed skips chunks.
func expectEventuallyFailed(s *muxer.Stream, c coder.Code) {
	GinkgoHelper()
	for {
		if msg := receive(s); msg.Kind != messenger.KindChunk {
			err := msg.Decode(nil)
			Expect(coder.Of(err)).To(HaveField("Code", c), "%v", err)
			return
		}
	}
}

func counter(r metrics.Registry, name string) func() int64 {
	return func() int64 { return metrics.GetOrRegisterCounter(name, r).Count() }
}

func request(m *muxer.Muxer, kind messenger.Kind, v, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return m.Call(ctx, kind, v, out)
}

func (n *node) expectVoided(m *muxer.Muxer, id string, want coder.Run) {
	GinkgoHelper()
	var out messenger.Voided
	v := &messenger.Void{Attempt: id, Incarnation: n.agent.Target().Incarnation}
	Expect(request(m, messenger.KindVoid, v, &out)).To(Succeed())
	Expect(out.Run).To(Equal(want))
}

func (n *node) expectIdle() {
	GinkgoHelper()
	Eventually(func() int { return n.agent.Target().Load.Used }).Should(BeZero())
	Expect(n.agent.Target().Load.Running).To(BeZero())
}

// expectHeld prefills a gang member's segment and expects that its memory stays in use.
func (n *node) expectHeld(m *muxer.Muxer, id string) {
	GinkgoHelper()
	s := n.grant(m, id)
	run := n.runMessage(id, "0")
	run.Prefill = true
	Expect(s.Send(messenger.KindRun, run)).To(Succeed())
	var end messenger.End
	Expect(receive(s).Decode(&end)).To(Succeed())
	Expect(end.Export).To(Equal([]byte("kv")))
	Expect(end.Load.Used).To(Equal(15))
}

// startWithKeeper starts an agent that announces itself to a keeper backed by l.
func startWithKeeper(e *stub, l *leases, change func(*agent.Config)) *node {
	addr := listen(func(ctx context.Context, s *muxer.Stream) {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		var m messenger.Announce
		Expect(msg.Decode(&m)).To(Succeed())
		l.answer(s, m)
	})
	pool, closer := pooler.New(muxConfig)
	DeferCleanup(closer)
	return start(e, func(cfg *agent.Config) {
		cfg.Settings.Keepers = []setter.Keeper{{Node: "k", Address: addr}}
		cfg.Pool = pool
		if change != nil {
			change(cfg)
		}
	})
}
