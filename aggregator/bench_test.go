package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/messenger"
)

// BenchmarkFleet simulates a second of entries of which each changes its counts ten times. It
// reports the messages and bytes that the busiest relay and the busiest other entry send.
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
			f.reportSent(b, bytes)
		})
	}
}

// reportSent reports what relays and other entries have sent per iteration.
func (f *fleet) reportSent(b *testing.B, bytes map[string]int) {
	most := map[string]int{}
	for _, x := range f.nodes {
		role := "relay"
		if _, member := x.agg.Relay(); member {
			role = "member"
		}
		most["messages/"+role] = max(most["messages/"+role], f.messages[x.name])
		most["B/"+role] = max(most["B/"+role], bytes[x.name])
	}
	for unit, n := range most {
		b.ReportMetric(float64(n)/float64(b.N), unit)
	}
	b.ReportMetric(float64(len(f.relays())), "relays")
}

// BenchmarkRound measures one round of a relay, with its sum over the fleet.
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
