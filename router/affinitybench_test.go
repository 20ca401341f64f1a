package router_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/router"
)

// benchPrefixes returns a Router with n targets and requests of which half share a prefix.
func benchPrefixes(n int, bySlots bool) (*router.Router, []router.Request) {
	r := &router.Router{Seed: 1}
	at := time.Unix(0, 0)
	if bySlots {
		r = newSlotRouter(n)
	} else {
		r.Update(at, newTargets(n, ""))
	}
	var requests []router.Request
	for i := range 64 {
		req := promptOf("hot")
		if i%2 > 0 {
			req = promptOf(fmt.Sprint("p", i))
		}
		if bySlots {
			req = cachingEngines(req, 400_000)
		}
		p, _ := r.Pick(at, req)
		r.Sent(at, p, req)
		r.PrefillDone(p, req)
		r.Ended(p, req)
		requests = append(requests, req)
	}
	return r, requests
}

// BenchmarkPickByPrefix selects targets for prompts whose prefixes are known at up to four of
// them.
func BenchmarkPickByPrefix(b *testing.B) {
	for name, bySlots := range map[string]bool{"score": false, "slots": true} {
		for _, n := range []int{14, 850} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				r, requests := benchPrefixes(n, bySlots)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r.Pick(time.Unix(0, 0), requests[i%len(requests)])
				}
			})
		}
	}
}

// TestPickByPrefixAllocates guards against garbage for each candidate of a choice among 850
// targets. The path by slots allocates the list of open targets, as without prefixes.
func TestPickByPrefixAllocates(t *testing.T) {
	for name, c := range map[string]struct {
		bySlots bool
		most    float64
	}{"score": {false, 0}, "slots": {true, 1}} {
		r, requests := benchPrefixes(850, c.bySlots)
		i := 0
		got := testing.AllocsPerRun(200, func() {
			r.Pick(time.Unix(0, 0), requests[i%len(requests)])
			i++
		})
		if got > c.most {
			t.Errorf("%s: %v allocations, want at most %v", name, got, c.most)
		}
	}
}
