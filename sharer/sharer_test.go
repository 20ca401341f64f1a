package sharer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
	received map[string][]messenger.Sent // counts, by receiver and sender
}

func (c *cluster) entries() []messenger.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// start starts an entry that has the given requests in flight. The returned function
// stops it.
func (c *cluster) start(name string, own []messenger.Sent) (*sharer.Sharer, func()) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	c.peers = append(c.peers, messenger.Target{ID: name, Address: l.Addr().String()})
	c.mu.Unlock()
	pool, closePool := pooler.New(muxer.Config{Node: name})
	s, stop := sharer.New(sharer.Config{
		Node: name, Address: l.Addr().String(), Pool: pool, Peers: c.entries,
		Report:  func() messenger.Share { return messenger.Share{Sends: own} },
		Keepers: func() []string { return nil },
		Record: func(m messenger.Share) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.received[name+" from "+m.Node] = m.Sends
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

// lastCount returns a function that reports the count in the last message that receiver got
// from sender, or zero.
func (c *cluster) lastCount(receiver, sender string) func() int {
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		if sends := c.received[receiver+" from "+sender]; len(sends) > 0 {
			return sends[0].InFlight
		}
		return 0
	}
}

var _ = Describe("Sharer", func() {
	It("exchanges counts between all entries, and continues after one has stopped", func() {
		c := &cluster{received: map[string][]messenger.Sent{}}
		var stops []func()
		for i := range 3 {
			s, stop := c.start(fmt.Sprint(i), []messenger.Sent{{Target: 7, InFlight: i + 1}})
			DeferCleanup(stop)
			stops = append(stops, stop)
			s.Changed()
		}
		for _, pair := range [][2]int{{0, 1}, {0, 2}, {1, 0}, {2, 1}} {
			Eventually(c.lastCount(fmt.Sprint(pair[0]), fmt.Sprint(pair[1])), 10*time.Second).Should(Equal(pair[1] + 1))
		}
		stops[0]()
		c.mu.Lock()
		clear(c.received)
		c.mu.Unlock()
		Eventually(c.lastCount("1", "2"), 10*time.Second).Should(Equal(3))
	})
})
