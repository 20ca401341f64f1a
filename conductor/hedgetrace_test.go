package conductor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/chainer"
)

// Guards against a line of a request that names a target that did not answer it.
func TestTraceNamesTheTargetThatAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		scripts [][]hedgeStep
		answers int // index of the target
	}{
		"the silent one": {[][]hedgeStep{{stepEvent, stepSilence, stepEvent, stepPause}, {stepRefused}}, 0},
		"the other one":  {[][]hedgeStep{{stepEvent, stepHang}, {stepPause}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, twoTargets(), func(hold *holdBed) {
				b := &hedgeBed{holdBed: hold, scripts: c.scripts}
				hold.answer = b.serve
				var r *chainer.Request
				b.began = func(started *chainer.Request) { r = started }
				_, err := b.stream()
				b.Expect(err).NotTo(HaveOccurred())
				b.Expect(r.Trace.Target).To(Equal(b.targetsReached()[c.answers]))
			})
		})
	}
}

// Guards against a line of a request that counts the time in which a hedge was queued while the
// answer went on.
func TestTraceCountsNoQueueTimeOfHedge(t *testing.T) {
	v := oneSlotEach()
	withHolds(t, Config{}, v, func(hold *holdBed) {
		hold.takeSlots(1)
		defer hold.freeSlots()
		b := &hedgeBed{holdBed: hold, scripts: [][]hedgeStep{{stepEvent, stepSilence, stepSilence}}}
		hold.answer = b.serve
		var r *chainer.Request
		b.began = func(started *chainer.Request) { r = started }
		since := time.Now()
		_, err := b.stream()
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(time.Since(since)).To(BeNumerically(">", time.Second))
		b.Expect(r.Trace.Queued).To(BeZero())
	})
}
