package publisher_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
	"bramleyshunt/proposer"
	"bramleyshunt/watcher"
)

// accuse reports an incarnation that ended under a request with the parts.
func accuse(p *proposer.Proposer, incarnation uint64, parts ...uint64) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	m := messenger.Suspect{Fingerprint: incarnation, Target: "t", Incarnation: incarnation, Parts: parts, Service: "s", Node: "e"}
	Expect(p.Call(ctx, messenger.KindSuspect, &m, &messenger.Proposed{})).To(Succeed())
}

// answered reports a part that was just answered.
func answered(p *proposer.Proposer, part uint64) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	c := &applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{Sound: []messenger.SoundPart{{Part: part}}}}
	Expect(p.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &messenger.Proposed{})).To(Succeed())
}

// expectIsolated waits until watchers hold requests with these parts back, or no others.
func expectIsolated(parts []uint64, watchers ...*watcher.Watcher) {
	GinkgoHelper()
	for _, w := range watchers {
		Eventually(func() []uint64 {
			var got []uint64
			if v := w.View(); v != nil && v.Isolated != nil {
				for _, g := range v.Isolated.Groups {
					got = append(got, g.Parts...)
				}
			}
			return got
		}).WithTimeout(eventTimeout).Should(Equal(parts))
	}
}

var _ = Describe("a part of a prompt that crashes targets", func() {
	It("is isolated at all watchers, also across restarts, until it is answered", func() {
		f := newFleet(GinkgoTB())
		p := f.proposer("e")
		apply(p, "1", 0, 1, folder(1))
		watchers := []*watcher.Watcher{f.watch("n1", false), f.watch("n2", false)}
		expectVersion(1, watchers...)
		for n := range uint64(isolator.DefaultLimit) {
			accuse(p, n, 7, 20+n)
		}
		expectIsolated([]uint64{7}, watchers...)
		first := f.leader()
		first.kill()
		f.leader()
		expectIsolated([]uint64{7}, f.watch("n3", false))
		first.start()
		for _, h := range f.hosts {
			h.kill()
		}
		for _, h := range f.hosts {
			h.start()
		}
		later := f.watch("n4", false)
		expectIsolated([]uint64{7}, later)
		answered(p, 7)
		expectIsolated(nil, append(watchers, later)...)
	})
})
