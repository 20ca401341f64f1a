package prover_test

import (
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/loader"
	"bramleyshunt/setter"
)

// relay forwards TCP connections to an address. While it is stalled it keeps the
// connections open but forwards nothing, like a firewall that has dropped their state.
type relay struct {
	l  net.Listener
	to string

	mu         sync.Mutex
	forwarding chan struct{} // closed while the relay forwards
}

func newRelay(to string) *relay {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{l: l, to: to, forwarding: make(chan struct{})}
	close(r.forwarding)
	go r.serve()
	DeferCleanup(func() {
		_ = l.Close()
		r.resume()
	})
	return r
}

func (r *relay) serve() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go r.forward(in, out)
		go r.forward(out, in)
	}
}

func (r *relay) forward(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		forwarding := r.forwarding
		r.mu.Unlock()
		<-forwarding
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwarding = make(chan struct{})
}

func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.forwarding:
	default:
		close(r.forwarding)
	}
}

// restartBehindRelays restarts entry i so that it connects to each keeper through a
// relay, and returns the relays in the order of the keepers.
func (f *fleet) restartBehindRelays(i int) []*relay {
	GinkgoHelper()
	f.entries[i].kill()
	s := f.settings(f.entries[i].name, setter.RoleEntry)
	s.HTTP = f.entryAddress(i)
	var relays []*relay
	for k := range s.Keepers {
		r := newRelay(f.keeperAddress(k))
		s.Keepers[k].Address = r.l.Addr().String()
		relays = append(relays, r)
	}
	f.entries[i] = f.run(s)
	return relays
}

// ready returns a function that reports whether entry i is ready.
func (f *fleet) ready(i int) func() bool {
	return func() bool {
		resp, err := http.Get(f.entryURL(i) + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

var _ = Describe("An entry whose connections to keepers stall", func() {
	It("switches to another keeper, refuses requests with a code once no keeper answers, and recovers", func() {
		f := newFleet(GinkgoTB())
		f.engine(1)
		relays := f.restartBehindRelays(0)
		f.waitServed(0, "letters")
		relays[0].stall()
		relays[1].stall()
		Consistently(f.ready(0), "7s", "200ms").Should(BeTrue())
		expectComplete(f.load(loader.Plan{Requests: 3}, 0))
		relays[2].stall()
		Eventually(f.ready(0)).Should(BeFalse())
		r := f.load(loader.Plan{Requests: 3, Timeout: time.Second}, 0)
		expectSettled(r)
		Expect(allComplete(r)).To(BeFalse())
		expectComplete(f.load(loader.Plan{Requests: 3}, 1))
		relays[1].resume()
		Eventually(f.ready(0)).Should(BeTrue())
		f.waitServed(0, "letters")
	})
})
