package sharer_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/sharer"
)

func TestSharer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sharer")
}

// cluster is a set of entries that are peers of each other.
type cluster struct {
	mu       sync.Mutex
	peers    []messenger.Target
	received map[string][]messenger.Sent // counts of all others, by receiver
}

func (c *cluster) entries() []messenger.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// start starts an entry of a zone that has the given requests in flight. The returned
// function stops it.
func (c *cluster) start(name, zone string, own []messenger.Sent) (*sharer.Sharer, func()) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	c.peers = append(c.peers, messenger.Target{ID: name, Zone: zone, Address: l.Addr().String(), Aggregates: true})
	c.mu.Unlock()
	pool, closePool := pooler.New(muxer.Config{Node: name})
	s, stop := sharer.New(sharer.Config{
		Node: name, Zone: zone, Address: l.Addr().String(), Pool: pool, Peers: c.entries,
		Report:  func() messenger.Share { return messenger.Share{Sends: own} },
		Keepers: func() []string { return nil },
		Record: func(m messenger.Share) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.received[name] = m.Sends
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, muxer.Config{Node: name}, func(ctx context.Context, st *muxer.Stream) {
			if msg, err := st.Receive(ctx); err == nil {
				s.Handle(ctx, st, msg)
			}
		})
	}()
	return s, sync.OnceFunc(func() {
		stop()
		closePool()
		cancel()
		<-done
	})
}

// lastCount returns a function that reports the requests at a target that the receiver knows
// of, or zero.
func (c *cluster) lastCount(receiver string, target uint64) func() int {
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.received[receiver] {
			if s.Target == target {
				return s.InFlight
			}
		}
		return 0
	}
}

// startFormer starts an entry of a release that adds up nothing: it sends its counts to each
// other entry, and knows of each what that one sends itself.
func (c *cluster) startFormer(name, zone string, own []messenger.Sent) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	c.peers = append(c.peers, messenger.Target{ID: name, Zone: zone, Address: l.Addr().String()})
	c.mu.Unlock()
	pool, closePool := pooler.New(muxer.Config{Node: name})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.serveFormer(ctx, name, l) })
	wg.Go(func() {
		for ctx.Err() == nil {
			for _, p := range c.entries() {
				if conn, err := pool.Get(ctx, p.Address); err == nil && p.ID != name {
					_, _ = conn.Open(messenger.KindShare, &messenger.Share{Node: name, Sends: own})
				}
			}
			<-time.After(100 * time.Millisecond)
		}
	})
	DeferCleanup(func() {
		cancel()
		closePool()
		wg.Wait()
	})
}

func (c *cluster) serveFormer(ctx context.Context, name string, l net.Listener) {
	known := map[string][]messenger.Sent{} // by sender
	_ = muxer.Serve(ctx, l, muxer.Config{Node: name}, func(ctx context.Context, st *muxer.Stream) {
		for {
			msg, err := st.Receive(ctx)
			var m messenger.Share
			if err != nil || msg.Decode(&m) != nil {
				return
			}
			c.mu.Lock()
			known[m.Node] = m.Sends
			c.received[name] = aggregator.Sum(slices.Collect(maps.Values(known))...)
			c.mu.Unlock()
		}
	})
}

const sharedTarget = 100 // of a request of each entry

func sendsOf(i int) []messenger.Sent {
	return []messenger.Sent{{Target: uint64(i), InFlight: i + 1}, {Target: sharedTarget, InFlight: 1}}
}

// expectKnown expects each entry to know of the requests of all others.
func (c *cluster) expectKnown(entries []int) {
	GinkgoHelper()
	for _, receiver := range entries {
		for _, sender := range entries {
			if sender != receiver {
				Eventually(c.lastCount(fmt.Sprint(receiver), uint64(sender)), 10*time.Second).Should(Equal(sender+1), "%d of %d", receiver, sender)
			}
		}
		Eventually(c.lastCount(fmt.Sprint(receiver), sharedTarget), 10*time.Second).Should(Equal(len(entries)-1), "%d", receiver)
	}
}

var _ = Describe("Sharer", func() {
	It("exchanges counts between all entries, and continues after one has stopped", func() {
		c := &cluster{received: map[string][]messenger.Sent{}}
		var stops []func()
		for i := range 8 {
			s, stop := c.start(fmt.Sprint(i), fmt.Sprint("zone-", i%2), sendsOf(i))
			DeferCleanup(stop)
			stops = append(stops, stop)
			s.Changed()
		}
		c.expectKnown([]int{0, 1, 2, 3, 4, 5, 6, 7})
		stops[0]()
		c.mu.Lock()
		c.peers = c.peers[1:]
		clear(c.received)
		c.mu.Unlock()
		c.expectKnown([]int{1, 2, 3, 4, 5, 6, 7})
	})

	It("exchanges counts with entries that add up nothing", func() {
		c := &cluster{received: map[string][]messenger.Sent{}}
		c.startFormer("0", "zone-0", sendsOf(0))
		c.startFormer("1", "zone-1", sendsOf(1))
		for i := 2; i < 6; i++ {
			_, stop := c.start(fmt.Sprint(i), fmt.Sprint("zone-", i%2), sendsOf(i))
			DeferCleanup(stop)
		}
		c.expectKnown([]int{0, 1, 2, 3, 4, 5})
	})
})
