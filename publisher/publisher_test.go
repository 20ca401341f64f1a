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

// acceptedChanges records the change that was acknowledged for each version.
type acceptedChanges struct {
	mu      sync.Mutex
	digests map[uint64][]byte
	ids     map[uint64]string
}

func (c *acceptedChanges) record(version uint64, id string, digest []byte) {
	GinkgoHelper()
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.digests).NotTo(HaveKey(version), "two changes accepted as the same version")
	c.digests[version], c.ids[version] = digest, id
}

// race sends changes of one operator, each based on the latest version it has received,
// in competition with other operators.
func (f *fleet) race(name string, changes int, accepted *acceptedChanges) {
	p := f.proposer(name)
	rnd := rand.New(rand.NewPCG(1, uint64(len(name))))
	base := uint64(0)
	for i := range changes {
		id := fmt.Sprintf("%s-%d", name, i)
		files := folder(rnd.Uint64N(1 << 20))
		a := apply(p, id, base, base+1, files)
		if a.Code == coder.OK {
			accepted.record(a.Version, id, merger.Digest(files))
		} else {
			Expect(a.Code).To(Equal(coder.Conflict), a.Text)
			Expect(a.Winner).NotTo(BeNil())
		}
		base = a.Version
	}
}

// expectNoRollback runs f and expects that no watcher's version decreases meanwhile.
func expectNoRollback(watchers []*watcher.Watcher, f func()) {
	GinkgoHelper()
	stop := make(chan struct{})
	decreased := make([]bool, len(watchers))
	var wg conc.WaitGroup
	for i, w := range watchers {
		wg.Go(func() { decreased[i] = rollsBack(w, stop) })
	}
	f()
	close(stop)
	wg.Wait()
	Expect(decreased).NotTo(ContainElement(true))
}

var _ = Describe("three keepers with watchers", func() {
	It("accept one change per version from racing operators while the leader is killed and restarted", func() {
		f := newFleet(GinkgoTB())
		watchers := []*watcher.Watcher{f.watch("n1", false), f.watch("n2", true), f.watch("n3", true)}
		accepted := &acceptedChanges{digests: map[uint64][]byte{}, ids: map[uint64]string{}}
		expectNoRollback(watchers, func() {
			var wg conc.WaitGroup
			for _, name := range []string{"a", "bb", "ccc"} {
				wg.Go(func() {
					defer GinkgoRecover()
					f.race(name, 40, accepted)
				})
			}
			first := f.leader()
			expectVersion(3, watchers...)
			first.kill()
			f.leader()
			wg.Wait()
			first.start()
			last := uint64(len(accepted.digests))
			expectVersion(last, watchers...)
		})
		last := uint64(len(accepted.digests))
		a := apply(f.proposer("again"), accepted.ids[1], 0, 1, nil)
		Expect(a.Code).To(Equal(coder.Conflict))
		for _, h := range f.hosts {
			Eventually(func() uint64 { return h.running.Load().applier.View().Version }).WithTimeout(eventTimeout).Should(Equal(last))
			v := h.running.Load().applier.View()
			Expect(bytes.Equal(v.Digest, accepted.digests[last])).To(BeTrue())
		}
	})

	It("answer a repeated change with the first answer after all of them restarted", func() {
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
		expectNoRollback([]*watcher.Watcher{w}, func() {
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

	It("let watchers switch to other keepers when the leader is isolated, and revert nothing when it returns", func() {
		f := newFleet(GinkgoTB())
		p := f.proposer("op")
		Expect(apply(p, "1", 0, 1, folder(1)).Code).To(Equal(coder.OK))
		var watchers []*watcher.Watcher
		for i := range 6 {
			watchers = append(watchers, f.watch(fmt.Sprint("n", i), i%2 == 0))
		}
		expectVersion(1, watchers...)
		expectNoRollback(watchers, func() {
			leader := f.leader()
			leader.isolated.Store(true)
			Expect(apply(p, "2", 1, 2, folder(2)).Code).To(Equal(coder.OK))
			expectVersion(2, watchers...)
			Expect(leader.running.Load().applier.View().Version).To(BeEquivalentTo(1))
			leader.isolated.Store(false)
			Expect(apply(p, "3", 2, 3, folder(3)).Code).To(Equal(coder.OK))
			expectVersion(3, watchers...)
			Eventually(func() uint64 { return leader.running.Load().applier.View().Version }).WithTimeout(eventTimeout).Should(BeEquivalentTo(3))
		})
	})
})
