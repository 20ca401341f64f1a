package conductor

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// Guards against suspect requests that share a target, because the failure of one attempt made
// the target of another attempt of the same request be forgotten.
func TestTargetOfSuspectHedgeIsRemembered(t *testing.T) {
	v := manyTargets(4)
	v.Config.Limits = configurer.Limits{CrashLimit: 3}
	withHolds(t, Config{}, v, func(hold *holdBed) {
		scripts := [][]hedgeStep{{stepPause, stepLost}, {stepEvent, stepSilence, stepSilence, stepLost}, nil}
		b := &hedgeBed{holdBed: hold, maxAttempts: 6, scripts: scripts}
		var reached string
		var suspects []string
		hold.answer = func(ctx context.Context, a *Attempt) error {
			if b.reached < 2 {
				return b.serve(ctx, a)
			}
			<-time.After(3 * time.Second) // until the silent target is lost
			b.cd.control.do(func() {
				for _, target := range b.cd.control.suspects {
					suspects = append(suspects, target)
				}
			})
			reached = a.Target.ID
			return a.Emit(messenger.Chunk{Status: http.StatusOK, Data: []byte("2")})
		}
		_, err := b.stream()
		b.Expect(coder.Of(err)).To(BeNil())
		b.Expect(suspects).To(Equal([]string{reached}))
	})
}
