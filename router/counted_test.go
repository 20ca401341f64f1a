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

// These answer prompts that exceed what is left of one target's memory.
var _ = Describe("memory of targets that tell their slots", func() {
	small := func(n, memory int) *router.Router {
		r := &router.Router{Seed: 1}
		var targets []messenger.Target
		for i := range n {
			targets = append(targets, messenger.Target{
				ID: fmt.Sprintf("t%d", i), Service: "s", Slots: countedSlots, Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: memory},
			})
		}
		r.Update(time.Unix(0, 0), targets)
		return r
	}
	sum := func(p router.Pick) (n int) {
		for _, s := range p.Shares {
			n += s
		}
		return n
	}

	It("is shared by helpers for what the first has no room for", func() {
		r := small(4, 100000)
		p := place(r, longCase)
		Expect(sum(p)).To(BeNumerically(">=", longCase.Prompt+longCase.Output-95000))
		Expect(sum(p)).To(BeNumerically("<=", longCase.Prompt+longCase.Output))
		r.Started(p, longCase)
		r.Ended(p, longCase)
		Expect(r.Sends()).To(BeEmpty())
	})

	It("has more targets join that would not be needed to read", func() {
		r := small(6, 60000)
		two := longCase
		two.Pieces = 2
		Expect(len(place(r, two).Helpers)).To(BeNumerically(">=", 3))
	})

	It("holds nothing that doesn't fit", func() {
		r := small(3, 60000)
		_, ok := r.Pick(time.Unix(0, 0), longCase)
		Expect(ok).To(BeFalse())
	})
})

// This answers single prompts so long that their read holds up everybody.
var _ = Describe("a heavy prompt", func() {
	heavy := router.Case{
		Service: "s", Prompt: 700000, Output: 800, Read: 25 * time.Second, Pieces: 500, Aim: 3 * time.Second, Gap: 800 * time.Millisecond,
	}
	It("gets few targets, which nobody else uses", func() {
		r := counted(countedNumber)
		used := place(r, shortCase).Target.ID
		p := place(r, heavy)
		Expect(p.Helpers).To(HaveLen(3))
		for _, t := range append(p.Helpers, p.Target) {
			Expect(t.ID).NotTo(Equal(used))
		}
		Expect(r.Heavy(heavy)).To(BeTrue())
		Expect(r.Heavy(longCase)).To(BeFalse())
	})

	It("gets none while too few are idle", func() {
		r := counted(5)
		place(r, shortCase)
		place(r, longCase)
		_, ok := r.Pick(time.Unix(0, 0), heavy)
		Expect(ok).To(BeFalse())
	})

	It("is left out by later reads for as long as it is read", func() {
		r := counted(countedNumber)
		p := place(r, heavy)
		q := place(r, longCase)
		for _, t := range append(p.Helpers, p.Target) {
			Expect(q.Target.ID).NotTo(Equal(t.ID))
			for _, h := range q.Helpers {
				Expect(h.ID).NotTo(Equal(t.ID))
			}
		}
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
