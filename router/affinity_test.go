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

// promptOf returns a request for a target of newTargets, whose prompt of 10,000 tokens begins
// with the text of the given name.
func promptOf(name string) router.Request {
	text := strings.Repeat(name, 40_000/len(name)+1)[:40_000]
	return router.Request{Service: "s", Prompt: 10_000, Output: 100, PromptBytes: len(text), PrefixHashes: router.PrefixHashes("m", text)}
}

// prefixBed is a Router in the time of its requests.
type prefixBed struct {
	router.Router
	now time.Time
}

func newPrefixBed(targets []messenger.Target) *prefixBed {
	b := &prefixBed{Router: router.Router{Seed: 1}, now: now}
	b.Update(b.now, targets)
	return b
}

// send sends a request, and ends its prefill at once if done is set.
func (b *prefixBed) send(req router.Request, done bool) router.Pick {
	GinkgoHelper()
	p, ok := b.Pick(b.now, req)
	Expect(ok).To(BeTrue())
	b.Sent(b.now, p, req)
	if done {
		b.PrefillDone(p, req)
	}
	return p
}

var _ = Describe("a cached prefix", func() {
	// Pattern: one prefix in half of the traffic. Guards against requests that pile up at its
	// first holder, and against a copy at each target.
	It("gets a second holder when the wait exceeds the bound, and later requests use both", func() {
		b := newPrefixBed(newTargets(50, ""))
		hot := promptOf("hot")
		first := b.send(hot, true)
		queued := []router.Pick{b.send(hot, false), b.send(hot, false)}
		for _, p := range queued {
			Expect(p.Target.ID).To(Equal(first.Target.ID), "a copy takes longer than the wait")
		}
		second := b.send(hot, false)
		Expect(second.Target.ID).NotTo(Equal(first.Target.ID))
		Expect(second.Cached).To(BeZero())
		for _, p := range append(queued, second) {
			b.PrefillDone(p, hot)
		}
		used := map[string]int{}
		for range 4 {
			p := b.send(hot, false)
			used[p.Target.ID]++
			Expect(p.Cached).To(BeNumerically(">", 0))
		}
		Expect(used).To(Equal(map[string]int{first.Target.ID: 2, second.Target.ID: 2}))
	})

	It("gets a second holder when the wait exceeds the prefill of a copy", func() {
		b := newPrefixBed(newTargets(50, ""))
		hot := promptOf("hot")
		hot.Prompt = 1000 // 82 ms of its 100 ms are saved
		first := b.send(hot, true)
		used := map[string]int{}
		for range 8 {
			used[b.send(hot, false).Target.ID]++
		}
		Expect(used).To(HaveKeyWithValue(first.Target.ID, BeNumerically(">", 3)))
		Expect(len(used)).To(BeNumerically(">", 1))
		Expect(used).NotTo(HaveKeyWithValue(first.Target.ID, 8))
	})

	It("counts as far as it is likely to be there", func() {
		b := newPrefixBed(newTargets(50, ""))
		b.send(promptOf("a"), true)
		p, _ := b.Pick(b.now, promptOf("a"))
		Expect(p.Probability).To(Equal(1.0))
		Expect(p.Cached).To(Equal(8192))
		p, _ = b.Pick(b.now.Add(time.Minute), promptOf("a"))
		Expect(p.Probability).To(Equal(0.75))
		p, _ = b.Pick(b.now.Add(2*time.Minute+1), promptOf("a"))
		Expect(p.Cached).To(BeZero())
	})

	It("counts less the more was sent there since, by all entries", func() {
		cached := func(entries ...string) int {
			b := newPrefixBed(newTargets(1, ""))
			b.SetEntries("e0", entries)
			b.send(promptOf("a"), true)
			for i := range 25 {
				b.send(promptOf(fmt.Sprint("other", i)), true)
				b.Report(b.now, "0", 1, messenger.Load{Seq: uint64(2 + i), Memory: 400_000, Speed: 10_000})
			}
			p, _ := b.Pick(b.now, promptOf("a"))
			return p.Cached
		}
		Expect(cached("e0")).To(And(BeNumerically("<", 8192), BeNumerically(">", 4000)))
		Expect(cached("e0", "e1")).To(BeNumerically("<", 2500))
		Expect(cached("e0", "e1", "e2", "e3")).To(BeZero())
	})

	// Pattern: a holder is full.
	It("counts nothing at a holder without memory, and requests go elsewhere", func() {
		ts := newTargets(10, "")
		b := newPrefixBed(ts)
		holder := b.send(promptOf("a"), true).Target.ID
		b.Report(b.now, holder, 1, messenger.Load{Seq: 2, Memory: 400_000, Used: 395_000, Speed: 10_000})
		for range 20 {
			Expect(b.send(promptOf("a"), true).Target.ID).NotTo(Equal(holder))
		}
	})

	It("counts less the less memory is left beside the requests at its holder", func() {
		cached := func(used int) int {
			b := newPrefixBed(newTargets(1, ""))
			b.send(promptOf("a"), true)
			b.send(promptOf("b"), true)
			b.Report(b.now, "0", 1, messenger.Load{Seq: 2, Memory: 400_000, Used: used, Speed: 10_000})
			p, _ := b.Pick(b.now, promptOf("a"))
			return p.Cached
		}
		Expect(cached(0)).To(Equal(8192))
		Expect(cached(380_000)).To(And(BeNumerically(">", 2000), BeNumerically("<", 6000)))
		Expect(cached(385_000)).To(BeZero())
	})

	// Pattern: a holder has no capacity: it leaves, refuses, is excluded or has a long wait.
	It("ranks only targets that may be chosen", func() {
		for name, block := range map[string]func(*prefixBed, string, *router.Request){
			"refuses":  func(b *prefixBed, id string, _ *router.Request) { b.Refused(id, b.now.Add(time.Second)) },
			"excluded": func(_ *prefixBed, id string, req *router.Request) { req.Exclude = []string{id} },
			"waits": func(b *prefixBed, id string, _ *router.Request) {
				b.Report(b.now, id, 1, messenger.Load{Seq: 9, Memory: 400_000, Speed: 10_000, ByClass: [4]int{3000}})
			},
			"leaves": func(b *prefixBed, id string, _ *router.Request) {
				ts := newTargets(10, "")
				for i := range ts {
					ts[i].Leaving = ts[i].ID == id
				}
				b.Update(b.now, ts)
			},
			"another service": func(b *prefixBed, id string, _ *router.Request) {
				ts := newTargets(10, "")
				for i := range ts {
					if ts[i].ID == id {
						ts[i].Service = "other"
					}
				}
				b.Update(b.now, ts)
			},
		} {
			b := newPrefixBed(newTargets(10, ""))
			holder := b.send(promptOf("a"), true).Target.ID
			req := promptOf("a")
			block(b, holder, &req)
			p, ok := b.Pick(b.now, req)
			Expect(ok).To(BeTrue(), name)
			Expect(p.Target.ID).NotTo(Equal(holder), name)
		}
	})

	// Pattern: hints are wrong, as engines keep nothing and don't say so.
	It("counts little after wrong hints, and again after right ones", func() {
		b := newPrefixBed(newTargets(1, ""))
		b.send(promptOf("a"), true)
		for range 10 {
			p := b.send(promptOf("a"), true)
			b.RecordCached(b.now, p, messenger.Usage{Prompt: 10_000})
			b.Report(b.now, "0", 1, messenger.Load{Seq: b.Examined + 9, Memory: 400_000, Speed: 10_000})
		}
		p, _ := b.Pick(b.now, promptOf("a"))
		Expect(p.Cached).To(BeNumerically("<", 1500))
		for range 10 {
			b.RecordCached(b.now, p, messenger.Usage{Prompt: 10_000, Cached: 8192})
		}
		p, _ = b.Pick(b.now, promptOf("a"))
		Expect(p.Cached).To(BeNumerically(">", 7000))
	})

	It("reports which hints were wrong", func() {
		b := newPrefixBed(newTargets(1, ""))
		b.send(promptOf("a"), true)
		p := b.send(promptOf("a"), true)
		Expect(b.RecordCached(b.now, p, messenger.Usage{Prompt: 10_000, Cached: 8192})).To(BeFalse())
		Expect(b.RecordCached(b.now, p, messenger.Usage{Prompt: 10_000, Cached: 2048})).To(BeTrue())
		Expect(b.RecordCached(b.now, router.Pick{}, messenger.Usage{Prompt: 10_000})).To(BeFalse())
	})

	// Pattern: everything restarts.
	It("is forgotten with the incarnation of its target", func() {
		b := newPrefixBed(newTargets(20, ""))
		b.send(promptOf("a"), true)
		restarted := newTargets(20, "")
		for i := range restarted {
			restarted[i].Incarnation = 2
		}
		b.Update(b.now, restarted)
		p := b.send(promptOf("a"), true)
		Expect(p.Cached).To(BeZero())
		Expect(b.send(promptOf("a"), true).Target.ID).To(Equal(p.Target.ID))
	})
})

