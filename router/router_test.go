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

func newTargets(n int, lane string) []messenger.Target {
	var ts []messenger.Target
	for i := range n {
		ts = append(ts, messenger.Target{
			ID: fmt.Sprint(lane, i), Service: "s", Lane: lane, Incarnation: 1,
			Load: messenger.Load{Seq: 1, Memory: 400000, Speed: 10000, Pace: 40},
		})
	}
	return ts
}

// pick selects a target for req, records the request as sent and returns the target's ID,
// or "" if no target accepts it.
func pick(r *router.Router, req router.Request) string {
	req.Service = "s"
	p, ok := r.Pick(now, req)
	if !ok {
		return ""
	}
	r.Sent(now, p, req)
	return p.Target.ID
}

var _ = Describe("routing", func() {
	It("keeps long prompts off the short lane", func() {
		r := router.Router{}
		r.Update(now, append(newTargets(4, router.LaneShort), newTargets(1, router.LaneLong)...))
		Expect(pick(&r, router.Request{Prompt: 100000})).To(Equal("long0"))
		Expect(pick(&r, router.Request{Prompt: 100000})).To(BeEmpty())
	})

	It("leaves long prompts out of the wait of short ones, which engines prefill first", func() {
		r := router.Router{}
		ts := newTargets(1, "")
		ts[0].Load.ByClass[messenger.Long] = 90000
		r.Update(now, ts)
		Expect(pick(&r, router.Request{Prompt: 100000})).To(BeEmpty())
		Expect(pick(&r, router.Request{Prompt: 3000})).To(Equal("0"))
	})

	It("admits short prompts to the long lane only while it is idle", func() {
		r := router.Router{}
		r.Update(now, append(newTargets(1, router.LaneShort), newTargets(1, router.LaneLong)...))
		req := router.Request{Prompt: 3000}
		Expect(pick(&r, req)).To(Equal("short0"))
		Expect(pick(&r, req)).To(Equal("long0"))
		Expect(pick(&r, req)).To(BeEmpty())
	})

	It("counts its own sends until their prefill has ended", func() {
		r := router.Router{}
		r.Update(now, newTargets(2, ""))
		req := router.Request{Service: "s", Prompt: 2000}
		a, b := pick(&r, req), pick(&r, req)
		Expect(a).NotTo(Equal(b))
		pick(&r, req)
		pick(&r, req)
		Expect(pick(&r, req)).To(BeEmpty())
		r.PrefillDone(router.Pick{Target: messenger.Target{ID: a, Incarnation: 1}}, req)
		Expect(pick(&r, req)).To(Equal(a))
	})

	It("prefers the target that received the same prefix, within one incarnation", func() {
		r := router.Router{Seed: 3}
		r.Update(now, newTargets(50, ""))
		text := strings.Repeat("x", 40000)
		req := router.Request{Prompt: 10000, PromptBytes: len(text), PrefixHashes: router.PrefixHashes("m", text)}
		id := pick(&r, req)
		r.PrefillDone(router.Pick{Target: messenger.Target{ID: id, Incarnation: 1}}, router.Request{Prompt: 10000})
		Expect(pick(&r, req)).To(Equal(id))
		restarted := newTargets(50, "")
		for i := range restarted {
			restarted[i].Incarnation = 2
		}
		r.Update(now, restarted)
		p, ok := r.Pick(now, router.Request{Service: "s", Prompt: 10000, PromptBytes: len(text), PrefixHashes: req.PrefixHashes})
		Expect(ok).To(BeTrue())
		Expect(p.Cached).To(BeZero())
	})

	It("reduces the reported tokens by what was prefilled since the report", func() {
		r := router.Router{}
		ts := newTargets(1, "")
		ts[0].Load.ByClass[messenger.Short] = 10000
		r.Update(now, ts)
		req := router.Request{Service: "s", Prompt: 10}
		_, ok := r.Pick(now.Add(500*time.Millisecond), req)
		Expect(ok).To(BeFalse())
		_, ok = r.Pick(now.Add(time.Second), req)
		Expect(ok).To(BeTrue())
	})

	It("ignores reports of other incarnations and older than the recorded one", func() {
		r := router.Router{}
		r.Update(now, newTargets(1, ""))
		r.Report(now, "0", 1, messenger.Load{Seq: 5, ByClass: [4]int{100000}, Speed: 10000})
		r.Report(now, "0", 1, messenger.Load{Seq: 4})
		r.Update(now, newTargets(1, ""))
		Expect(pick(&r, router.Request{Prompt: 10})).To(BeEmpty())
		r.Report(now, "0", 2, messenger.Load{Seq: 9})
		Expect(pick(&r, router.Request{Prompt: 10})).To(BeEmpty())
		r.Report(now, "0", 1, messenger.Load{Seq: 9})
		Expect(pick(&r, router.Request{Prompt: 10})).To(Equal("0"))
	})

	It("skips leaving, excluded, refusing and full targets", func() {
		r := router.Router{}
		ts := newTargets(4, "")
		ts[0].Leaving = true
		ts[1].Load.Used = 399000
		r.Update(now, ts)
		r.Refused("2", now.Add(1))
		Expect(pick(&r, router.Request{Prompt: 2000})).To(Equal("3"))
		Expect(pick(&r, router.Request{Prompt: 100, Exclude: []string{"1", "3"}})).To(BeEmpty())
	})

	It("examines a number of targets that grows with the logarithm of the replicas", func() {
		examined := func(n int) uint64 {
			r := router.Router{}
			ts := newTargets(n, "")
			for i := range ts {
				ts[i].Load.ByClass[0] = 1 << 20
			}
			r.Update(now, ts)
			pick(&r, router.Request{Prompt: 100})
			return r.Examined
		}
		Expect(examined(14)).To(BeNumerically("<=", 12))
		Expect(examined(850)).To(BeNumerically("<=", 24))
		Expect(examined(85000)).To(BeNumerically("<=", 38))
	})
})
