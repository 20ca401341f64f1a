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

// These answer long prompts beside streams of short ones that allow shorter pauses.
var _ = Describe("a long read", func() {
	short, middle, long := shortCase, longCase, longCase
	short.Aim, short.Gap, short.Pass = 300*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond
	middle.Prompt, middle.Read, middle.Pieces = 45000, 270*time.Millisecond, 6
	middle.Aim, middle.Gap, middle.Pass = 1500*time.Millisecond, 500*time.Millisecond, 60*time.Millisecond
	long.Aim, long.Gap, long.Pass = 3*time.Second, 800*time.Millisecond, 60*time.Millisecond
	// busy has a short stream at every target.
	busy := func(n int) *router.Router {
		r := counted(n)
		for range n {
			p := place(r, short)
			r.Refused(p.Target.ID, time.Unix(1, 0))
			r.Started(p, short)
		}
		return r
	}
	now := time.Unix(2, 0)

	It("goes beside short streams in parts that they bear", func() {
		p, ok := busy(countedNumber).Pick(now, middle)
		Expect(ok).To(BeTrue())
		part := middle.Read / time.Duration(1+len(p.Helpers))
		Expect(part + middle.Pass).To(BeNumerically("<=", short.Gap))
	})

	It("waits while its parts would hold up every target's streams, though not for long", func() {
		r := busy(countedNumber)
		_, ok := r.Pick(now, long)
		Expect(ok).To(BeFalse())
		waited := long
		waited.Waited = long.Aim / 3
		_, ok = r.Pick(now, waited)
		Expect(ok).To(BeTrue())
	})

	It("doesn't go where another one is read that leaves no room in the pause", func() {
		r := counted(4)
		c := long
		c.Read = 1200 * time.Millisecond
		for range 2 {
			p, ok := r.Pick(now, c)
			Expect(ok).To(BeTrue())
			r.Sent(now, p, c)
		}
		_, ok := r.Pick(now, c)
		Expect(ok).To(BeFalse())
	})

	It("goes to more targets, though it holds streams up, once those that bear it lack the memory", func() {
		r := &router.Router{Seed: 1}
		var targets []messenger.Target
		for i := range 4 {
			targets = append(targets, messenger.Target{
				ID: fmt.Sprintf("t%d", i), Service: "s", Slots: countedSlots, Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: 60000},
			})
		}
		r.Update(now, targets)
		for range 3 { // the other three have a short stream each
			p := place(r, short)
			r.Refused(p.Target.ID, time.Unix(1, 0))
			r.Started(p, short)
		}
		c := long
		c.Prompt, c.Read, c.Pieces = 80000, 500*time.Millisecond, 10
		_, ok := r.Pick(now, c)
		Expect(ok).To(BeFalse(), "one target bears it, and has no room for it")
		c.Waited = c.Aim / 3
		p, ok := r.Pick(now, c)
		Expect(ok).To(BeTrue())
		Expect(p.Helpers).NotTo(BeEmpty())
	})

	It("counts the streams of other entries", func() {
		r := counted(countedNumber)
		r.Learn(now, "other", busy(countedNumber).Sends())
		_, ok := r.Pick(now, long)
		Expect(ok).To(BeFalse())
	})
})

// This answers single prompts so long that their read holds up everybody.
var _ = Describe("a heavy prompt", func() {
	heavy := router.Case{
		Service: "s", Prompt: 500000, Output: 800, Read: 13 * time.Second, Pieces: 260, Aim: 3 * time.Second, Gap: 800 * time.Millisecond, Pass: 60 * time.Millisecond,
	}
	It("gets idle targets alone, so many that its first token comes in time", func() {
		r := counted(countedNumber)
		used := place(r, shortCase).Target.ID
		p := place(r, heavy)
		Expect(heavy.Read / time.Duration(1+len(p.Helpers))).To(BeNumerically("<=", heavy.Aim))
		for _, t := range append(p.Helpers, p.Target) {
			Expect(t.ID).NotTo(Equal(used))
		}
	})

	It("is read late by an idle fleet that could not read it in time", func() {
		most := heavy
		most.Read = 50 * time.Second
		r := counted(countedNumber)
		p, ok := r.Pick(time.Unix(0, 0), most)
		Expect(ok).To(BeTrue())
		place(r, shortCase)
		_, ok = r.Pick(time.Unix(0, 0), most)
		Expect(ok).To(BeFalse(), "the others would have no target for seconds")
		Expect(most.Read / time.Duration(1+len(p.Helpers))).To(BeNumerically("<", 4*most.Aim))
		p, ok = counted(4).Pick(time.Unix(0, 0), heavy)
		Expect(ok).To(BeTrue())
		Expect(heavy.Read / time.Duration(1+len(p.Helpers))).To(BeNumerically("<", 4*heavy.Aim))
	})

	It("is told from a long one, and only after a wait", func() {
		r := counted(countedNumber)
		Expect(r.Heavy(heavy)).To(BeFalse())
		waited := heavy
		waited.Waited = heavy.Aim / 3
		Expect(r.Heavy(waited)).To(BeTrue())
		long := waited
		long.Read = 3 * time.Second
		Expect(r.Heavy(long)).To(BeFalse())
	})

	It("gets none while too few are idle", func() {
		r := counted(5)
		place(r, shortCase)
		place(r, longCase)
		_, ok := r.Pick(time.Unix(0, 0), heavy)
		Expect(ok).To(BeFalse())
	})

	It("keeps other reads off its targets for as long as it is read", func() {
		r := counted(countedNumber)
		p := place(r, heavy)
		other := heavy
		other.Read, other.Pieces = 3*time.Second, 60
		_, ok := r.Pick(time.Unix(0, 0), other)
		Expect(ok).To(BeFalse())
		r.Started(p, heavy)
		r.Ended(p, heavy)
		_, ok = r.Pick(time.Unix(0, 0), other)
		Expect(ok).To(BeTrue())
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

	// Thirty entries hear of each other 0.2 s late.
	It("is too old among many entries for all of them to choose the same target", func() {
		a, b := counted(countedNumber), counted(countedNumber)
		a.Seed, b.Seed = 1, 2
		for i := range 30 {
			for _, r := range []*router.Router{a, b} {
				r.Learn(time.Unix(0, 0), fmt.Sprint("e", i), nil)
			}
		}
		used, same := map[string]bool{}, 0
		for range 100 {
			p, _ := a.Pick(time.Unix(0, 0), shortCase)
			q, _ := b.Pick(time.Unix(0, 0), shortCase)
			used[p.Target.ID], used[q.Target.ID] = true, true
			if p.Target.ID == q.Target.ID {
				same++
			}
		}
		Expect(same).To(BeNumerically("<", 60))
		Expect(len(used)).To(BeNumerically("<=", 4), "few targets write for short prompts")
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
