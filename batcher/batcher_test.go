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

// small is an engine of 1,000 tokens with blocks of 10 and 100 tokens a step.
func small() *batcher.Batcher {
	return &batcher.Batcher{Config: batcher.Config{Memory: 1000, Block: 10, Budget: 100, Step: step, Model: "m", Version: "1"}}
}

// prompt returns a request whose prefix is shared by all of the same family.
func prompt(id string, family uint64, tokens, output int) batcher.Request {
	r := batcher.Request{ID: id, Prompt: tokens, Output: output}
	for i := range tokens / 10 {
		r.Blocks = append(r.Blocks, family<<32|uint64(i+1))
	}
	return r
}

func submit(b *batcher.Batcher, r batcher.Request) []batcher.Action {
	return b.Step(start, batcher.Event{Kind: batcher.Submit, Request: r})
}

func beats(b *batcher.Batcher, n int) []batcher.Action {
	var acts []batcher.Action
	for range n {
		acts = append(acts, b.Step(start, batcher.Event{})...)
	}
	return acts
}

// ends returns the ids that ended, in order, with their codes.
func ends(acts []batcher.Action) []string {
	var ids []string
	for _, a := range acts {
		if a.Kind == batcher.Ended {
			ids = append(ids, fmt.Sprintf("%s %d", a.ID, coderOf(a)))
		}
	}
	return ids
}

func coderOf(a batcher.Action) coder.Code {
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
	f := b.Figures()
	Expect(f.Used).To(BeZero())
	Expect(f.Running).To(BeZero())
	Expect(f.Waiting).To(BeZero())
	Expect(f.Live).To(BeEmpty())
}

