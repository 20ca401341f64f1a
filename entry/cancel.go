package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	sweepLimit = time.Second // for an agent's answer
	sweepers   = 16          // agents asked at once
)

// serveCancel cancels the account's requests of a batch or with a key: those in
// hand here, running and queued, and those of other entries that are running.
func (e *Entry) serveCancel(w http.ResponseWriter, hr *http.Request, _ httprouter.Params) {
	account, err := e.identify(hr)
	if err != nil {
		e.fail(w, err)
		return
	}
	key, batch := hr.Header.Get(headerKey), hr.Header.Get(headerBatch)
	if key == "" && batch == "" {
		e.fail(w, coder.Errorf(coder.Malformed, "neither %s nor %s is given", headerKey, headerBatch))
		return
	}
	n := e.cancel(account, key, batch)
	m := &messenger.Cancel{Account: account, Key: key, Batch: batch, Except: e.prefix()}
	elsewhere, silent := e.sweep(hr.Context(), m)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"cancelled\":%d,\"elsewhere\":%d,\"unreached\":%d}\n", n, elsewhere, silent)
}

// sweep asks the agents of all targets and returns how many attempts they ended
// and how many agents did not answer.
func (e *Entry) sweep(ctx context.Context, m *messenger.Cancel) (count, silent int64) {
	ctx, stop := context.WithTimeout(ctx, sweepLimit)
	defer stop()
	var ended, lost atomic.Int64
	p := pool.New().WithMaxGoroutines(sweepers)
	for _, t := range e.cfg.View().Targets {
		p.Go(func() {
			var out messenger.Cancelled
			conn, err := e.cfg.Pool.Get(ctx, t.Address)
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
