package watcher_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/publisher"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

// fleet is a group of keepers that share one log in memory. The first one that is not
// isolated is the leader.
type fleet struct {
	mu      sync.Mutex
	index   uint64
	keepers []*fakeKeeper
}

// fakeKeeper is a keeper that listens on the loopback interface.
type fakeKeeper struct {
	*fleet
	applier  applier.Applier
	addr     string
	isolated bool // from the other keepers, so without a quorum
	stop     func()
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		f.keepers = append(f.keepers, &fakeKeeper{fleet: f})
	}
	for _, k := range f.keepers {
		k.start()
	}
	return f
}

func (k *fakeKeeper) start() {
	p, end, err := publisher.New(publisher.Config{
		Applier: &k.applier, Propose: k.propose, Confirm: k.confirm, Leader: k.leader, ConfirmInterval: 20 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	k.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, muxer.Config{Node: k.addr}, func(ctx context.Context, s *muxer.Stream) {
			first, err := s.Receive(ctx)
			if err == nil {
				p.Handle(ctx, s, first)
			}
		})
	}()
	k.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		end()
	})
	DeferCleanup(k.stop)
}

func (f *fleet) currentLeader() *fakeKeeper {
	for _, k := range f.keepers {
		if !k.isolated {
			return k
		}
	}
	return nil
}

func (k *fakeKeeper) leader() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isolated || k.currentLeader() == nil {
		return ""
	}
	return k.currentLeader().addr
}

func (k *fakeKeeper) propose(_ context.Context, command []byte) (uint64, []byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isolated || k.currentLeader() != k {
		return 0, nil, coder.Errorf(coder.NotLeader, "")
	}
	k.index++
	var answer []byte
	for _, other := range k.keepers {
		if !other.isolated {
			answer = other.applier.Apply(k.index, command)
		}
	}
	return k.index, answer, nil
}

func (k *fakeKeeper) confirm(context.Context) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isolated {
		return 0, coder.Errorf(coder.Unconfirmed, "")
	}
	return k.index, nil
}

func (k *fakeKeeper) setIsolated(isolated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isolated = isolated
}

func (f *fleet) addresses() []setter.Keeper {
	var out []setter.Keeper
	for _, k := range f.keepers {
		out = append(out, setter.Keeper{Node: k.addr, Address: k.addr})
	}
	return out
}

func pool() *pooler.Pooler {
	p, end := pooler.New(muxer.Config{Node: "test"})
	DeferCleanup(end)
	return p
}

func (f *fleet) propose(c *applier.Command) *applier.Answer {
	GinkgoHelper()
	p := proposer.Proposer{Keepers: f.addresses(), Pool: pool()}
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	var out messenger.Proposed
	Expect(p.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out)).To(Succeed())
	a, err := applier.DecodeAnswer(out.Data)
	Expect(err).NotTo(HaveOccurred())
	return a
}

func (f *fleet) change(version uint64) {
	GinkgoHelper()
	f.changeCrashes(version, 3)
}

// changeCrashes puts a version in force whose crash limit may differ from 3.
func (f *fleet) changeCrashes(version uint64, crashes int) {
	GinkgoHelper()
	files := []messenger.File{
		{Name: "a.json", Data: fmt.Appendf(nil, `{"limits": {"crashes": %d}}`, crashes)},
		{Name: "b.json", Data: fmt.Appendf(nil, `{"limits": {"body": %d}}`, version)},
	}
	a := f.propose(&applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: fmt.Sprint(version), Base: version - 1, Version: version, Digest: merger.Digest(files), Rules: checker.Rules, Files: files,
	}})
	Expect(a.Code).To(Equal(coder.OK), a.Text)
}

func (f *fleet) watch(node string, edit ...func(*watcher.Config)) *watcher.Watcher {
	GinkgoHelper()
	cfg := watcher.Config{Node: node, Keepers: f.addresses(), Pool: pool()}
	for _, e := range edit {
		e(&cfg)
	}
	w, end, err := watcher.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(end)
	return w
}

func (f *fleet) announce(id string, inc uint64) {
	GinkgoHelper()
	for _, k := range f.keepers {
		conn, err := pool().Get(context.Background(), k.addr)
		Expect(err).NotTo(HaveOccurred())
		var out messenger.Announced
		a := &messenger.Announce{Target: messenger.Target{ID: id, Service: "s", Incarnation: inc}, Lease: time.Minute}
		Expect(conn.Call(context.Background(), messenger.KindAnnounce, a, &out)).To(Succeed())
		Expect(out.Confirmed).To(Equal(!k.isolated))
	}
}
