package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

const commandBytes = 256

// BenchmarkPropose measures concurrent proposals to the leader of three keepers on
// loopback, each with its own data folder on the real disk.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			RegisterTestingT(b)
			c := newCluster(b, "a", "b", "c")
			c.snapshotEntries = 1 << 20
			c.startAll()
			c.expectRepaired()
			h := c.hosts[c.leader()]
			before := h.syncs.Load()
			b.ResetTimer()
			proposeAll(b, h, callers)
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(h.syncs.Load()-before)/float64(b.N), "fsyncs/commit")
		})
	}
}

func proposeAll(b *testing.B, h *host, callers int) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	defer wg.Wait()
	for range callers {
		wg.Go(func() {
			command := make([]byte, commandBytes)
			for left.Add(-1) >= 0 {
				if _, _, err := h.keeper.Load().Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
}
