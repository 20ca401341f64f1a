package router_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/router"
)

// Pattern: a target whose connections are reset has no requests left and looks the least loaded.
// Guards against most requests of a burst being lost at it.
var _ = Describe("a target that breaks off requests", func() {
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

	// requestsTo returns how many of a hundred requests, one every 10 ms, are sent to the first
	// target in rank order, which breaks off all of them.
	requestsTo := func(r *router.Router) (n int) {
		first, _ := r.Pick(at(0), shortRequest)
		for i := range 100 {
			now := at(time.Duration(i) * 10 * time.Millisecond)
			p, ok := r.Pick(now, shortRequest)
			Expect(ok).To(BeTrue())
			r.Sent(now, p, shortRequest)
			r.PrefillDone(p, shortRequest)
			if p.Target.ID == first.Target.ID {
				n++
				r.Ended(p, shortRequest)
				r.RecordFailure(now, now, p)
			}
		}
		return n
	}

	It("gets few requests where failing targets are ejected", func() {
		r := newSlotRouter(targetCount)
		all := requestsTo(r)
		r = newSlotRouter(targetCount)
		r.EjectFailing = true
		few := requestsTo(r)
		Expect(few).To(BeNumerically("<=", 3))
		Expect(all).To(BeNumerically(">", 4*few), "without ejections")
	})

	It("is ejected at other entries too, for the incarnation that failed", func() {
		a, b := newSlotRouter(targetCount), newSlotRouter(targetCount)
		a.EjectFailing, b.EjectFailing = true, true
		p := place(a, shortRequest)
		Expect(a.RecordFailure(at(0), at(0), p)).To(BeNumerically(">", 0))
		var ejected []string
		record := func(target, _ string, _ time.Duration) { ejected = append(ejected, target) }
		other := a.Ejections(at(0))
		other[0].Incarnation++
		b.RecordPeerEjections(at(0), other, record)
		Expect(ejected).To(BeEmpty())
		b.RecordPeerEjections(at(0), a.Ejections(at(0)), record)
		b.RecordPeerEjections(at(0), a.Ejections(at(0)), record)
		Expect(ejected).To(Equal([]string{p.Target.ID}))
		Expect(b.Accepts(at(0), p)).To(BeFalse())
		Expect(b.Ejections(at(0))).To(BeEmpty(), "only the observer reports it")
		Expect(place(b, shortRequest).Target.ID).NotTo(Equal(p.Target.ID))
	})

	It("stays in use while most targets fail, as the others could not bear the load", func() {
		r := newSlotRouter(targetCount)
		r.EjectFailing = true
		for _, t := range r.Targets("s")[:targetCount/2+1] {
			r.RecordFailure(at(0), at(0), router.Pick{Target: t})
		}
		_, ok := r.Pick(at(0), shortRequest)
		Expect(ok).To(BeTrue())
		Expect(r.Accepts(at(0), router.Pick{Target: r.Targets("s")[0]})).To(BeTrue())
	})

	It("is not ejected where that is not asked for", func() {
		r := newSlotRouter(targetCount)
		p := place(r, shortRequest)
		Expect(r.RecordFailure(at(0), at(0), p)).To(BeZero())
		Expect(r.Ejections(at(0))).To(BeEmpty())
		Expect(r.Accepts(at(0), p)).To(BeTrue())
	})
})
