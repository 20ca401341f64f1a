package faker

import (
	"context"
	"slices"
	"time"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
)

const (
	sourceCheckInterval = 100 * time.Millisecond
	sourceTimeout       = time.Second
)

// checkSources returns an error unless every engine that holds a segment of the
// imported prefix answers in its original incarnation and still holds the segment.
func (e *instance) checkSources(ctx context.Context, holds []hold) error {
	for _, h := range holds {
		d := &driver.Driver{BaseURL: h.URL, IdleTimeout: sourceTimeout}
		rep, err := d.Report(ctx)
		if err != nil || rep.Incarnation != h.Incarnation || !slices.Contains(rep.Live, h.ID) {
			return coder.Errorf(coder.GangLost, "imported segment %q", h.ID)
		}
	}
	return nil
}

// watchSources cancels a request if a segment that it imported is lost.
func (e *instance) watchSources(rec *record, id string) {
	t := time.NewTicker(sourceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
		}
		if _, end, _ := rec.snapshot(); end != nil {
			return
		}
		if err := e.checkSources(e.ctx, rec.sources); err != nil {
			_, _ = e.dispatch(e.ctx, batcher.Event{Kind: batcher.Cancel, ID: id, Err: coder.Of(err)})
			return
		}
	}
}
