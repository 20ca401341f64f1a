package conductor

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/watcher"
)

// manyTargets returns a view of n targets of the plain service "s".
func manyTargets(n int) *watcher.View {
	v := twoTargets()
	v.Targets = nil
	for i := range n {
		v.Targets = append(v.Targets, messenger.Target{ID: fmt.Sprintf("t%d", i+1), Service: "s", Incarnation: 1, Slots: 4})
	}
	return v
}

// Guards against a request that crashes targets and reaches more of them than put it in
// quarantine, because each is tried beside one that is silent (BUDGET).
func TestNoHedgeForRequestThatLostTooManyTargets(t *testing.T) {
	for name, silent := range map[string][]hedgeStep{
		"the silent target goes on": {stepSilence, stepSilence, stepSilence, stepEvent},
		"the silent target refuses": {stepSilence, stepSilence, stepSilence, stepRefused},
		"the silent target is lost": {stepSilence, stepSilence, stepSilence, stepLost},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, manyTargets(6), func(hold *holdBed) {
				b := &hedgeBed{holdBed: hold, maxAttempts: 6, scripts: [][]hedgeStep{silent, {stepPause, stepLost}}}
				hold.answer = b.serve
				_, err := b.stream()
				b.Expect(b.targetsReached()).To(HaveLen(3), "error %v", err) // the silent one, and two that are lost
			})
		})
	}
}

// Guards against an answer that is cut off although a hedge goes on with it: the attempt in
// whose place it does so has lost the last target that the request may lose.
func TestHedgeThatHasTakenOverIsKeptAfterTargetLoss(t *testing.T) {
	withHolds(t, Config{}, manyTargets(4), func(hold *holdBed) {
		scripts := [][]hedgeStep{{stepPause, stepLost}, {stepEvent, stepHang}, {stepPause, stepEvent, stepPause}}
		b := &hedgeBed{holdBed: hold, maxAttempts: 6, scripts: scripts}
		hold.answer = func(ctx context.Context, a *Attempt) error {
			err := b.serve(ctx, a)
			if coder.Of(err) != nil && coder.Of(err).Code == coder.Cancelled {
				return &coder.Error{Code: coder.TargetLost, Run: coder.Unknown} // found just before the cancellation
			}
			return err
		}
		got, err := b.stream()
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(got).To(Equal("1 2 3 4"))
	})
}
