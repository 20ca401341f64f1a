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
	sourceEvery   = 100 * time.Millisecond
	sourceSilence = time.Second
)

// present asks the engines that hold the imported prefix whether they still do.
func (e *life) present(ctx context.Context, holds []hold) error {
	for _, h := range holds {
		d := &driver.Driver{BaseURL: h.URL, IdleTimeout: sourceSilence}
		rep, err := d.Report(ctx)
		if err != nil || rep.Incarnation != h.Incarnation || !slices.Contains(rep.Live, h.ID) {
			return coder.Errorf(coder.GangLost, "imported segment %q", h.ID)
		}
	}
	return nil
}

// attend ends a request when a segment that it imported is lost.
func (e *life) attend(rec *record, id string) {
	t := time.NewTicker(sourceEvery)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
		}
		if _, end, _ := rec.read(); end != nil {
			return
		}
		if err := e.present(e.ctx, rec.sources); err != nil {
			_, _ = e.ask(e.ctx, batcher.Event{Kind: batcher.Cancel, ID: id, Err: coder.Of(err)})
			return
		}
	}
}
