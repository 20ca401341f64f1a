package publisher_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/publisher"
)

// relays holds publishers of several keepers that relay announcements to each other.
type relays struct {
	members []messenger.Member
	all     []*publisher.Publisher
	stops   []func()
	cut     atomic.Bool  // keepers drop what they receive
	dropped atomic.Int64 // number of messages dropped
}

func newRelays(n int) *relays {
	GinkgoHelper()
	r := &relays{}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		r.members = append(r.members, messenger.Member{Node: string(rune('a' + i)), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		pool, closePool := pooler.New(muxer.Config{Node: r.members[i].Node})
		p, stop, err := publisher.New(publisher.Config{
			Applier: &applier.Applier{}, Pool: pool, Address: r.members[i].Address, Exclusive: true,
			Members: func() []messenger.Member { return r.members },
			Propose: func(context.Context, []byte) (uint64, []byte, error) { return 0, (&applier.Answer{}).Encode(), nil },
			Confirm: func(context.Context) (uint64, error) { return 1, nil },
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = muxer.Serve(ctx, l, muxer.Config{Node: r.members[i].Node}, func(ctx context.Context, s *muxer.Stream) {
				msg, err := s.Receive(ctx)
				switch {
				case err != nil:
				case r.cut.Load():
					r.dropped.Add(1)
				default:
					p.Handle(ctx, s, msg)
				}
			})
		}()
		r.all = append(r.all, p)
		r.stops = append(r.stops, func() {
			cancel()
			<-done
			closePool()
			stop()
		})
	}
	DeferCleanup(func() {
		for _, stop := range r.stops {
			stop()
		}
	})
	return r
}

func (r *relays) stop(i int) {
	r.stops[i]()
	r.stops[i] = func() {}
}

func (r *relays) leaving(i int) func() bool {
	return func() bool {
		for _, t := range r.all[i].Targets() {
			if t.ID == "t" {
				return t.Leaving
			}
		}
		return false
	}
}

func announcement(leaving bool, seq uint64) messenger.Announce {
	return messenger.Announce{Lease: time.Minute, Target: messenger.Target{
		ID: "t", Service: "s", Address: "x:1", Slots: 1, Incarnation: 5, Seq: seq, Leaving: leaving,
	}}
}

var _ = Describe("an announcement to one keeper", func() {
	It("is relayed to the other keepers", func() {
		r := newRelays(3)
		Expect(r.all[0].Announce(context.Background(), announcement(false, 1))).To(Succeed())
		for i := range r.all {
			Eventually(func() int { return len(r.all[i].Targets()) }, 5*time.Second).Should(Equal(1))
		}
	})

	It("that takes a target out of service is acknowledged once a majority has accepted it", func() {
		r := newRelays(3)
		r.stop(2)
		Expect(r.all[0].Announce(context.Background(), announcement(true, 1))).To(Succeed())
		for i := range 2 {
			Eventually(r.leaving(i), 5*time.Second).Should(BeTrue())
		}
	})

	It("that takes a target out of service is not acknowledged without a majority", func() {
		r := newRelays(3)
		r.stop(1)
		r.stop(2)
		err := r.all[0].Announce(context.Background(), announcement(true, 1))
		Expect(coder.Of(err).Code).To(Equal(coder.NoQuorum))
	})

	// Guards against a target that can't leave, and disappears from some keepers, because two
	// of them that were cut off from each other assigned it different incarnations.
	It("is accepted by a keeper that had assigned the target another incarnation", func() {
		r := newRelays(2)
		r.cut.Store(true)
		seq := uint64(0)
		next := func(leaving bool) messenger.Announce {
			seq++
			a := announcement(leaving, seq)
			a.Target.Incarnation = 0
			return a
		}
		Expect(r.all[0].Announce(context.Background(), next(false))).To(Succeed())
		first := r.all[0].Targets
		Eventually(first).Should(HaveLen(1))
		Eventually(func() uint64 { return uint64(time.Now().UnixMilli()) }).Should(BeNumerically(">", first()[0].Incarnation))
		Expect(r.all[1].Announce(context.Background(), next(false))).To(Succeed())
		Eventually(r.dropped.Load).Should(Equal(int64(2)))
		r.cut.Store(false)
		Eventually(func() error { return r.all[0].Announce(context.Background(), next(true)) }, 5*time.Second).Should(Succeed())
		for i := range r.all {
			Eventually(r.leaving(i), 5*time.Second).Should(BeTrue())
		}
	})
})
