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
			ts := fleet(n, "")
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

// BenchmarkCounted picks targets that tell their slots for short and for long prompts.
func BenchmarkCounted(b *testing.B) {
	short := router.Case{
		Service: "s", Prompt: 5000, Output: 1600, Read: 20 * time.Millisecond, Pieces: 1,
		Aim: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Pass: 60 * time.Millisecond,
	}
	long := router.Case{
		Service: "s", Prompt: 210000, Output: 800, Read: 2800 * time.Millisecond, Pieces: 56,
		Aim: 3 * time.Second, Gap: 800 * time.Millisecond, Pass: 60 * time.Millisecond,
	}
	now := time.Unix(0, 0)
	for _, n := range []int{14, 100, 850} {
		for name, c := range map[string]router.Case{"short": short, "long": long} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				r := counted(n)
				for range 8 * n {
					p, _ := r.Pick(now, short)
					r.Sent(now, p, short)
					r.Started(p, short)
				}
				for b.Loop() {
					r.Pick(now, c)
				}
			})
		}
	}
}
