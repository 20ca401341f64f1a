package router_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
	"bramleyshunt/router"
)

// maxColdAllocs bounds the allocations of one pick with bounds on the requests to targets.
const maxColdAllocs = 4

// newBoundRouter returns a router of one of many entries before targets of 64 slots, or
// without slots, with the bound of the deployment in Riga.
func newBoundRouter(targets, entries, slots int) *router.Router {
	now := time.Unix(0, 0)
	r := &router.Router{ColdBound: map[string]ramper.Limit{"s": coldLimit}}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	r.RecordEntries(now.Add(-time.Minute), names[0], names)
	var ts []messenger.Target
	for i := range targets {
		ts = append(ts, messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: slots, Incarnation: 1, Seq: 1})
	}
	r.Update(now, ts)
	r.RecordEntries(now, names[0], names)
	return r
}

// sendBounded picks a target and sends a request there, as long as shares are free.
func sendBounded(r *router.Router, now time.Time) bool {
	p, ok := r.Pick(now, plainRequest)
	if !ok {
		return false
	}
	r.Sent(now, p, plainRequest)
	r.Sending(now, p)
	r.Answered(p)
	r.PrefillDone(p, plainRequest)
	r.Ended(p, plainRequest)
	return true
}

// BenchmarkColdPick picks among targets of which half have got this entry's share, and among as
// many without a bound.
func BenchmarkColdPick(b *testing.B) {
	for _, bound := range []bool{false, true} {
		for _, slots := range []int{0, 64} {
			for _, n := range []int{14, 100, 850} {
				b.Run(fmt.Sprintf("bound=%t/targets=%d/slots=%d", bound, n, slots), func(b *testing.B) { benchmarkColdPick(b, bound, n, slots) })
			}
		}
	}
}

func benchmarkColdPick(b *testing.B, bound bool, targets, slots int) {
	r, now := newBoundRouter(targets, 103, slots), time.Unix(0, 0)
	if !bound {
		r.ColdBound = nil
		var ts []messenger.Target
		for i := range targets {
			ts = append(ts, r.Target(fmt.Sprint("t", i)))
		}
		r.Update(now, ts)
	}
	for range targets / 4 {
		sendBounded(r, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Pick(now, plainRequest)
	}
}

// BenchmarkColdRanks picks after an entry has joined or gone, so that the ranks of all entries
// at all targets are computed anew.
func BenchmarkColdRanks(b *testing.B) {
	r, now := newBoundRouter(850, 103, 64), time.Unix(0, 0)
	var names []string
	for i := range 104 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i := 0; b.Loop(); i++ {
		r.RecordEntries(now, names[0], names[:103+i%2])
		now = now.Add(31 * time.Second)
		r.RecordEntries(now, names[0], names[:103+i%2])
		r.Pick(now, plainRequest)
	}
}

// Guards against work for each pick that grows with the number of entries, and against
// allocations for each target.
func TestColdPickAllocatesLittle(t *testing.T) {
	for _, slots := range []int{0, 64} {
		r, now := newBoundRouter(850, 103, slots), time.Unix(0, 0)
		for range 200 {
			sendBounded(r, now)
		}
		if n := testing.AllocsPerRun(100, func() { r.Pick(now, plainRequest) }); n > maxColdAllocs {
			t.Errorf("a pick of 850 targets with %d slots allocates %g times, want at most %d", slots, n, maxColdAllocs)
		}
	}
}
