package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/replicator"
)

const envelopeBytes = 13 // frame header and envelope around a message

// traffic counts the messages that all nodes send, and their bytes.
type traffic struct {
	messages, bytes int
}

func (c *cluster) countTraffic(t *traffic) {
	c.onSend = func(body any) {
		p, err := msgpack.Marshal(body)
		if err != nil {
			c.fail("%v", err)
		}
		t.messages++
		t.bytes += len(p) + envelopeBytes
	}
}

// BenchmarkIdle counts the messages that keepers exchange in a second without proposals,
// with the default heartbeat interval.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 5, 7} {
		b.Run(fmt.Sprint("keepers=", n), func(b *testing.B) {
			c := newDefaultCluster(3, n, b)
			var t traffic
			c.countTraffic(&t)
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(float64(t.messages)/float64(b.N), "messages/s")
			b.ReportMetric(float64(t.bytes)/float64(b.N), "bytes/s")
		})
	}
}

// newDefaultCluster returns a cluster with the default timeouts that has elected a leader.
func newDefaultCluster(seed uint64, n int, b *testing.B) *cluster {
	c := newCluster(seed, n, b.Fatalf)
	c.heartbeat, c.electionTimeout = replicator.DefaultHeartbeatInterval, replicator.DefaultElectionTimeout
	for _, o := range c.nodes {
		o.kill()
		o.start()
	}
	c.run(20 * c.electionTimeout)
	return c
}

// BenchmarkFailover kills the leader of three keepers with the default timeouts, with or
// without a leadership transfer before, and reports the simulated time until a proposal is
// accepted again. Each iteration has another seed.
func BenchmarkFailover(b *testing.B) {
	for _, transfer := range []bool{false, true} {
		b.Run(fmt.Sprint("handover=", transfer), func(b *testing.B) {
			var sum, longest time.Duration
			seed := uint64(0)
			for b.Loop() {
				seed++
				took := failover(b, seed, transfer)
				sum += took
				longest = max(longest, took)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "ms-simulated")
			b.ReportMetric(float64(longest.Milliseconds()), "ms-most")
		})
	}
}

func failover(b *testing.B, seed uint64, transfer bool) time.Duration {
	c := newDefaultCluster(seed, 3, b)
	old := c.leader()
	start, before := c.now, c.maxAcked
	if transfer {
		old.step(replicator.Event{TransferLeadership: true})
	}
	old.kill()
	for c.maxAcked == before {
		for _, n := range c.nodes {
			n.propose()
		}
		c.run(tick)
	}
	return c.now - start
}

// BenchmarkCatchUp brings a follower up to date that missed entries of 8 bytes, by log
// entries or by a snapshot of 8 bytes.
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
	c := newCluster(4, 3, b.Fatalf)
	c.run(20 * election)
	leader := c.leader()
	follower := c.nodes[(leader.index+1)%3]
	follower.kill()
	for range missed {
		leader.propose()
		c.run(tick)
	}
	c.run(election)
	if snapshot {
		leader.takeSnapshot()
	}
	follower.start()
	c.countTraffic(t)
	start := c.now
	for follower.applied < leader.applied {
		c.run(tick)
	}
	return c.now - start
}
