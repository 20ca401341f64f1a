package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/replicator"
)

const envelopeBytes = 13 // frame head and envelope around a message

// traffic counts messages and bytes by the nodes that send them.
type traffic struct {
	messages, bytes int
}

func (w *world) meter(t *traffic) {
	w.sent = func(body any) {
		p, err := msgpack.Marshal(body)
		if err != nil {
			w.fail("%v", err)
		}
		t.messages++
		t.bytes += len(p) + envelopeBytes
	}
}

// BenchmarkIdle counts what keepers send each other in a second without work, with
// the default heartbeat.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 5, 7} {
		b.Run(fmt.Sprint("keepers=", n), func(b *testing.B) {
			w := defaultWorld(3, n, b)
			var t traffic
			w.meter(&t)
			for b.Loop() {
				w.run(time.Second)
			}
			b.ReportMetric(float64(t.messages)/float64(b.N), "messages/s")
			b.ReportMetric(float64(t.bytes)/float64(b.N), "bytes/s")
		})
	}
}

// defaultWorld is a settled group with the default timeouts.
func defaultWorld(seed uint64, n int, b *testing.B) *world {
	w := newWorld(seed, n, b.Fatalf)
	w.beat, w.timeout = replicator.DefaultHeartbeat, replicator.DefaultElectionTimeout
	for _, o := range w.nodes {
		o.kill()
		o.start()
	}
	w.run(20 * w.timeout)
	return w
}

// BenchmarkFailover has the leader of three keepers with the default timeouts killed,
// after a hand-over or without, and takes the simulated time until a proposal is
// accepted again. Each round has another seed.
func BenchmarkFailover(b *testing.B) {
	for _, retire := range []bool{false, true} {
		b.Run(fmt.Sprint("handover=", retire), func(b *testing.B) {
			var sum, most time.Duration
			seed := uint64(0)
			for b.Loop() {
				seed++
				took := failover(b, seed, retire)
				sum += took
				most = max(most, took)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "ms-simulated")
			b.ReportMetric(float64(most.Milliseconds()), "ms-most")
		})
	}
}

func failover(b *testing.B, seed uint64, retire bool) time.Duration {
	w := defaultWorld(seed, 3, b)
	old := w.leader()
	start, before := w.now, w.acked
	if retire {
		old.step(replicator.Event{Retire: true})
	}
	old.kill()
	for w.acked == before {
		for _, n := range w.nodes {
			n.propose()
		}
		w.run(tick)
	}
	return w.now - start
}

// BenchmarkCatchUp brings a follower up to date that missed entries of 8 bytes,
// over the log or over a snapshot of 8 bytes.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{100, 500} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("missed=%d/snapshot=%v", missed, snapshot), func(b *testing.B) {
				var t traffic
				var took time.Duration
				for b.Loop() {
					took += catchUp(b, &t, missed, snapshot)
				}
				b.ReportMetric(float64(t.messages)/float64(b.N), "messages")
				b.ReportMetric(float64(t.bytes)/float64(b.N), "bytes")
				b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-simulated")
			})
		}
	}
}

func catchUp(b *testing.B, t *traffic, missed int, snapshot bool) time.Duration {
	w := newWorld(4, 3, b.Fatalf)
	w.run(20 * election)
	leader := w.leader()
	late := w.nodes[(leader.at+1)%3]
	late.kill()
	for range missed {
		leader.propose()
		w.run(tick)
	}
	w.run(election)
	if snapshot {
		leader.compact()
	}
	late.start()
	w.meter(t)
	start := w.now
	for late.applied < leader.applied {
		w.run(tick)
	}
	return w.now - start
}
