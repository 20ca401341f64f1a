package publisher_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/announcer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/proposer"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

const (
	spreadChanges = 20
	idlePeriod    = 5 * time.Second
)

// BenchmarkSpread measures the distribution of changes to nodes that watch three
// keepers: the time from the acceptance of a change until it is in force on all nodes,
// and the bytes and frames of one node per change and per idle second. Bytes are those
// of the streams, without the headers of TCP and IP. Processor time is that of the
// whole process, keepers included, divided by the number of nodes.
//
//	go test ./publisher -run - -bench Spread -benchtime 1x
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) { benchmarkSpread(b, n, true, 0) })
	}
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=%d/targets=0", n), func(b *testing.B) { benchmarkSpread(b, n, false, 0) })
	}
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=10/targets=%d", n), func(b *testing.B) { benchmarkSpread(b, 10, false, n) })
	}
}

// benchmarkSpread measures either agents, which watch the configuration only and
// announce one target each, or entries, which also watch the given number of targets.
// Those targets report a new load each second; their own traffic is not counted.
func benchmarkSpread(b *testing.B, nodes int, agents bool, targets int) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	f := newFleet(b)
	p := f.proposer("op")
	Expect(apply(p, "1", 0, 1, folder(1)).Code).To(Equal(coder.OK))
	for i := range targets {
		f.announce(fmt.Sprintf("target-%d", i), f.peers, randomLoad(uint64(i)))
	}
	var watchers []*watcher.Watcher
	for i := range nodes {
		node := fmt.Sprintf("node-%d", i)
		watchers = append(watchers, f.watch(node, agents))
		if agents {
			f.announce(node, f.nodes, func() int { return 0 })
		}
	}
	expectVersion(1, watchers...)
	version := uint64(1)
	for b.Loop() {
		idle := f.meter.during(func() { <-time.After(idlePeriod) }).per(float64(nodes))
		idle.report(b, "idle-s")
		var slowest time.Duration
		changing := f.meter.during(func() { slowest = f.applyChanges(p, &version, watchers) }).per(float64(nodes))
		changing.minus(idle).per(spreadChanges/changing.seconds).report(b, "change")
		b.ReportMetric(float64(slowest.Milliseconds()), "ms/slowest-change")
	}
}

// applyChanges puts spreadChanges versions in force one after the other. It returns
// the longest time from the acceptance of a version until all watchers have it.
func (f *fleet) applyChanges(p *proposer.Proposer, version *uint64, watchers []*watcher.Watcher) time.Duration {
	var slowest time.Duration
	for range spreadChanges {
		*version++
		Expect(apply(p, fmt.Sprint(*version), *version-1, *version, folder(*version)).Code).To(Equal(coder.OK))
		accepted := time.Now()
		expectVersion(*version, watchers...)
		slowest = max(slowest, time.Since(accepted))
	}
	return slowest
}

// randomLoad returns a function that returns random loads.
func randomLoad(seed uint64) func() int {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return func() int { return rnd.IntN(100000) }
}

// announce announces a target and renews its lease; load returns the waiting tokens
// to report and is called after each renewal.
func (f *fleet) announce(id string, keepers []setter.Keeper, load func() int) {
	var waiting atomic.Int64
	_, stop := announcer.New(announcer.Config{
		Keepers: keepers, Pool: f.pool(id),
		OnAnnounced: func(time.Time, messenger.Announced) { waiting.Store(int64(load())) },
		Target: func() messenger.Target {
			return messenger.Target{
				ID: id, Service: "erzaehler", Model: "erzaehler", Version: "2026-11", Address: "127.0.0.1:7200", Zone: "halle-gar",
				Incarnation: 1, Load: messenger.Load{Waiting: int(waiting.Load()), Memory: 1 << 20, Speed: 8000, Pace: 40},
			}
		},
	})
	f.tb.Cleanup(stop)
}

// traffic is what a meter counted over some time, per second.
type traffic struct {
	in, out, frames float64
	cpu             float64 // processor time of this process, with all nodes and keepers, in microseconds
	seconds         float64
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (m *meter) during(f func()) traffic {
	in, out, frames, start := m.in.Load(), m.out.Load(), m.messages.Load(), time.Now()
	used := cpuTime()
	f()
	s := time.Since(start).Seconds()
	return traffic{
		in: float64(m.in.Load()-in) / s, out: float64(m.out.Load()-out) / s,
		frames: float64(m.messages.Load()-frames) / s, seconds: s,
		cpu: float64((cpuTime() - used).Microseconds()) / s,
	}
}

func (t traffic) per(n float64) traffic {
	return traffic{in: t.in / n, out: t.out / n, frames: t.frames / n, cpu: t.cpu / n, seconds: t.seconds}
}

func (t traffic) minus(o traffic) traffic {
	return traffic{in: t.in - o.in, out: t.out - o.out, frames: t.frames - o.frames, cpu: t.cpu - o.cpu, seconds: t.seconds}
}

// report reports the figures of one node. Sent and received are from the node's point
// of view.
func (t traffic) report(b *testing.B, unit string) {
	b.ReportMetric(t.in, "B-sent/"+unit)
	b.ReportMetric(t.out, "B-received/"+unit)
	b.ReportMetric(t.frames, "frames/"+unit)
	b.ReportMetric(t.cpu, "processor-us/"+unit)
}
