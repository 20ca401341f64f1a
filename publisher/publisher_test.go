package publisher_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/merger"
	"bramleyshunt/watcher"
)

func TestPublisher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "publisher")
}

// ledger is what operators were told: the winner of each version.
type ledger struct {
	mu      sync.Mutex
	digests map[uint64][]byte
	ids     map[uint64]string
}

func (l *ledger) accepted(version uint64, id string, digest []byte) {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	Expect(l.digests).NotTo(HaveKey(version), "two winners of one version")
	l.digests[version], l.ids[version] = digest, id
}

// race has one operator send changes that follow whatever is in force.
func (f *fleet) race(name string, changes int, l *ledger) {
	p := f.proposer(name)
	rnd := rand.New(rand.NewPCG(1, uint64(len(name))))
	base := uint64(0)
	for i := range changes {
		id := fmt.Sprintf("%s-%d", name, i)
		files := folder(rnd.Uint64N(1 << 20))
		a := apply(p, id, base, base+1, files)
		if a.Code == coder.OK {
			l.accepted(a.Version, id, merger.Digest(files))
		} else {
			Expect(a.Code).To(Equal(coder.Conflict), a.Text)
			Expect(a.Winner).NotTo(BeNil())
		}
		base = a.Version
	}
}

// expectNoFall runs f and expects no watcher to go back a version meanwhile.
func expectNoFall(watchers []*watcher.Watcher, f func()) {
	GinkgoHelper()
	stop := make(chan struct{})
	fell := make([]bool, len(watchers))
	var wg conc.WaitGroup
	for i, w := range watchers {
		wg.Go(func() { fell[i] = falls(w, stop) })
	}
	f()
	close(stop)
	wg.Wait()
	Expect(fell).NotTo(ContainElement(true))
}

var _ = Describe("three keepers with watchers", func() {
	It("accept one of racing operators for each version, while the leader is killed and comes back", func() {
		f := newFleet(GinkgoTB())
		watchers := []*watcher.Watcher{f.watch("n1", false), f.watch("n2", true), f.watch("n3", true)}
		l := &ledger{digests: map[uint64][]byte{}, ids: map[uint64]string{}}
		expectNoFall(watchers, func() {
			var wg conc.WaitGroup
			for _, name := range []string{"a", "bb", "ccc"} {
				wg.Go(func() {
					defer GinkgoRecover()
					f.race(name, 40, l)
				})
			}
			first := f.leader()
			expectVersion(3, watchers...)
			first.kill()
			f.leader()
			wg.Wait()
			first.start()
			last := uint64(len(l.digests))
			expectVersion(last, watchers...)
		})
		last := uint64(len(l.digests))
		a := apply(f.proposer("again"), l.ids[1], 0, 1, nil)
		Expect(a.Code).To(Equal(coder.Conflict))
		for _, h := range f.hosts {
			Eventually(func() uint64 { return h.live.Load().applier.View().Version }).WithTimeout(patience).Should(Equal(last))
			v := h.live.Load().applier.View()
			Expect(bytes.Equal(v.Digest, l.digests[last])).To(BeTrue())
		}
	})

	It("answer a resend as before after all of them restarted", func() {
		f := newFleet(GinkgoTB())
		p := f.proposer("op")
		var first *applier.Answer
		for v := uint64(1); v <= 100; v++ {
			a := apply(p, fmt.Sprint(v), v-1, v, folder(v))
			Expect(a.Code).To(Equal(coder.OK), a.Text)
			if v == 1 {
				first = a
			}
		}
		w := f.watch("n", false)
		expectVersion(100, w)
		expectNoFall([]*watcher.Watcher{w}, func() {
			for _, h := range f.hosts {
				h.kill()
			}
			for _, h := range f.hosts {
				h.start()
			}
			again := apply(p, "1", 0, 1, folder(1))
			Expect(again).To(Equal(first))
			Expect(apply(p, "101", 100, 101, folder(101)).Code).To(Equal(coder.OK))
			expectVersion(101, w)
		})
	})

	It("lose their watchers to the others when one is cut off, and revert nothing when it returns", func() {
		f := newFleet(GinkgoTB())
		p := f.proposer("op")
		Expect(apply(p, "1", 0, 1, folder(1)).Code).To(Equal(coder.OK))
		var watchers []*watcher.Watcher
		for i := range 6 {
			watchers = append(watchers, f.watch(fmt.Sprint("n", i), i%2 == 0))
		}
		expectVersion(1, watchers...)
		expectNoFall(watchers, func() {
			cut := f.leader()
			cut.cut.Store(true)
			Expect(apply(p, "2", 1, 2, folder(2)).Code).To(Equal(coder.OK))
			expectVersion(2, watchers...)
			Expect(cut.live.Load().applier.View().Version).To(BeEquivalentTo(1))
			cut.cut.Store(false)
			Expect(apply(p, "3", 2, 3, folder(3)).Code).To(Equal(coder.OK))
			expectVersion(3, watchers...)
			Eventually(func() uint64 { return cut.live.Load().applier.View().Version }).WithTimeout(patience).Should(BeEquivalentTo(3))
		})
	})
})
