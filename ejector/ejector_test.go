package ejector_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/ejector"
)

var start = time.Unix(1000, 0)

// Guards against a target that goes down and up by turns and receives most requests meanwhile,
// because it looks the least loaded whenever its requests were broken off.
func TestTargetThatGoesDownByTurnsGetsFewRequests(t *testing.T) {
	const (
		period   = time.Second // half of it down
		interval = 10 * time.Millisecond
	)
	g := NewWithT(t)
	var e ejector.Ejector
	failed := 0
	for d := time.Duration(0); d < 10*time.Second; d += interval {
		now := start.Add(d)
		switch down := d%period < period/2; {
		case e.Limit(now, 12) == 0:
		case down:
			failed++
			e.Failed(now, now)
		default:
			e.Succeeded()
		}
	}
	g.Expect(failed).To(BeNumerically("<=", 20), "of 500 requests that would be sent while it is down")
}

// Guards against capacity that is lost because single requests are broken off: one in twenty,
// as when answers are lost on the way.
func TestTargetThatFailsRarelyStaysInUse(t *testing.T) {
	const interval = 50 * time.Millisecond
	g := NewWithT(t)
	var e ejector.Ejector
	used, n := 0, 0
	for d := time.Duration(0); d < time.Minute; d += interval {
		now := start.Add(d)
		if e.Limit(now, 12) == 0 {
			continue
		}
		if used++; used%20 == 0 {
			e.Failed(now, now)
		} else {
			e.Succeeded()
		}
		n++
	}
	g.Expect(n).To(BeNumerically(">", int(time.Minute/interval)/2))
}

// Guards against an ejection that is prolonged by requests that were running when it began.
func TestRunningRequestsDoNotProlongAnEjection(t *testing.T) {
	g := NewWithT(t)
	var e ejector.Ejector
	g.Expect(e.Failed(start, start.Add(-time.Second))).To(BeTrue())
	left := e.Left(start)
	for range 100 {
		g.Expect(e.Failed(start, start.Add(-time.Millisecond))).To(BeFalse())
	}
	g.Expect(e.Left(start)).To(Equal(left))
}

// Guards against targets that get more requests than they have slots, stay ejected for good, or
// get none after their ejection has ended.
func TestEjectionEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var e ejector.Ejector
		now, slots := start, rapid.IntRange(1, 64).Draw(t, "slots")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				e.Failed(now, now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond))
			case 1:
				e.Succeeded()
			case 2:
				e.Adopt(now, time.Duration(rapid.IntRange(-1, 20_000).Draw(t, "left"))*time.Millisecond)
			}
			left := e.Left(now)
			g.Expect(left).To(And(BeNumerically(">=", 0), BeNumerically("<=", 8*time.Second)))
			limit := e.Limit(now, slots)
			g.Expect(limit == 0).To(Equal(e.Ejected(now)))
			g.Expect(limit).To(And(BeNumerically(">=", 0), BeNumerically("<=", slots)))
			g.Expect(e.Limit(now.Add(left), slots)).To(BeNumerically(">=", 1))
			g.Expect(e.Limit(now.Add(left+8*time.Second), slots)).To(Equal(slots))
		}
	})
}
