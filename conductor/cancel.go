package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"bramleyshunt/messenger"
)

const (
	cancelTimeout        = time.Second // for the answers of the agents
	maxConcurrentCancels = 16          // agents called concurrently
)

// CancelResult is the outcome of Cancel.
type CancelResult struct {
	Local        int   // requests of this process, queued and running
	Remote       int64 // running attempts of other entries
	Unresponsive int64 // agents that did not answer
}

// Cancel cancels the requests of an account that have the key or belong to the batch:
// those queued or running in this process, and those of other entries that are
// running.
func (cd *Conductor) Cancel(ctx context.Context, account, key, batch string) CancelResult {
	n := cd.cancelLocal(account, key, batch)
	m := &messenger.Cancel{Account: account, Key: key, Batch: batch, Except: cd.idPrefix()}
	remote, unresponsive := cd.cancelAtAgents(ctx, m)
	return CancelResult{Local: n, Remote: remote, Unresponsive: unresponsive}
}

// cancelAtAgents sends a cancellation to the agents of all targets. It returns how
// many attempts they ended and how many agents did not answer.
func (cd *Conductor) cancelAtAgents(ctx context.Context, m *messenger.Cancel) (cancelled, unresponsive int64) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	var ended, failed atomic.Int64
	p := pool.New().WithMaxGoroutines(maxConcurrentCancels)
	for _, t := range cd.cfg.View().Targets {
		p.Go(func() {
			var out messenger.Cancelled
			conn, err := cd.cfg.Pool.Get(ctx, t.Address)
			if err == nil {
				err = conn.Call(ctx, messenger.KindCancel, m, &out)
			}
			if err != nil {
				failed.Add(1)
			}
			ended.Add(int64(out.Count))
		})
	}
	p.Wait()
	return ended.Load(), failed.Load()
}
