package conductor

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

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
