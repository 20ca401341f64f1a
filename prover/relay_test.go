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

// relay passes TCP connections on to an address until it is cut; it then keeps
// them open and passes nothing, as a network does that has lost track of them.
type relay struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	whole chan struct{} // closed while bytes pass
}

func newRelay(to string) *relay {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{l: l, to: to, whole: make(chan struct{})}
	close(r.whole)
	go r.serve()
	DeferCleanup(func() {
		_ = l.Close()
		r.mend()
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
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

func (r *relay) pass(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		whole := r.whole
		r.mu.Unlock()
		<-whole
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = make(chan struct{})
}

func (r *relay) mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.whole:
	default:
		close(r.whole)
	}
}

// behindRelays restarts entry i so that it reaches each keeper through a relay.
func (f *fleet) behindRelays(i int) []*relay {
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

var _ = Describe("an entry whose connections to keepers go silent", func() {
	It("moves on to another keeper, refuses with a code once none is left, and comes back", func() {
		f := newFleet(GinkgoTB())
		f.engine(1)
		relays := f.behindRelays(0)
		f.served(0, "letters")
		relays[0].cut()
		relays[1].cut()
		Consistently(f.ready(0), "7s", "200ms").Should(BeTrue())
		expectWhole(f.load(loader.Plan{Requests: 3}, 0))
		relays[2].cut()
		Eventually(f.ready(0)).Should(BeFalse())
		r := f.load(loader.Plan{Requests: 3, Timeout: time.Second}, 0)
		expectSettled(r)
		Expect(whole(r)).To(BeFalse())
		expectWhole(f.load(loader.Plan{Requests: 3}, 1))
		relays[1].mend()
		Eventually(f.ready(0)).Should(BeTrue())
		f.served(0, "letters")
	})
})