var _ = Describe("an engine", func() {
	It("prefills in chunks, then decodes a token a step", func() {
		b := small()
		submit(b, prompt("a", 1, 250, 3))
		Expect(beats(b, 2)).To(HaveLen(2), "two changes of the cache")
		Expect(b.Figures().Waiting).To(Equal(50))
		Expect(b.Figures().Used).To(Equal(253))
		Expect(ends(beats(b, 3))).To(Equal([]string{"a 0"}))
		expectIdle(b)
		Expect(b.Figures().Cached).To(Equal(250))
	})

	It("serves higher priorities first", func() {
		b := small()
		submit(b, prompt("low", 1, 300, 1))
		high := prompt("high", 2, 100, 1)
		high.Priority = 1
		submit(b, high)
		Expect(ends(beats(b, 10))).To(Equal([]string{"high 0", "low 0"}))
	})

	It("computes a cached prefix only once", func() {
		b := small()
		submit(b, prompt("a", 1, 200, 1))
		beats(b, 2)
		submit(b, prompt("b", 1, 200, 1))
		acts := beats(b, 1)
		Expect(ends(acts)).To(Equal([]string{"b 0"}))
		Expect(acts[1].Usage).To(Equal(messenger.Usage{Prompt: 200, Cached: 190, Output: 1}))
	})

	It("gives up the cached blocks unused for longest", func() {
		b := small()
		submit(b, prompt("a", 1, 500, 1))
		submit(b, prompt("b", 2, 400, 1))
		beats(b, 20)
		submit(b, prompt("c", 3, 300, 1))
		acts := beats(b, 1)
		Expect(acts[0].Kind).To(Equal(batcher.Changed))
		Expect(acts[0].Removed).To(HaveLen(21), "300 of 1,000 tokens and the answer's one, 100 free")
		Expect(acts[0].Removed[0]).To(Equal(uint64(1<<32|50)), "the end of the oldest prefix")
	})

	It("lets no later request overtake one that waits for memory", func() {
		b := small()
		submit(b, prompt("a", 1, 900, 9))
		beats(b, 1)
		submit(b, prompt("b", 2, 500, 1))
		submit(b, prompt("c", 3, 20, 1))
		Expect(ends(beats(b, 60))).To(Equal([]string{"a 0", "b 0", "c 0"}))
	})

	It("frees what a cancelled request has, at each stage", func() {
		for n := range 8 {
			b := small()
			submit(b, prompt("a", 1, 250, 9))
			beats(b, n)
			Expect(ends(b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"}))).To(Equal([]string{fmt.Sprintf("a %d", coder.Cancelled)}))
			Expect(b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"})).To(BeEmpty())
			expectIdle(b)
		}
	})

	It("ends requests that are out of time", func() {
		b := small()
		r := prompt("a", 1, 250, 9)
		r.Remaining = time.Second
		submit(b, r)
		beats(b, 2)
		acts := b.Step(start.Add(time.Second), batcher.Event{})
		Expect(ends(acts)).To(Equal([]string{fmt.Sprintf("a %d", coder.DeadlineExceeded)}))
		expectIdle(b)
	})

	It("holds an exported prefix until it is cancelled", func() {
		b := small()
		r := prompt("a", 1, 205, 0)
		r.Prefill = true
		submit(b, r)
		Expect(ends(beats(b, 5))).To(Equal([]string{"a 0"}))
		Expect(b.Figures().Used).To(Equal(205))
		Expect(b.Figures().Live).To(Equal([]string{"a"}))
		Expect(b.Busy()).To(BeFalse())
		b.Step(start, batcher.Event{Kind: batcher.Cancel, ID: "a"})
		expectIdle(b)
	})

	It("refuses what it can't serve", func() {
		b := small()
		expectRefused(submit(b, prompt("a", 1, 990, 11)), coder.PromptTooLong)
		expectRefused(submit(b, batcher.Request{ID: "a", Prompt: 5, Output: 1, Model: "other"}), coder.UnknownModel)
		expectRefused(submit(b, batcher.Request{Prompt: 5, Output: 1}), coder.Malformed)
		expectRefused(submit(b, batcher.Request{ID: "a", Prompt: 15, Output: 1}), coder.Malformed)
		submit(b, prompt("a", 1, 10, 1))
		expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.AlreadyRan)
		beats(b, 3)
		expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.AlreadyRan)
		late := start.Add(batcher.DefaultKept)
		Expect(b.Step(late, batcher.Event{})).To(ContainElement(HaveField("Kind", batcher.Forgotten)))
		Expect(submit(b, prompt("a", 1, 10, 1))).To(ContainElement(HaveField("Kind", batcher.Accepted)))
	})

	It("crashes on a request that does that, with all it held", func() {
		b := small()
		submit(b, prompt("bystander", 1, 10, 9))
		beats(b, 2)
		r := prompt("bad", 2, 10, 1)
		r.Crash = true
		submit(b, r)
		Expect(beats(b, 3)).To(ContainElement(HaveField("Kind", batcher.Crashed)))
		Expect(beats(b, 3)).To(BeEmpty())
	})
})

// give steps the engine with an order after some seconds and returns what follows.
func give(b *batcher.Batcher, seconds int, o messenger.Order) []batcher.Action {
	return b.Step(start.Add(time.Duration(seconds)*time.Second), batcher.Event{Kind: batcher.Order, Order: o})
}

func expectOrdered(acts []batcher.Action, fence uint64) {
	GinkgoHelper()
	Expect(acts).To(ContainElement(And(HaveField("Kind", batcher.Ordered), HaveField("Fence", fence))))
}

var _ = Describe("orders", func() {
	role := func(fence uint64, lane string) messenger.Order {
		return messenger.Order{Fence: fence, Verb: batcher.VerbRole, Lane: lane}
	}

	It("are refused with an old fencing number by engines that check it", func() {
		b := small()
		b.Config.Fences = true
		expectOrdered(give(b, 0, role(7, "long")), 7)
		expectRefused(give(b, 0, role(6, "short")), coder.Fenced)
		Expect(b.Figures().Role).To(Equal("long"))
		expectOrdered(give(b, 0, role(7, "long")), 7)
	})

	It("are executed whatever their number by engines that ignore it", func() {
		b := small()
		expectOrdered(give(b, 0, role(7, "long")), 0)
		expectOrdered(give(b, 0, role(6, "short")), 0)
		Expect(b.Figures().Role).To(Equal("short"))
	})

	It("load models under the weight store's limit, one after another", func() {
		store := &storer.Storer{Rate: 10, Burst: 50}
		first, second := small(), small()
		for _, b := range []*batcher.Batcher{first, second} {
			b.Config.Fetch, b.Config.Weight, b.Config.Model = store.Take, 100, ""
			expectRefused(submit(b, prompt("a", 1, 10, 1)), coder.NotReady)
			give(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n", Version: "2"})
			give(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n", Version: "2", Fence: 1})
		}
		Expect(first.Figures().Loading).To(Equal("load n 2 "))
		at := func(b *batcher.Batcher, seconds int) string {
			b.Step(start.Add(time.Duration(seconds)*time.Second), batcher.Event{})
			return b.Figures().Model
		}
		Expect([]string{at(first, 4), at(first, 5)}).To(Equal([]string{"", "n"}))
		Expect([]string{at(second, 14), at(second, 15)}).To(Equal([]string{"", "n"}))
	})

	It("don't take a model away under a request", func() {
		b := small()
		submit(b, prompt("a", 1, 10, 5))
		expectRefused(give(b, 0, messenger.Order{Verb: batcher.VerbUnload}), coder.Busy)
		expectRefused(give(b, 0, messenger.Order{Verb: batcher.VerbLoad, Model: "n"}), coder.Busy)
		beats(b, 9)
		expectOrdered(give(b, 0, messenger.Order{Verb: batcher.VerbUnload}), 0)
		Expect(b.Figures().Cached).To(BeZero())
	})

	It("change the version while requests go on, and void the cache", func() {
		b := small()
		submit(b, prompt("done", 1, 100, 1))
		beats(b, 3)
		submit(b, prompt("going", 2, 100, 5))
		beats(b, 2)
		expectOrdered(give(b, 0, messenger.Order{Verb: batcher.VerbVersion, Version: "2"}), 0)
		Expect(b.Figures().Version).To(Equal("2"))
		Expect(ends(beats(b, 9))).To(Equal([]string{"going 0"}))
		expectIdle(b)
		Expect(b.Figures().Cached).To(BeZero())
	})

	It("add and remove adapters", func() {
		b := small()
		give(b, 0, messenger.Order{Verb: batcher.VerbAdapter, Adapter: "x"})
		r := prompt("a", 1, 10, 1)
		r.Model = "x"
		Expect(submit(b, r)[0].Kind).To(Equal(batcher.Accepted))
		give(b, 0, messenger.Order{Verb: batcher.VerbUnload, Adapter: "x"})
		Expect(b.Figures().Adapters).To(BeEmpty())
		expectRefused(give(b, 0, messenger.Order{Verb: "dance"}), coder.Malformed)
	})
})
