package agent_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/faker"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
)

const (
	idleAgents  = 100
	idleKeepers = 3
	idleTime    = 5 * time.Second
)

// BenchmarkIdle reports the processor time and memory of idle agents, which each
// second announce themselves to three keepers and poll their target. The figures
// include the keepers' and the target's side of these exchanges.
func BenchmarkIdle(b *testing.B) {
	RegisterTestingT(b)
	target, closer, err := faker.New(faker.Config{Kind: faker.KindPlain})
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(closer)
	var keepers []setter.Keeper
	for i := range idleKeepers {
		keepers = append(keepers, setter.Keeper{Node: fmt.Sprint("k", i), Address: idleKeeper(b)})
	}
	for i := range idleAgents {
		idleAgent(b, fmt.Sprint("n", i), target.URL(), keepers)
	}
	for b.Loop() {
		before := processorTime()
		<-time.After(idleTime)
		spent := processorTime() - before
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		b.ReportMetric(float64(mem.HeapAlloc+mem.StackInuse)/1024/idleAgents, "KB/agent")
		b.ReportMetric(float64(spent.Microseconds())/idleAgents/idleTime.Seconds(), "µs/agent-second")
	}
}

func idleKeeper(b *testing.B) string {
	l := &leases{}
	l.confirmed.Store(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() {
		_ = muxer.Serve(ctx, ln, muxConfig, func(ctx context.Context, s *muxer.Stream) {
			var m messenger.Announce
			if msg, err := s.Receive(ctx); err == nil && msg.Decode(&m) == nil {
				l.answer(s, m)
			}
		})
	}()
	return ln.Addr().String()
}

func idleAgent(b *testing.B, node, url string, keepers []setter.Keeper) {
	pool, closer := pooler.New(muxer.Config{Node: node, Key: muxConfig.Key})
	b.Cleanup(closer)
	_, stop, err := agent.New(agent.Config{
		Settings: &setter.Setter{Node: node, Keepers: keepers, Target: setter.Target{Kind: "plain", Service: "s", URL: url}},
		Pool:     pool,
	})
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(stop)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkChunk reports the cost of passing one chunk of an answer from the engine
// to the entry, including both ends of the connection.
func BenchmarkChunk(b *testing.B) {
	RegisterTestingT(b)
	e := newStub()
	a, stop, err := agent.New(agent.Config{
		Settings: &setter.Setter{Node: "n1", Target: setter.Target{Kind: "engine", Service: "s"}},
		Engine:   e.engine(), ReportInterval: 20 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	defer stop()
	Eventually(func() bool { return a.Target().Leaving }).Should(BeFalse())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = muxer.Serve(ctx, ln, muxConfig, func(ctx context.Context, s *muxer.Stream) {
			if msg, err := s.Receive(ctx); err == nil {
				a.Handle(ctx, s, msg)
			}
		})
	}()
	n := &node{agent: a}
	m, closer, err := muxer.Dial(ctx, ln.Addr().String(), muxConfig)
	Expect(err).NotTo(HaveOccurred())
	defer closer()
	b.ReportAllocs()
	b.ResetTimer()
	s := n.begin(m, "a", fmt.Sprint(b.N))
	for range b.N {
		msg, err := s.Receive(ctx)
		if err != nil || msg.Kind != messenger.KindChunk {
			b.Fatal(msg.Kind, err)
		}
	}
}