// Guards against absurd figures of another entry's request.
var _ = Describe("a request with absurd prefixes", func() {
	It("is placed, and nothing is cached", func() {
		b := newPrefixBed(newTargets(3, ""))
		for _, req := range []router.Request{
			{Service: "s", Prompt: 100, PrefixHashes: make([]uint64, 100_000), PromptBytes: -1},
			{Service: "s", Prompt: 100, PrefixHashes: make([]uint64, 100_000), PromptBytes: 0},
			{Service: "s", Prompt: 0, PrefixHashes: []uint64{1}, PromptBytes: 10, Cache: 1 << 60},
			{Service: "s", Prompt: 1, PrefixHashes: []uint64{1}, PromptBytes: 1, Cache: 1 << 60},
		} {
			for range 3 {
				Expect(b.send(req, true).Cached).To(BeZero())
			}
		}
		p := b.send(router.Request{Service: "s", Prompt: 100, PrefixHashes: make([]uint64, 100_000), PromptBytes: 1}, true)
		Expect(p.Cached).To(BeNumerically("<", 100))
	})
})

// cachingEngines declares engines that keep finished prompts.
func cachingEngines(req router.Request, cache int) router.Request {
	req.Cache = cache
	req.Prefill, req.PrefillTargets = 50*time.Millisecond, 1
	return req
}

