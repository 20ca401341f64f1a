package conductor

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
)

// Guards against targets that stay in use though they break off what they are sent, and
// against targets that are taken out of use for answers of their own or for callers that leave.
func TestTargetIsEjectedForRequestsThatItBreaksOff(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		ejected bool
	}{
		"broken off":       {coder.Errorf(coder.TargetLost, "connection reset"), true},
		"failed by itself": {coder.Errorf(coder.EngineFailed, "the target answered 500"), false},
		"cancelled":        {coder.Errorf(coder.Cancelled, ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			expectEjected(t, c.err, c.ejected)
		})
	}
}

// expectEjected has one of three targets fail with an error, and expects whether that ejects it.
func expectEjected(t *testing.T, failure error, ejected bool) {
	t.Helper()
	withHolds(t, Config{EjectFailing: true}, manyTargets(3), func(b *holdBed) {
		failing := ""
		b.answer = func(_ context.Context, a *Attempt) error {
			if failing == "" {
				failing = a.Target.ID
			}
			if a.Target.ID == failing {
				return failure
			}
			return nil
		}
		_ = b.send() // fails where no retry may follow
		if !ejected {
			b.Expect(b.cd.Ejections()).To(BeEmpty())
			return
		}
		b.Expect(b.cd.Ejections()).To(HaveLen(1))
		b.targetsReached()
		for range 20 {
			b.Expect(b.send()).To(Succeed())
		}
		b.Expect(b.targetsReached()).NotTo(ContainElement(failing))
	})
}
