package router_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

var now = time.Unix(1000, 0)

func fleet(n int, lane string) []messenger.Target {
	var ts []messenger.Target
	for i := range n {
		ts = append(ts, messenger.Target{
			ID: fmt.Sprint(lane, i), Service: "s", Lane: lane, Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 400000, Speed: 10000, Pace: 40},
		})
	}
	return ts
}

func pick(r *router.Router, c router.Case) string {
	c.Service = "s"
	p, ok := r.Pick(now, c)
	if !ok {
		return ""
	}
	r.Sent(now, p, c)
	return p.Target.ID
}

var _ = Describe("routing", func() {
	It("keeps long prompts off the short lane", func() {
		r := router.Router{}
		r.Update(now, append(fleet(4, router.LaneShort), fleet(1, router.LaneLong)...))
		Expect(pick(&r, router.Case{Prompt: 100000})).To(Equal("long0"))
		Expect(pick(&r, router.Case{Prompt: 100000})).To(BeEmpty())
	})

	It("doesn't count long prompts in the wait of short ones, which engines prefill first", func() {
		r := router.Router{}
		ts := fleet(1, "")
		ts[0].Load.ByClass[messenger.Long] = 90000
		r.Update(now, ts)
		Expect(pick(&r, router.Case{Prompt: 100000})).To(BeEmpty())
		Expect(pick(&r, router.Case{Prompt: 3000})).To(Equal("0"))
	})

	It("lets short prompts use a long lane only while it is idle", func() {
		r := router.Router{}
		r.Update(now, append(fleet(1, router.LaneShort), fleet(1, router.LaneLong)...))
		c := router.Case{Prompt: 3000}
		Expect(pick(&r, c)).To(Equal("short0"))
		Expect(pick(&r, c)).To(Equal("long0"))
		Expect(pick(&r, c)).To(BeEmpty())
	})

	It("counts its own sends until their prefill has ended", func() {
		r := router.Router{}
		r.Update(now, fleet(2, ""))
		c := router.Case{Service: "s", Prompt: 2000}
		a, b := pick(&r, c), pick(&r, c)
		Expect(a).NotTo(Equal(b))
		pick(&r, c)
		pick(&r, c)
		Expect(pick(&r, c)).To(BeEmpty())
		r.Started(router.Pick{Target: messenger.Target{ID: a, Incarnation: 1}}, c)
		Expect(pick(&r, c)).To(Equal(a))
	})

	It("prefers the target that got the beginning of the prompt, while it lives", func() {
		r := router.Router{Seed: 3}
		r.Update(now, fleet(50, ""))
		text := strings.Repeat("x", 40000)
		c := router.Case{Prompt: 10000, Text: len(text), Prefix: router.Prefixes("m", text)}
		id := pick(&r, c)
		r.Started(router.Pick{Target: messenger.Target{ID: id, Incarnation: 1}}, router.Case{Prompt: 10000})
		Expect(pick(&r, c)).To(Equal(id))
		again := fleet(50, "")
		for i := range again {
			again[i].Incarnation = 2
		}
		r.Update(now, again)
		p, ok := r.Pick(now, router.Case{Service: "s", Prompt: 10000, Text: len(text), Prefix: c.Prefix})
		Expect(ok).To(BeTrue())
		Expect(p.Cached).To(BeZero())
	})

	It("takes reported tokens as worked off with time", func() {
		r := router.Router{}
		ts := fleet(1, "")
		ts[0].Load.ByClass[messenger.Short] = 10000
		r.Update(now, ts)
		c := router.Case{Service: "s", Prompt: 10}
		_, ok := r.Pick(now.Add(500*time.Millisecond), c)
		Expect(ok).To(BeFalse())
		_, ok = r.Pick(now.Add(time.Second), c)
		Expect(ok).To(BeTrue())
	})

	It("takes no report older than the one it has", func() {
		r := router.Router{}
		r.Update(now, fleet(1, ""))
		r.Report(now, "0", 1, messenger.Load{Seq: 5, ByClass: [4]int{100000}, Speed: 10000})
		r.Report(now, "0", 1, messenger.Load{Seq: 4})
		r.Update(now, fleet(1, ""))
		Expect(pick(&r, router.Case{Prompt: 10})).To(BeEmpty())
		r.Report(now, "0", 2, messenger.Load{Seq: 9})
		Expect(pick(&r, router.Case{Prompt: 10})).To(BeEmpty())
		r.Report(now, "0", 1, messenger.Load{Seq: 9})
		Expect(pick(&r, router.Case{Prompt: 10})).To(Equal("0"))
	})

	It("leaves out leaving, excluded, refusing and full targets", func() {
		r := router.Router{}
		ts := fleet(4, "")
		ts[0].Leaving = true
		ts[1].Load.Used = 399000
		r.Update(now, ts)
		r.Refused("2", now.Add(1))
		Expect(pick(&r, router.Case{Prompt: 2000})).To(Equal("3"))
		Expect(pick(&r, router.Case{Prompt: 100, Exclude: []string{"1", "3"}})).To(BeEmpty())
	})

	It("examines a number of targets that grows with the logarithm of the replicas", func() {
		examined := func(n int) uint64 {
			r := router.Router{}
			ts := fleet(n, "")
			for i := range ts {
				ts[i].Load.ByClass[0] = 1 << 20
			}
			r.Update(now, ts)
			pick(&r, router.Case{Prompt: 100})
			return r.Examined
		}
		Expect(examined(14)).To(BeNumerically("<=", 12))
		Expect(examined(850)).To(BeNumerically("<=", 24))
		Expect(examined(85000)).To(BeNumerically("<=", 38))
	})
})
