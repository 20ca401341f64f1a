package router_test

import (
	"fmt"
	"testing"

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
