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

// party is entries that know each other.
type party struct {
	mu    sync.Mutex
	peers []messenger.Target
	heard map[string][]messenger.Sent // by hearer and teller
}

func (p *party) all() []messenger.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers
}

func (p *party) join(name string, own []messenger.Sent) (*sharer.Sharer, func()) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.mu.Lock()
	p.peers = append(p.peers, messenger.Target{ID: name, Address: l.Addr().String()})
	p.mu.Unlock()
	pool, closePool := pooler.New(muxer.Config{Node: name})
	s, stop := sharer.New(sharer.Config{
		Node: name, Address: l.Addr().String(), Pool: pool, Peers: p.all,
		Sends:   func() []messenger.Sent { return own },
		Keepers: func() []string { return nil },
		Learn: func(node string, sends []messenger.Sent) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.heard[name+" of "+node] = sends
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

func (p *party) hears(who, of string) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		if sends := p.heard[who+" of "+of]; len(sends) > 0 {
			return sends[0].Flying
		}
		return 0
	}
}

var _ = Describe("entries", func() {
	It("tell each other what they have, and go on when one has gone", func() {
		p := &party{heard: map[string][]messenger.Sent{}}
		var stops []func()
		for i := range 3 {
			s, stop := p.join(fmt.Sprint(i), []messenger.Sent{{Target: 7, Flying: i + 1}})
			DeferCleanup(stop)
			stops = append(stops, stop)
			s.Changed()
		}
		for _, pair := range [][2]int{{0, 1}, {0, 2}, {1, 0}, {2, 1}} {
			Eventually(p.hears(fmt.Sprint(pair[0]), fmt.Sprint(pair[1])), 10*time.Second).Should(Equal(pair[1] + 1))
		}
		stops[0]()
		p.mu.Lock()
		clear(p.heard)
		p.mu.Unlock()
		Eventually(p.hears("1", "2"), 10*time.Second).Should(Equal(3))
	})
})
