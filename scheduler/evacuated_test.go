package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Guards against waits that are predicted by the drain rate of targets that have left together,
// as those of an evacuated zone, and by that of the remaining ones once the others return.
func TestDrainRateFollowsCapacity(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := &Scheduler{}
	targets := func(leaving bool) []messenger.Target {
		load := messenger.Load{Seq: 1, Memory: 1 << 20, Speed: 8000, Pace: 25}
		return []messenger.Target{
			{ID: "t1", Service: "s", Incarnation: 1, Load: load}, {ID: "t2", Service: "s", Incarnation: 1, Load: load, Leaving: leaving},
		}
	}
	s.UpdateTargets(now, targets(false))
	ticket := &Ticket{ID: "r", Service: "s", Prompt: 100, Output: 10}
	s.Enqueue(ticket)
	k := s.key(ticket)
	d := s.drains[k]
	d.since, d.tokens = now, 50000
	now = now.Add(10 * time.Second)
	rate := func() int { return d.rate(now, s.prefillRate(k), 0) }
	g.Expect(rate()).To(Equal(5000))
	s.UpdateTargets(now, targets(true))
	g.Expect(rate()).To(Equal(2500))
	s.UpdateTargets(now, targets(false))
	g.Expect(rate()).To(Equal(5000))
	s.UpdateTargets(now, nil)
	g.Expect(d.tokens).To(BeEquivalentTo(50000), "no rate to follow")
}

// Guards against a refusal without the reason that no target is left.
func TestRefusalStatesWhyThereIsNoTarget(t *testing.T) {
	g, s := NewWithT(t), &Scheduler{}
	ticket := &Ticket{ID: "r", Service: "s", Prompt: 100}
	g.Expect(coder.Of(s.Admit(time.Unix(1000, 0), ticket))).To(And(HaveField("Code", coder.NoTarget), HaveField("Text", `service "s"`)))
	why := ""
	s.WhyNoTarget = func(service string) string { return why + service[:0] }
	g.Expect(coder.Of(s.Admit(time.Unix(1000, 0), ticket))).To(HaveField("Text", `service "s"`))
	why = "all are away"
	g.Expect(coder.Of(s.Admit(time.Unix(1000, 0), ticket))).To(And(HaveField("Text", `service "s": all are away`), HaveField("Retry", BeNumerically(">", 0))))
}
