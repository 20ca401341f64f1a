package batcher_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/storer"
)

func TestBatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "batcher")
}

var start = time.Unix(1_000_000, 0)

const step = 5 * time.Millisecond

// newSmallEngine returns an engine with 1,000 tokens of memory, blocks of 10 tokens
// and a budget of 100 tokens per step.
func newSmallEngine() *batcher.Batcher {
	return &batcher.Batcher{Config: batcher.Config{Memory: 1000, Block: 10, Budget: 100, Step: step, Model: "m", Version: "1"}}
}

// prompt returns a request whose prefix is shared by all requests of the same family.
func prompt(id string, family uint64, tokens, output int) batcher.Request {
	r := batcher.Request{ID: id, Prompt: tokens, Output: output}
	for i := range tokens / 10 {
		r.BlockHashes = append(r.BlockHashes, family<<32|uint64(i+1))
	}
	return r
}

func submit(b *batcher.Batcher, r batcher.Request) []batcher.Action {
	return b.Step(start, batcher.Event{Kind: batcher.Submit, Request: r})
}

func computeSteps(b *batcher.Batcher, n int) []batcher.Action {
	var acts []batcher.Action
	for range n {
		acts = append(acts, b.Step(start, batcher.Event{})...)
	}
	return acts
}

// endedIDs returns the ids of ended requests with their codes, in order.
func endedIDs(acts []batcher.Action) []string {
	var ids []string
	for _, a := range acts {
		if a.Kind == batcher.Ended {
			ids = append(ids, fmt.Sprintf("%s %d", a.ID, codeOf(a)))
		}
	}
	return ids
}

func codeOf(a batcher.Action) coder.Code {
	if a.Err == nil {
		return coder.OK
	}
	return a.Err.Code
}

func expectRefused(acts []batcher.Action, want coder.Code) {
	GinkgoHelper()
	Expect(acts).To(HaveLen(1))
	Expect(acts[0].Kind).To(Equal(batcher.Refused))
	Expect(acts[0].Err.Code).To(Equal(want), "%v", acts[0].Err)
}

func expectIdle(b *batcher.Batcher) {
	GinkgoHelper()
	stats := b.Stats()
	Expect(stats.Used).To(BeZero())
	Expect(stats.Running).To(BeZero())
	Expect(stats.Waiting).To(BeZero())
	Expect(stats.Live).To(BeEmpty())
}

