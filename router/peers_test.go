package router_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// Guards against several entries that overload a target by selecting it simultaneously.
var _ = Describe("load reported by other entries", func() {
	It("counts like the entry's own", func() {
		a, b := newSlotRouter(targetCount), newSlotRouter(targetCount)
		for range 11 {
			place(a, shortRequest)
		}
		b.RecordPeers(time.Unix(0, 0), router.Peers{Sends: a.Sends(), Entries: 1})
		first := a.Sends()[0].Target
		place(b, shortRequest)
		Expect(b.Sends()[0].Target).NotTo(Equal(first), "the first target in rank order is full")
	})

	// With thirty entries, reports of each other are 0.2 s old.
	It("does not lead many entries to select the same target, though their reports are old", func() {
		a, b := newSlotRouter(targetCount), newSlotRouter(targetCount)
		a.Seed, b.Seed = 1, 2
		for _, r := range []*router.Router{a, b} {
			r.RecordPeers(time.Unix(0, 0), router.Peers{Entries: 30})
		}
		used, same := map[string]bool{}, 0
		for range 100 {
			p, _ := a.Pick(time.Unix(0, 0), shortRequest)
			q, _ := b.Pick(time.Unix(0, 0), shortRequest)
			used[p.Target.ID], used[q.Target.ID] = true, true
			if p.Target.ID == q.Target.ID {
				same++
			}
		}
		Expect(same).To(BeNumerically("<", 60))
		Expect(len(used)).To(BeNumerically("<=", 4), "few targets decode for short prompts")
	})

	// Pattern: all entries after a restart, each with requests that it has held, and none with the
	// counts of another one.
	It("spreads what entries hold over the targets while none knows of another one", func() {
		const entries, held, targets = 100, 8, 112
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("e", i))
		}
		used := map[string]int{}
		for i := range entries {
			r := newSlotRouter(targets)
			r.Seed = uint64(i)
			r.SetEntries(names[i], names)
			for range held {
				used[place(r, shortRequest).Target.ID]++
			}
		}
		shed := 0
		for _, n := range used {
			shed += max(0, n-slotsPerTarget)
		}
		Expect(shed).To(BeNumerically("<", entries*held/20))
	})

	It("keeps two long prompts on separate targets", func() {
		a, b := newSlotRouter(4), newSlotRouter(4)
		two := longRequest
		two.PrefillTargets = 2
		p := place(a, two)
		b.RecordPeers(time.Unix(0, 0), router.Peers{Sends: a.Sends(), Entries: 1})
		q := place(b, two)
		Expect([]string{q.Target.ID, q.Helpers[0].ID}).NotTo(ContainElements(p.Target.ID))
		Expect([]string{q.Target.ID, q.Helpers[0].ID}).NotTo(ContainElements(p.Helpers[0].ID))
	})

	It("expires when no reports arrive any more", func() {
		a, b := newSlotRouter(1), newSlotRouter(1)
		for range slotsPerTarget {
			place(a, shortRequest)
		}
		b.RecordPeers(time.Unix(0, 0), router.Peers{Sends: a.Sends(), Entries: 1})
		_, ok := b.Pick(time.Unix(0, 0), shortRequest)
		Expect(ok).To(BeFalse())
		b.Update(time.Unix(2, 0), []messenger.Target{b.Target("t0")})
		_, ok = b.Pick(time.Unix(2, 0), shortRequest)
		Expect(ok).To(BeTrue())
	})
})
