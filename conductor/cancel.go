package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"bramleyshunt/messenger"
)

const (
	sweepLimit = time.Second // for an agent's answer
	sweepers   = 16          // agents asked at once
)

// Cancelled is what a cancel came to.
type Cancelled struct {
	Here      int   // requests in hand here, running and queued
	Elsewhere int64 // attempts of other entries that ran
	Unreached int64 // agents that did not answer
}

// Cancel ends an account's requests of a batch or with a key: those in hand here,
// running and queued, and those of other entries that are running.
func (cd *Conductor) Cancel(ctx context.Context, account, key, batch string) Cancelled {
	n := cd.cancel(account, key, batch)
	m := &messenger.Cancel{Account: account, Key: key, Batch: batch, Except: cd.prefix()}
	elsewhere, silent := cd.sweep(ctx, m)
	return Cancelled{Here: n, Elsewhere: elsewhere, Unreached: silent}
}

// sweep asks the agents of all targets and returns how many attempts they ended
// and how many agents did not answer.
func (cd *Conductor) sweep(ctx context.Context, m *messenger.Cancel) (count, silent int64) {
	ctx, stop := context.WithTimeout(ctx, sweepLimit)
	defer stop()
	var ended, lost atomic.Int64
	p := pool.New().WithMaxGoroutines(sweepers)
	for _, t := range cd.cfg.View().Targets {
		p.Go(func() {
			var out messenger.Cancelled
			conn, err := cd.cfg.Pool.Get(ctx, t.Address)
			if err == nil {
				err = conn.Call(ctx, messenger.KindCancel, m, &out)
			}
			if err != nil {
				lost.Add(1)
			}
			ended.Add(int64(out.Count))
		})
	}
	p.Wait()
	return ended.Load(), lost.Load()
}
