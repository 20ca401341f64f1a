package router_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// Guards against segments of a prompt that exceeds every engine's memory, which are sent
// beside Pick and beyond the bound.
func TestSegmentsCountAtTheirTargets(t *testing.T) {
	g := NewWithT(t)
	r, now := newBoundRouter(1, 31, 0), time.Unix(0, 0)
	p, ok := r.PickTarget(now, "t0")
	g.Expect(ok).To(BeTrue())
	_, ok = r.PickTarget(now, "t0")
	g.Expect(ok).To(BeFalse())
	_, ok = r.Pick(now, plainRequest)
	g.Expect(ok).To(BeFalse())
	r.Unsent(p)
	_, ok = r.Pick(now, plainRequest)
	g.Expect(ok).To(BeTrue())
}

// Guards against a share that begins anew with an incarnation of its target, or after its
// target was missing from a view.
func TestShareOutlivesTheViewOfItsTarget(t *testing.T) {
	g := NewWithT(t)
	r, now := newBoundRouter(1, 31, 64), time.Unix(0, 0)
	g.Expect(sendBounded(r, now)).To(BeTrue())
	r.Update(now, nil)
	r.Update(now, []messenger.Target{{ID: "t0", Service: "s", Slots: 64, Incarnation: 2}})
	g.Expect(sendBounded(r, now)).To(BeFalse())
	g.Expect(sendBounded(r, now.Add(1100*time.Millisecond))).To(BeTrue())
}

// Guards against helpers of a prompt that are refused as if they got a request.
func TestHelpersNeedNoShare(t *testing.T) {
	g := NewWithT(t)
	r, now := newBoundRouter(2, 31, 64), time.Unix(0, 0)
	used, _ := r.Pick(now, plainRequest)
	r.Sent(now, used, plainRequest)
	other := r.Target("t0")
	if used.Target.ID == "t0" {
		other = r.Target("t1")
	}
	g.Expect(r.Accepts(now, router.Pick{Target: other, Helpers: []messenger.Target{used.Target}})).To(BeTrue())
	g.Expect(r.Accepts(now, router.Pick{Target: used.Target, Helpers: []messenger.Target{other}})).To(BeFalse())
}

// Guards against a service without the figure that is bounded.
func TestServiceWithoutBoundIsNotBounded(t *testing.T) {
	r, now := newBoundRouter(1, 31, 0), time.Unix(0, 0)
	r.ColdBound = nil
	r.Update(now, []messenger.Target{{ID: "t0", Service: "s", Incarnation: 1}})
	for range 200 {
		if !sendBounded(r, now) {
			t.Fatal("not sent")
		}
	}
}
