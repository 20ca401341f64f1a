package conductor

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Guards against a retry that waits, or costs budget, although no target is left that does
// not pause, and against a Retry-After later than the end of the first pause.
func TestNoRetryWhileAllOtherTargetsPause(t *testing.T) {
	for name, c := range map[string]struct {
		refuse func(a *Attempt) error
		expect func(b *holdBed, err error)
	}{
		"after a refusal with a shorter pause": {
			refuse: func(a *Attempt) error {
				a.ReportPause(2 * time.Second)
				return coder.Errorf(coder.Busy, "")
			},
			expect: func(b *holdBed, err error) { b.expectRefused(err, 2*time.Second) },
		},
		"after a refusal without a pause": {
			refuse: func(*Attempt) error { return coder.Errorf(coder.Busy, "") },
			expect: func(b *holdBed, err error) { // the refusing target may accept the caller's next request
				b.Expect(coder.Of(err)).To(And(HaveField("Code", coder.Overloaded), HaveField("Run", coder.NotRun),
					HaveField("Retry", And(BeNumerically(">=", time.Second), BeNumerically("<=", 1500*time.Millisecond)))))
			},
		},
		"after a failure": {
			refuse: func(*Attempt) error { return coder.Errorf(coder.EngineFailed, "own answer") },
			expect: func(b *holdBed, err error) {
				b.Expect(coder.Of(err)).To(And(HaveField("Code", coder.EngineFailed), HaveField("Text", "own answer")))
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
				b.expectUsed("t1", "t2")
				b.pause(b.target(1), 3*time.Second)
				b.answer = func(_ context.Context, a *Attempt) error { return c.refuse(a) }
				since := time.Now()
				err := b.send()
				c.expect(b, err)
				b.Expect(time.Since(since)).To(BeZero())
				b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
				b.Expect(b.counter("retries")).To(BeZero())
			})
		})
	}
}

// Guards against an attempt beside a silent target while all other targets pause.
func TestNoHedgeWhileAllOtherTargetsPause(t *testing.T) {
	withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
		b.expectUsed("t1", "t2")
		b.pause(b.target(1), 3*time.Second)
		b.answer = func(_ context.Context, a *Attempt) error {
			if a.Target.ID == "t2" {
				return a.Emit(messenger.Chunk{Status: http.StatusOK})
			}
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
			<-time.After(3 * time.Second)
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
			return coder.Errorf(coder.Silent, "")
		}
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.counter("retries")).To(BeEquivalentTo(1))
	})
}

// Guards against a refusal of a suspect request while a target is left that runs another one:
// the targets that hold back requests don't count as left.
func TestHeldTargetsAreNotLeftForSuspectRequests(t *testing.T) {
	v := twoTargets()
	v.ByService = map[string][]messenger.Target{"s": v.Targets}
	withHolds(t, Config{}, v, func(b *holdBed) {
		c := b.cd.control
		c.do(func() {
			c.refreshView()
			c.suspects["other"] = "t1"
			b.Expect(c.excludeSuspectTargets("s", nil)).To(Equal([]string{"t1"}))
			c.scheduler.Router.Pause(c.cfg.Now(), v.Targets[1], time.Second)
			b.Expect(c.excludeSuspectTargets("s", nil)).To(BeEmpty())
		})
	})
}
