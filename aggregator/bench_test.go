package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/messenger"
)

// BenchmarkFleet simulates a second of entries of which each changes its counts ten times. It reports the
// messages and bytes that the busiest relay sends, and those of the other entries on average.
func BenchmarkFleet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(settled)
			bytes := map[string]int{}
			f.sent = func(x *node, to int, m messenger.Share) {
				p, err := msgpack.Marshal(&m)
				if err != nil {
					b.Fatal(err)
				}
				bytes[x.name] += to * len(p)
			}
			clear(f.messages)
			for b.Loop() {
				f.changeTenTimes(time.Second)
			}
			perSecond := 1 / float64(b.N)
			relay, members := 0, 0
			for _, x := range f.nodes {
				if _, member := x.agg.Relay(); member {
					members++
					b.ReportMetric(float64(f.messages[x.name])*perSecond, "messages/member")
					b.ReportMetric(float64(bytes[x.name])*perSecond, "B/member")
				} else if f.messages[x.name] > relay {
					relay = f.messages[x.name]
					b.ReportMetric(float64(relay)*perSecond, "messages/relay")
					b.ReportMetric(float64(bytes[x.name])*perSecond, "B/relay")
				}
			}
			b.ReportMetric(float64(n-members), "relays")
		})
	}
}

// BenchmarkRound measures one round of a relay of the largest group, with its sum over the fleet.
func BenchmarkRound(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(settled)
			x, live, now := f.relays()[0], f.live(), f.now
			for b.Loop() {
				now = now.Add(time.Millisecond / 100) // reports stay valid
				x.agg.Round(now, live, messenger.Share{Sends: x.own})
				x.agg.Others(now)
			}
		})
	}
}
