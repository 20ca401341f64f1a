package publisher_test

import (
	"context"
	"fmt"
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/evacuator"
	"bramleyshunt/messenger"
	"bramleyshunt/proposer"
	"bramleyshunt/watcher"
)

// evacuators returns one Evacuator for each host, which starts with that host's keeper.
func (f *fleet) evacuators() []*evacuator.Evacuator {
	var out []*evacuator.Evacuator
	for i, h := range f.hosts {
		keepers := append(f.nodes[i:len(f.nodes):len(f.nodes)], f.nodes[:i]...)
		p := &proposer.Proposer{Keepers: keepers, Pool: f.pool("operator-" + h.node)}
		out = append(out, &evacuator.Evacuator{
			Call: p.Call, Evacuated: func() *messenger.Evacuated { return h.running.Load().applier.Evacuated() },
		})
	}
	return out
}

// order repeats an order until it is acknowledged, as operators do.
func order(e *evacuator.Evacuator, zone string, end bool) *evacuator.Accepted {
	GinkgoHelper()
	var out *evacuator.Accepted
	Eventually(func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		out, err = e.Do(ctx, evacuator.Order{Zone: zone, Operator: "office", End: end})
		return err
	}).WithTimeout(eventTimeout).Should(Succeed())
	return out
}

// expectEvacuated waits until exactly these zones are evacuated at all watchers.
func expectEvacuated(zones []string, watchers ...*watcher.Watcher) {
	GinkgoHelper()
	for _, w := range watchers {
		Eventually(func() []string {
			var got []string
			if v := w.View(); v != nil && w.Ready() == nil && v.Evacuated != nil {
				for _, z := range v.Evacuated.Zones {
					got = append(got, z.Zone)
				}
			}
			return got
		}).WithTimeout(eventTimeout).Should(Equal(zones))
	}
}

var _ = Describe("the evacuation of a zone", func() {
	// Guards against an order that needs a new configuration version, that a change of leader, an
	// emptied disk or a restart of all keepers loses, and against a first view without the zones.
	It("reaches all watchers, and outlasts the leader, its disk and a restart of all keepers", func() {
		f := newFleet(GinkgoTB())
		apply(f.proposer("e"), "1", 0, 1, folder(1))
		watchers := []*watcher.Watcher{f.watch("n1", false), f.watch("n2", false)}
		expectVersion(1, watchers...)
		operators := f.evacuators()
		first := order(operators[0], "a", false)
		expectEvacuated([]string{"a"}, watchers...)
		Expect(watchers[0].View().Version).To(BeEquivalentTo(1))

		lost := f.leader()
		lost.kill()
		leader := f.leader()
		other := operators[0]
		for i, h := range f.hosts {
			if h == leader {
				other = operators[i]
			}
		}
		again := order(other, "a", false)
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Evacuation).To(Equal(first.Evacuation))
		Expect(os.RemoveAll(lost.folder)).To(Succeed())
		lost.start()
		Eventually(func() *messenger.Evacuation { return lost.running.Load().applier.Evacuated().Find("a") }).WithTimeout(eventTimeout).ShouldNot(BeNil())
		for _, h := range f.hosts {
			h.kill()
		}
		for _, h := range f.hosts {
			h.start()
		}
		later := f.watch("n3", false)
		Eventually(later.View).WithTimeout(eventTimeout).ShouldNot(BeNil())
		Expect(later.View().Evacuated.Find("a")).NotTo(BeNil(), "of its first view")
		order(operators[1], "a", true)
		expectEvacuated(nil, append(watchers, later)...)
	})

	// Guards against orders that are lost or refused when several are in progress at two keepers
	// beside configurations in quick succession, while the leader is lost.
	It("is in force for each of eight zones that are ordered at once at two keepers, beside configurations", func() {
		f := newFleet(GinkgoTB())
		p := f.proposer("e")
		apply(p, "1", 0, 1, folder(1))
		w := f.watch("n1", false)
		expectVersion(1, w)
		leader := f.leader()
		var operators []*evacuator.Evacuator
		for i, h := range f.hosts {
			if h != leader {
				operators = append(operators, f.evacuators()[i])
			}
		}
		var zones []string
		var wg sync.WaitGroup
		for i := range 8 {
			zone := fmt.Sprint("z", i)
			zones = append(zones, zone)
			wg.Go(func() {
				defer GinkgoRecover()
				order(operators[i%2], zone, false)
			})
		}
		for v := uint64(2); v <= 10; v++ {
			if v == 5 {
				leader.kill()
			}
			apply(p, fmt.Sprint(v), v-1, v, folder(v))
		}
		wg.Wait()
		expectVersion(10, w)
		expectEvacuated(zones, w)
	})

	// Guards against an order that is acknowledged without a quorum, and against one that can't be
	// repeated after that.
	It("is not acknowledged while no quorum can have it on disk", func() {
		f := newFleet(GinkgoTB())
		leader := f.leader()
		for _, h := range f.hosts {
			if h != leader {
				h.kill()
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		e := evacuator.Evacuator{
			Evacuated: func() *messenger.Evacuated { return nil },
			Call: func(ctx context.Context, _ messenger.Kind, v, _ any) error {
				_, _, err := leader.running.Load().keeper.Propose(ctx, v.(*messenger.Propose).Data)
				return err
			},
		}
		done := make(chan error, 1)
		go func() {
			_, err := e.Do(ctx, evacuator.Order{Zone: "a", Operator: "office"})
			done <- err
		}()
		var err error
		Eventually(done).WithTimeout(eventTimeout).Should(Receive(&err))
		Expect(coder.Of(err)).NotTo(BeNil())
		for _, h := range f.hosts {
			if h != leader {
				h.start()
			}
		}
		w := f.watch("n1", false)
		apply(f.proposer("e"), "1", 0, 1, folder(1))
		order(f.evacuators()[0], "a", false)
		expectVersion(1, w)
		expectEvacuated([]string{"a"}, w)
	})
})
