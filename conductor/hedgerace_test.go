package conductor

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// Guards against a data race, found by the race detector only, between a hedge that has lost
// just before it is sent, and the retry of the attempt that has won and is lost then.
func TestRetryBesideHedgeThatHasLost(t *testing.T) {
	withHolds(t, Config{}, manyTargets(4), func(b *holdBed) {
		r := &chainer.Request{ID: "r", Service: "s", Prompt: 1, Config: b.view.Load().Config, Deadline: time.Now().Add(time.Minute)}
		r.Answer = chainer.Answer{
			Begin: func() bool { return true }, Resumable: func() bool { return true }, Chunk: func(messenger.Chunk) error { return nil },
		}
		x := &execution{cd: b.cd, r: r}
		won, lost := x.newAttempt(context.Background(), nil), x.newAttempt(context.Background(), nil)
		won.pick = router.Pick{Target: b.target(0)}
		won.ticket, lost.ticket = newTicket(r, nil), newTicket(r, nil)
		x.current, x.hedge = won, lost
		b.Expect(x.reserveHedge(lost)).To(Succeed())
		b.Expect(won.emit(messenger.Chunk{}, func(time.Duration) {})).To(Succeed())
		var wg conc.WaitGroup
		var described error
		wg.Go(func() { _, described = lost.describe() })
		err := &coder.Error{Code: coder.TargetLost, Run: coder.Unknown}
		b.Expect(x.prepareRetry(context.Background(), won, err)).To(Succeed())
		wg.Wait()
		b.Expect(described).To(Equal(errSuperseded))
		b.Expect(x.attempts).To(BeZero())
	})
}
