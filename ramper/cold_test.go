package ramper_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/ramper"
)

// view passes one target to the Ramper.
func view(r *ramper.Ramper, now time.Time, incarnation, seq uint64, cold time.Duration) {
	r.SetTargets(now, []ramper.Announcement{{ID: "target", Incarnation: incarnation, Seq: seq, Cold: cold, Limit: riga}})
}

// Guards against a cold time that begins anew with each view that repeats a heartbeat, or that
// an old heartbeat ends.
func TestColdTimeCountsDown(t *testing.T) {
	g := NewWithT(t)
	r := settled("10.0.0.0", names(4))
	view(r, start, 1, 1, 3*time.Second)
	view(r, start.Add(2*time.Second), 1, 1, 3*time.Second)
	g.Expect(r.Changes(start.Add(2 * time.Second))).To(Equal([]ramper.Change{{Target: "target", Cold: true, For: 3 * time.Second}}))
	g.Expect(r.Cold()).To(Equal(1))
	g.Expect(r.Changes(start.Add(3 * time.Second))).To(Equal([]ramper.Change{{Target: "target", For: 3 * time.Second, Age: 3 * time.Second}}))
	g.Expect(r.Cold()).To(BeZero())
	x := r.Target("target")
	r.RecordAnswer(start.Add(4*time.Second), x, 2*time.Second)
	view(r, start.Add(5*time.Second), 1, 2, 0)
	g.Expect(r.Changes(start.Add(5 * time.Second))).To(Equal([]ramper.Change{{Target: "target", Cold: true, Source: ramper.SourceAnswer, For: 2 * time.Second}}))
	r.RecordAnswer(start.Add(5500*time.Millisecond), x, 0)
	g.Expect(r.Changes(start.Add(5500 * time.Millisecond))).To(HaveLen(1))
}

// Guards against a target that has started and is taken for a warm one, as its heartbeats do
// not say so.
func TestStartedTargetIsCold(t *testing.T) {
	g := NewWithT(t)
	r := settled("10.0.0.0", names(4))
	cold := func(at time.Duration) bool {
		r.Changes(start.Add(at))
		return r.Cold() == 1
	}
	view(r, start, 1, 1, 0)
	g.Expect(cold(0)).To(BeFalse(), "it may have run for long when this process started")
	view(r, start.Add(time.Second), 2, 1, 0)
	g.Expect(cold(time.Second)).To(BeTrue(), "a new incarnation")
	g.Expect(cold(4 * time.Second)).To(BeFalse())
	r.SetTargets(start.Add(5*time.Second), nil)
	view(r, start.Add(8*time.Second), 2, 1, 0)
	g.Expect(cold(8*time.Second)).To(BeFalse(), "missing for seconds, as while keepers fail")
	r.SetTargets(start.Add(9*time.Second), nil)
	view(r, start.Add(20*time.Second), 2, 1, 0)
	g.Expect(cold(20*time.Second)).To(BeTrue(), "it was gone for long")
	r.RecordLoss(start.Add(30*time.Second), r.Target("target"), riga)
	g.Expect(cold(30*time.Second)).To(BeTrue(), "it broke off a request")
}

// Guards against requests that pile up at a target that is cold, or was so a moment ago, and
// does not answer yet; and against a ramp that does not end.
func TestAnswersRaiseTheLoadOfAColdTarget(t *testing.T) {
	g := NewWithT(t)
	r := settled("10.0.0.0", names(1))
	x := r.Target("target")
	reserve := func(now time.Time) (n int) {
		for ; r.Free(now, x, riga) > 0; n++ {
			r.Reserve(x)
		}
		return n
	}
	view(r, start, 1, 1, 3*time.Second)
	for _, want := range []int{1, 2, 4, 8} {
		g.Expect(reserve(start)).To(Equal(want))
		for range want {
			r.Sent(start, x)
			r.Answered(x)
		}
	}
	g.Expect(reserve(start)).To(Equal(26-15), "the bound for cold targets")
	for range 26 - 15 {
		r.Withdraw(x)
	}
	warm := start.Add(3 * time.Second)
	g.Expect(reserve(warm)).To(Equal(44))
	for range 44 {
		r.Withdraw(x)
	}
	r.RecordLoss(warm, x, riga)
	g.Expect(reserve(warm)).To(Equal(1), "a loss begins the ramp anew")
	g.Expect(r.Free(warm.Add(20*time.Second), x, riga)).To(Equal(43), "it ends without answers too")
}
