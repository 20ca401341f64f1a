package conductor

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
)

// Guards against hedges that use up a request's attempts, targets and retry budget while this
// process may not send, so that nothing is left to go on with a stream whose target is lost.
func TestStaleEntryStartsNoHedges(t *testing.T) {
	var since time.Time
	stale := func() error {
		if d := time.Since(since); d > 100*time.Millisecond && d < time.Second {
			return &coder.Error{Code: coder.Stale, Run: coder.NotRun}
		}
		return nil
	}
	withHolds(t, Config{Ready: func() error { return stale() }}, manyTargets(3), func(hold *holdBed) {
		since = time.Now()
		scripts := [][]hedgeStep{{stepEvent, stepPause, stepSilence, stepPause, stepLost}, nil}
		b := &hedgeBed{holdBed: hold, scripts: scripts}
		hold.answer = func(ctx context.Context, a *Attempt) error {
			if err := stale(); err != nil {
				return err
			}
			return b.serve(ctx, a)
		}
		got, err := b.stream()
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(got).To(Equal("1 2 3 4"))
		b.Expect(b.counter("retries")).To(BeEquivalentTo(1))
	})
}
