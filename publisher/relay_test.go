package publisher_test

import (
	"context"
	"net"
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
				if msg, err := s.Receive(ctx); err == nil {
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
})