var _ = Describe("a cached prefix at targets that report their slots", func() {
	newBed := func() *prefixBed {
		b := &prefixBed{Router: *newSlotRouter(targetCount), now: time.Unix(0, 0)}
		return b
	}
	// fillFirst fills the first targets in rank order up to where they accept no more.
	fillFirst := func(b *prefixBed, n int) {
		for range n {
			b.send(shortRequest, true)
		}
	}

	It("makes its holder the choice before the first target in rank order", func() {
		b := newBed()
		fillFirst(b, 12)
		req := cachingEngines(promptOf("a"), 100_000)
		holder := b.send(req, true)
		b.Ended(holder, req)
		for _, s := range b.Sends() {
			Expect(s.PendingPrefill).To(BeZero())
		}
		first := b.send(shortRequest, true)
		Expect(first.Target.ID).To(Equal(holder.Target.ID), "still the first one that accepts")
		p := b.send(req, true)
		Expect(p.Target.ID).To(Equal(holder.Target.ID))
		Expect(p.Cached).To(Equal(8192))
	})

	It("is left for another target when the prefill pending at its holder takes longer", func() {
		b := newBed()
		req := cachingEngines(promptOf("a"), 100_000)
		holder := b.send(req, true)
		for range 2 {
			b.send(cachingEngines(promptOf("b"), 100_000), false)
		}
		p, _ := b.Pick(b.now, req)
		Expect(p.Wait).To(BeNumerically("<=", 100*time.Millisecond))
		Expect(p.Target.ID == holder.Target.ID).To(Equal(p.Cached > 0))
	})

	It("counts its part of the prefill only, and all counts return to zero", func() {
		b := newBed()
		req := cachingEngines(promptOf("a"), 100_000)
		first := b.send(req, true)
		b.Ended(first, req)
		p := b.send(req, false)
		Expect(b.Sends()[0].PendingPrefill).To(Equal(9), "of 50 ms")
		Expect(b.Counts(p, req)[0].PendingPrefill).To(Equal(9))
		b.PrefillDone(p, req)
		b.Ended(p, req)
		Expect(b.Sends()).To(BeEmpty())
	})

	It("changes no choice where its holders reported nothing as cached", func() {
		b := newBed()
		first := b.send(shortRequest, true)
		fillFirst(b, 11)
		req := cachingEngines(promptOf("a"), 100_000)
		holder := b.send(req, true)
		for range 20 {
			p := holder
			p.Hinted = 8192
			b.RecordCached(b.now, p, messenger.Usage{Prompt: 10_000})
		}
		b.Ended(holder, req)
		for range 2 {
			b.Ended(first, shortRequest)
		}
		Expect(b.send(cachingEngines(promptOf("b"), 100_000), false).Target.ID).To(Equal(first.Target.ID))
		p, _ := b.Pick(b.now, req)
		Expect(p.Cached).To(BeZero())
		Expect(p.Target.ID).To(Equal(first.Target.ID), "the first in rank order, though it has prefill pending")
		Expect(holder.Target.ID).NotTo(Equal(first.Target.ID))
	})

	It("is known to a relay that picked the target for another entry", func() {
		b := newBed()
		req := cachingEngines(promptOf("a"), 100_000)
		p, _ := b.Pick(b.now, req)
		b.RecordPlaced(b.now, p, req)
		again, _ := b.Pick(b.now, req)
		Expect(again.Target.ID).To(Equal(p.Target.ID))
		Expect(again.Cached).To(Equal(8192))
	})
})

