package router_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

const (
	countedSlots  = 16
	countedNumber = 14
)

// counted returns a Router with targets that tell their slots.
func counted(n int) *router.Router {
	r := &router.Router{Seed: 1}
	var targets []messenger.Target
	for i := range n {
		targets = append(targets, messenger.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: countedSlots, Incarnation: 1})
	}
	r.Update(time.Unix(0, 0), targets)
	return r
}

var (
	shortCase = router.Case{Service: "s", Prompt: 5000, Output: 1600, Read: 20 * time.Millisecond, Pieces: 1}
	longCase  = router.Case{Service: "s", Prompt: 210000, Output: 800, Read: 2800 * time.Millisecond, Pieces: 56}
	plainCase = router.Case{Service: "s", Prompt: 1}
)

func place(r *router.Router, c router.Case) router.Pick {
	GinkgoHelper()
	p, ok := r.Pick(time.Unix(0, 0), c)
	Expect(ok).To(BeTrue())
	r.Sent(time.Unix(0, 0), p, c)
	return p
}

// These answer phases of short prompts and of long ones in turn.
var _ = Describe("targets that tell their slots", func() {
	It("are filled one after the other by short prompts", func() {
		r := counted(countedNumber)
		used := map[string]int{}
		for range 33 {
			p := place(r, shortCase)
			used[p.Target.ID]++
			r.Started(p, shortCase)
		}
		Expect(used).To(HaveLen(3))
	})

	It("read a long prompt together, beyond those that short ones fill", func() {
		r := counted(countedNumber)
		short := map[string]bool{}
		for range 33 {
			p := place(r, shortCase)
			short[p.Target.ID] = true
			r.Started(p, shortCase)
		}
		p := place(r, longCase)
		Expect(p.Helpers).To(HaveLen(countedNumber - len(short) - 1))
		for _, t := range append(p.Helpers, p.Target) {
			Expect(short).NotTo(HaveKey(t.ID))
		}
	})

	It("leave at least half of them to long prompts and no short one waits for a long read", func() {
		r := counted(4)
		for range 4 * countedSlots * 6 / 10 {
			place(r, shortCase)
		}
		p := place(r, longCase)
		Expect(p.Helpers).To(HaveLen(1))
		Expect([]string{p.Target.ID, p.Helpers[0].ID}).NotTo(ContainElement(place(r, shortCase).Target.ID))
	})

	It("get calls of a plain service evenly", func() {
		r := counted(3)
		used := map[string]int{}
		for range 9 {
			used[place(r, plainCase).Target.ID]++
		}
		Expect(used).To(HaveEach(3))
	})

	It("take no more than they have slots", func() {
		r := counted(2)
		for range 2 * countedSlots {
			place(r, shortCase)
		}
		_, ok := r.Pick(time.Unix(0, 0), shortCase)
		Expect(ok).To(BeFalse())
	})

	It("have their room back when requests end", func() {
		r := counted(1)
		var picks []router.Pick
		for range countedSlots {
			picks = append(picks, place(r, longCase))
		}
		for _, p := range picks {
			r.Started(p, longCase)
			r.Ended(p, longCase)
		}
		Expect(r.Sends()).To(BeEmpty())
	})
})

// These answer several entries that place requests at the same moment.
var _ = Describe("what other entries have at targets", func() {
	It("counts like an entry's own", func() {
		a, b := counted(countedNumber), counted(countedNumber)
		for range 11 {
			place(a, shortCase)
		}
		b.Learn(time.Unix(0, 0), "a", a.Sends())
		first := a.Sends()[0].Target
		place(b, shortCase)
		Expect(b.Sends()[0].Target).NotTo(Equal(first), "the first target in rank is full")
	})

	It("keeps two long prompts apart", func() {
		a, b := counted(4), counted(4)
		two := longCase
		two.Pieces = 2
		p := place(a, two)
		b.Learn(time.Unix(0, 0), "a", a.Sends())
		q := place(b, two)
		Expect([]string{q.Target.ID, q.Helpers[0].ID}).NotTo(ContainElements(p.Target.ID))
		Expect([]string{q.Target.ID, q.Helpers[0].ID}).NotTo(ContainElements(p.Helpers[0].ID))
	})

	It("is forgotten when an entry falls silent", func() {
		a, b := counted(1), counted(1)
		for range countedSlots {
			place(a, shortCase)
		}
		b.Learn(time.Unix(0, 0), "a", a.Sends())
		_, ok := b.Pick(time.Unix(0, 0), shortCase)
		Expect(ok).To(BeFalse())
		b.Learn(time.Unix(2, 0), "c", nil)
		_, ok = b.Pick(time.Unix(2, 0), shortCase)
		Expect(ok).To(BeTrue())
	})
})
