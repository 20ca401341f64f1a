package watcher_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

func TestWatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watcher")
}

const eventuallyTimeout = 20 * time.Second

func versionOf(w *watcher.Watcher) func() uint64 {
	return func() uint64 {
		if v := w.View(); v != nil {
			return v.Version
		}
		return 0
	}
}

func codeOf(err error) coder.Code {
	if err == nil {
		return coder.OK
	}
	return coder.Of(err).Code
}

func expectVersion(w *watcher.Watcher, want uint64) {
	GinkgoHelper()
	Eventually(versionOf(w)).WithTimeout(eventuallyTimeout).Should(Equal(want))
	Eventually(w.Ready).WithTimeout(eventuallyTimeout).Should(Succeed())
	Expect(w.View().Config.Limits.Body).To(BeEquivalentTo(want))
	Expect(w.View().Config.Limits.CrashLimit).To(Equal(3))
}

func expectTargets(w *watcher.Watcher, ids ...string) {
	GinkgoHelper()
	Eventually(func() []string {
		out := []string{}
		for _, t := range w.View().ByService["s"] {
			out = append(out, t.ID)
		}
		return out
	}).WithTimeout(eventuallyTimeout).Should(Equal(ids))
}

var _ = Describe("a watcher", func() {
	It("has no view before a configuration is confirmed, then follows changes", func() {
		f := newFleet(1)
		w := f.watch("n")
		Expect(w.View()).To(BeNil())
		Expect(coder.Of(w.Ready()).Code).To(Equal(coder.Stale))
		f.change(1)
		expectVersion(w, 1)
		f.change(2)
		expectVersion(w, 2)
	})

	Describe("that can't read a version", func() {
		var f *fleet
		var refused chan struct{}
		var w *watcher.Watcher
		BeforeEach(func() {
			f, refused = newFleet(1), make(chan struct{}, 1)
			w = f.watch("n", func(c *watcher.Config) {
				c.StaleAfter = 2 * time.Second
				c.Read = func(files []messenger.File) (*merger.Merger, decoder.Faults) {
					m, faults := merger.Merge(files)
					if len(faults) > 0 || m.Config.Limits.Body != 2 {
						return m, faults
					}
					select {
					case refused <- struct{}{}:
					default:
					}
					return nil, decoder.Faults{{Message: "unknown key"}}
				}
			})
			f.change(1)
			expectVersion(w, 1)
			f.changeCrashes(2, 4)
			Eventually(refused).WithTimeout(eventuallyTimeout).Should(Receive())
		})

		// Guards against the content of an earlier version under the number of the refused one,
		// confirmed by later updates that carry no files any more.
		It("keeps the former one and goes stale", func() {
			Eventually(func() coder.Code { return codeOf(w.Ready()) }).WithTimeout(eventuallyTimeout).Should(Equal(coder.Stale))
			Expect(w.View().Version).To(Equal(uint64(1)))
		})

		// Guards against a configuration mixed from two versions: a keeper sends what changed
		// since the version that it sent last, which this process may have refused.
		It("adopts the next one whole", func() {
			f.changeCrashes(3, 4)
			Eventually(versionOf(w)).WithTimeout(eventuallyTimeout).Should(Equal(uint64(3)))
			Expect(w.View().Config.Limits.CrashLimit).To(Equal(4))
			Eventually(w.Ready).WithTimeout(eventuallyTimeout).Should(Succeed())
		})
	})

	It("has no view after a restart until a quorum confirms one", func() {
		f := newFleet(1)
		f.change(1)
		f.keepers[0].setIsolated(true)
		w := f.watch("n", func(c *watcher.Config) { c.KeeperTimeout = 100 * time.Millisecond })
		changed := w.Changed()
		Consistently(changed).WithTimeout(300 * time.Millisecond).ShouldNot(BeClosed())
		Expect(w.View()).To(BeNil())
		f.keepers[0].setIsolated(false)
		expectVersion(w, 1)
	})

	It("changes to another keeper when one is isolated or stopped", func() {
		f := newFleet(3)
		f.change(1)
		w := f.watch("n", func(c *watcher.Config) { c.KeeperTimeout = 200 * time.Millisecond })
		expectVersion(w, 1)
		for i, k := range f.keepers[:2] {
			k.setIsolated(true)
			f.change(uint64(i + 2))
			expectVersion(w, uint64(i+2))
			k.stop()
		}
		f.change(4)
		expectVersion(w, 4)
	})

	It("changes to another keeper when one is unresponsive", func() {
		f := newFleet(1)
		f.change(1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		DeferCleanup(func() {
			cancel()
			<-done
		})
		go func() {
			defer close(done)
			_ = muxer.Serve(ctx, l, muxer.Config{}, func(ctx context.Context, _ *muxer.Stream) { <-ctx.Done() })
		}()
		w := f.watch("n", func(c *watcher.Config) {
			c.KeeperTimeout = 100 * time.Millisecond
			unresponsive := setter.Keeper{Address: l.Addr().String()}
			c.Keepers = []setter.Keeper{unresponsive, unresponsive, unresponsive, c.Keepers[0]}
		})
		expectVersion(w, 1)
	})

	It("is stale when it resumes after a suspension", func() {
		f := newFleet(1)
		f.change(1)
		var mu sync.Mutex
		clockOffset := time.Duration(0)
		w := f.watch("n", func(c *watcher.Config) {
			c.Now = func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return time.Now().Add(clockOffset)
			}
		})
		expectVersion(w, 1)
		f.keepers[0].setIsolated(true)
		mu.Lock()
		clockOffset = time.Minute
		mu.Unlock()
		Expect(coder.Of(w.Ready()).Code).To(Equal(coder.Stale))
		f.keepers[0].setIsolated(false)
		expectVersion(w, 1)
	})

	It("adds and updates announced targets, and omits them in a lean view", func() {
		f := newFleet(2)
		f.change(1)
		f.announce("t1", 1)
		w := f.watch("n")
		expectVersion(w, 1)
		expectTargets(w, "t1")
		f.announce("t2", 1)
		expectTargets(w, "t1", "t2")
		f.announce("t1", 2)
		Eventually(func() uint64 { return w.View().Targets[0].Incarnation }).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		lean := f.watch("lean", func(c *watcher.Config) { c.Lean = true })
		expectVersion(lean, 1)
		Expect(lean.View().Targets).To(BeEmpty())
	})

	It("receives quarantined fingerprints", func() {
		f := newFleet(1)
		f.change(1)
		w := f.watch("n")
		expectVersion(w, 1)
		for inc := range uint64(3) {
			f.propose(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{Fingerprint: 5, Target: "t", Incarnation: inc}})
		}
		Eventually(func() map[uint64]bool { return w.View().Blocked }).WithTimeout(eventuallyTimeout).Should(Equal(map[uint64]bool{5: true}))
	})
})