// Guards against a change of any choice where engines keep no prompt after its request (the
// platform), or where targets report their slots and say nothing of their cache.
var _ = DescribeTable("prefixes change no choice", func(bySlots bool, cache int) {
	newRouter := func(f router.Features) *router.Router {
		if bySlots {
			r := newSlotRouter(targetCount)
			r.Disabled = f
			return r
		}
		r := &router.Router{Seed: 1, Disabled: f}
		r.Update(now, newTargets(14, ""))
		return r
	}
	a, b := newRouter(router.Features{}), newRouter(router.Features{Cached: true})
	at := now
	if bySlots {
		at = time.Unix(0, 0)
	}
	for i := range 400 {
		req := promptOf(fmt.Sprint("p", i*i%7))
		if bySlots {
			req = cachingEngines(req, cache)
			if i%5 == 0 {
				req.PrefillTargets = 4
			}
		}
		req.Cache = cache
		p, ok := a.Pick(at, req)
		q, same := b.Pick(at, req)
		Expect(ok).To(Equal(same))
		Expect(p).To(Equal(q))
		Expect(p.Cached).To(BeZero())
		Expect(bySlots && p.TTFT > 0).To(BeFalse(), "weighed")
		if ok {
			a.Sent(at, p, req)
			b.Sent(at, q, req)
			a.PrefillDone(p, req)
			b.PrefillDone(q, req)
			if i%3 > 0 {
				a.Ended(p, req)
				b.Ended(q, req)
			}
		}
		if !bySlots && i%10 == 9 {
			for n := range 14 {
				l := messenger.Load{Seq: uint64(2 + i), Memory: 400_000, Speed: 10_000}
				a.Report(at, fmt.Sprint(n), 1, l)
				b.Report(at, fmt.Sprint(n), 1, l)
			}
		}
	}
},
	Entry("of engines that keep none, by score", false, -1),
	Entry("of engines that keep none, by slots", true, -1),
	Entry("of engines of which nothing is known, by slots", true, 0),
)