var _ = Describe("engine", func() {
	It("prefills in chunks, then decodes one token per step", func() {
		b := newSmallEngine()
		submit(b, prompt("a", 1, 250, 3))
		Expect(computeSteps(b, 2)).To(HaveLen(2), "two cache changes")
		Expect(b.Stats().Waiting).To(Equal(50))
		Expect(b.Stats().Used).To(Equal(253))
		Expect(endedIDs(computeSteps(b, 3))).To(Equal([]string{"a 0"}))
		expectIdle(b)
		Expect(b.Stats().Cached).To(Equal(250))
	})

	It("serves higher priorities first", func() {
		b := newSmallEngine()
		submit(b, prompt("low", 1, 300, 1))
		high := prompt("high", 2, 100, 1)
		high.Priority = 1
		submit(b, high)
		Expect(endedIDs(computeSteps(b, 10))).To(Equal([]string{"high 0", "low 0"}))
	})

	It("computes a cached prefix only once", func() {
		b := newSmallEngine()
		submit(b, prompt("a", 1, 200, 1))
		computeSteps(b, 2)
		submit(b, prompt("b", 1, 200, 1))
		acts := computeSteps(b, 1)
		Expect(endedIDs(acts)).To(Equal([]string{"b 0"}))
		Expect(acts[1].Usage).To(Equal(messenger.Usage{Prompt: 200, Cached: 190, Output: 1}))
	})

	It("evicts the least recently used cached blocks", func() {
		b := newSmallEngine()
		submit(b, prompt("a", 1, 500, 1))
		submit(b, prompt("b", 2, 400, 1))
		computeSteps(b, 20)
		submit(b, prompt("c", 3, 300, 1))
		acts := computeSteps(b, 1)
		Expect(acts[0].Kind).To(Equal(batcher.CacheChanged))
		Expect(acts[0].Removed).To(HaveLen(21), "301 tokens needed, 100 of 1,000 free")
		Expect(acts[0].Removed[0]).To(Equal(uint64(1<<32|50)), "the end of the oldest prefix")
	})

	It("admits no later request before one that waits for memory", func() {
		b := newSmallEngine()
		submit(b, prompt("a", 1, 900, 9))
		computeSteps(b, 1)
		submit(b, prompt("b", 2, 500, 1))
		submit(b, prompt("c", 3, 20, 1))
		Expect(endedIDs(computeSteps(b, 60))).To(Equal([]string{"a 0", "b 0", "c 0"}))
	})

	It("frees the memory of a request cancelled at any stage", func() {
		for n := range 8 {
			b := newSmallEngine()
			submit(b, prompt("a", 1, 250, 9))
			computeSteps(b, n)
			Expect(endedIDs(b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"}))).To(Equal([]string{fmt.Sprintf("a %d", coder.Cancelled)}))
			Expect(b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"})).To(BeEmpty())
			expectIdle(b)
		}
	})

	It("ends requests past their deadline", func() {
		b := newSmallEngine()
		r := prompt("a", 1, 250, 9)
		r.Remaining = time.Second
		submit(b, r)
		computeSteps(b, 2)
		acts := b.Step(start.Add(time.Second), batcher.Event{})
		Expect(endedIDs(acts)).To(Equal([]string{fmt.Sprintf("a %d", coder.DeadlineExceeded)}))
		expectIdle(b)
	})

	It("holds an exported prefix until the request is cancelled", func() {
		b := newSmallEngine()
		r := prompt("a", 1, 205, 0)
		r.Prefill = true
		submit(b, r)
		Expect(endedIDs(computeSteps(b, 5))).To(Equal([]string{"a 0"}))
		Expect(b.Stats().Used).To(Equal(205))
		Expect(b.Stats().Live).To(Equal([]string{"a"}))
		Expect(b.Busy()).To(BeFalse())
		b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"})
		expectIdle(b)
	})

	It("refuses invalid requests, ids in use and models that are not loaded", func() {
		b := newSmallEngine()
		expectRefused(submit(b, prompt("a", 1, 990, 11)), coder.PromptTooLong)
		expectRefused(submit(b, batcher.Request{ID: "a", Prompt: 5, Output: 1, Model: "other"}), coder.UnknownModel)
		expectRefused(submit(b, batcher.Request{Prompt: 5, Output: 1}), coder.Malformed)
		expectRefused(submit(b, batcher.Request{ID: "a", Prompt: 15, Output: 1}), coder.Malformed)
		submit(b, prompt("a", 1, 10, 1))
		expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.AlreadyRan)
		computeSteps(b, 3)
		expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.AlreadyRan)
		retentionEnd := start.Add(batcher.DefaultRetention)
		Expect(b.Step(retentionEnd, batcher.Event{})).To(ContainElement(HaveField("Kind", batcher.Forgotten)))
		Expect(submit(b, prompt("a", 1, 10, 1))).To(ContainElement(HaveField("Kind", batcher.Accepted)))
	})

	It("loses all requests in a crash", func() {
		b := newSmallEngine()
		submit(b, prompt("bystander", 1, 10, 9))
		computeSteps(b, 2)
		r := prompt("bad", 2, 10, 1)
		r.Crash = true
		submit(b, r)
		Expect(computeSteps(b, 3)).To(ContainElement(HaveField("Kind", batcher.Crashed)))
		Expect(computeSteps(b, 3)).To(BeEmpty())
	})
})

// sendOrder sends an order at the given second after start and returns the actions.
func sendOrder(b *batcher.Batcher, seconds int, o messenger.Order) []batcher.Action {
	return b.Step(start.Add(time.Duration(seconds)*time.Second), batcher.Event{Kind: batcher.Order, Order: o})
}

func expectOrdered(acts []batcher.Action, fence uint64) {
	GinkgoHelper()
	Expect(acts).To(ContainElement(And(HaveField("Kind", batcher.OrderAccepted), HaveField("Fence", fence))))
}

var _ = Describe("orders", func() {
	role := func(fence uint64, lane string) messenger.Order {
		return messenger.Order{Fence: fence, Verb: batcher.VerbRole, Lane: lane}
	}

	It("with an old fencing token are refused by engines that check it", func() {
		b := newSmallEngine()
		b.Config.CheckFences = true
		expectOrdered(sendOrder(b, 0, role(7, "long")), 7)
		expectRefused(sendOrder(b, 0, role(6, "short")), coder.Fenced)
		Expect(b.Stats().Role).To(Equal("long"))
		expectOrdered(sendOrder(b, 0, role(7, "long")), 7)
	})

	It("are executed with any fencing token by engines that ignore it", func() {
		b := newSmallEngine()
		expectOrdered(sendOrder(b, 0, role(7, "long")), 0)
		expectOrdered(sendOrder(b, 0, role(6, "short")), 0)
		Expect(b.Stats().Role).To(Equal("short"))
	})

	It("load models one after another within the rate of the weight store", func() {
		store := &storer.Storer{Rate: 10, Burst: 50}
		first, second := newSmallEngine(), newSmallEngine()
		for _, b := range []*batcher.Batcher{first, second} {
			b.Config.Fetch, b.Config.ModelBytes, b.Config.Model = store.Reserve, 100, ""
			expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.NotReady)
			sendOrder(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n", Version: "2"})
			sendOrder(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n", Version: "2", Fence: 1})
		}
		Expect(first.Stats().Loading).To(Equal("load n 2 "))
		at := func(b *batcher.Batcher, seconds int) string {
			b.Step(start.Add(time.Duration(seconds)*time.Second), batcher.Event{})
			return b.Stats().Model
		}
		Expect([]string{at(first, 4), at(first, 5)}).To(Equal([]string{"", "n"}))
		Expect([]string{at(second, 14), at(second, 15)}).To(Equal([]string{"", "n"}))
	})

	It("don't unload a model while it has requests", func() {
		b := newSmallEngine()
		submit(b, prompt("a", 1, 10, 5))
		expectRefused(sendOrder(b, 0, messenger.Order{Verb: batcher.VerbUnload}), coder.Busy)
		expectRefused(sendOrder(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n"}), coder.Busy)
		computeSteps(b, 9)
		expectOrdered(sendOrder(b, 0, messenger.Order{Verb: batcher.VerbUnload}), 0)
		Expect(b.Stats().Cached).To(BeZero())
	})

	It("change the version while requests continue, and invalidate the cache", func() {
		b := newSmallEngine()
		submit(b, prompt("done", 1, 100, 1))
		computeSteps(b, 3)
		submit(b, prompt("going", 2, 100, 5))
		computeSteps(b, 2)
		expectOrdered(sendOrder(b, 0, messenger.Order{Verb: batcher.VerbVersion, Version: "2"}), 0)
		Expect(b.Stats().Version).To(Equal("2"))
		Expect(endedIDs(computeSteps(b, 9))).To(Equal([]string{"going 0"}))
		expectIdle(b)
		Expect(b.Stats().Cached).To(BeZero())
	})

	It("add and remove adapters", func() {
		b := newSmallEngine()
		sendOrder(b, 0, messenger.Order{Verb: batcher.VerbAdapter, Adapter: "x"})
		r := prompt("a", 1, 10, 1)
		r.Model = "x"
		Expect(submit(b, r)[0].Kind).To(Equal(batcher.Accepted))
		sendOrder(b, 0, messenger.Order{Verb: batcher.VerbUnload, Adapter: "x"})
		Expect(b.Stats().Adapters).To(BeEmpty())
		expectRefused(sendOrder(b, 0, messenger.Order{Verb: "dance"}), coder.Malformed)
	})
})
