package router_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/router"
)

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{14, 100, 850} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			r := router.Router{}
			ts := newTargets(n, "")
			b.ReportAllocs()
			for b.Loop() {
				for i := range ts {
					ts[i].Load.Seq++
				}
				r.Update(now, ts)
			}
		})
	}
}

// BenchmarkPickBySlots selects among targets that report their slots, for short and for
// long prompts.
func BenchmarkPickBySlots(b *testing.B) {
	short := router.Request{
		Service: "s", Prompt: 5000, Output: 1600, Prefill: 20 * time.Millisecond, PrefillTargets: 1,
		Objective: 300 * time.Millisecond, MaxGap: 200 * time.Millisecond, PassTime: 60 * time.Millisecond,
	}
	long := router.Request{
		Service: "s", Prompt: 210000, Output: 800, Prefill: 2800 * time.Millisecond, PrefillTargets: 56,
		Objective: 3 * time.Second, MaxGap: 800 * time.Millisecond, PassTime: 60 * time.Millisecond,
	}
	now := time.Unix(0, 0)
	for _, n := range []int{14, 100, 850} {
		for name, c := range map[string]router.Request{"short": short, "long": long} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				r := newSlotRouter(n)
				for range 8 * n {
					p, _ := r.Pick(now, short)
					r.Sent(now, p, short)
					r.PrefillDone(p, short)
				}
				for b.Loop() {
					r.Pick(now, c)
				}
			})
		}
	}
}

// BenchmarkPeerLimits records a report of another entry that has observed the limits of
// some targets.
func BenchmarkPeerLimits(b *testing.B) {
	const limited = 8
	now := time.Unix(0, 0)
	for _, n := range []int{14, 100, 850} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			from, to := newSlotRouter(n), newSlotRouter(n)
			for range limited {
				p, _ := from.Pick(now, plainRequest)
				from.Sent(now, p, plainRequest)
				from.RecordLimit(now, now, p, 2)
			}
			for b.Loop() {
				now = now.Add(time.Second)
				to.RecordPeerLimits(now, from.Limits(now), func(string, string, float64, float64) {})
			}
		})
	}
}

// BenchmarkSetEntries divides the limits of some targets anew among the entries.
func BenchmarkSetEntries(b *testing.B) {
	const limited = 8
	now := time.Unix(0, 0)
	for _, n := range []int{4, 31, 370} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("entry-", i))
			}
			r := newSlotRouter(850)
			for range limited {
				p, _ := r.Pick(now, plainRequest)
				r.Sent(now, p, plainRequest)
				r.RecordLimit(now, now, p, 2)
			}
			for i := 0; b.Loop(); i++ {
				r.SetEntries(names[0], names[i%2:])
			}
		})
	}
}
