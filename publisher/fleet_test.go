package publisher_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/keeper"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/publisher"
	"bramleyshunt/replicator"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

const patience = 30 * time.Second // for what must happen at all

// host is one node with a keeper and its publisher.
type host struct {
	fleet  *fleet
	node   string
	folder string
	cut    atomic.Bool // from the other keepers
	live   atomic.Pointer[process]
}

// process is one run of a host's keeper.
type process struct {
	applier   applier.Applier
	keeper    *keeper.Keeper
	publisher *publisher.Publisher
	stop      func()
}

// fleet is three hosts with real keepers on loopback. Nodes reach the keepers
// at addresses of their own, whose traffic is counted.
type fleet struct {
	tb    testing.TB
	hosts []*host
	peers []setter.Keeper
	nodes []setter.Keeper
	meter meter
}

func newFleet(tb testing.TB) *fleet {
	f := &fleet{tb: tb}
	root := tb.TempDir()
	for _, node := range []string{"k1", "k2", "k3"} {
		h := &host{fleet: f, node: node, folder: filepath.Join(root, node)}
		f.hosts = append(f.hosts, h)
		f.peers = append(f.peers, setter.Keeper{Node: node, Address: f.serve(h, nil)})
		f.nodes = append(f.nodes, setter.Keeper{Node: node, Address: f.serve(h, &f.meter)})
	}
	tb.Cleanup(func() {
		for _, h := range f.hosts {
			h.kill()
		}
	})
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

// serve listens for a host, whether its keeper runs or not.
func (f *fleet) serve(h *host, m *meter) string {
	return f.listen(m, muxer.Config{Node: h.node}, h.handle)
}

// listen serves connections on loopback and returns the address.
func (f *fleet) listen(m *meter, cfg muxer.Config, handle func(context.Context, *muxer.Stream)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	addr := l.Addr().String()
	if m != nil {
		l = &countingListener{Listener: l, meter: m}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, cfg, handle)
	}()
	f.tb.Cleanup(func() {
		cancel()
		<-done
	})
	return addr
}

func (h *host) handle(ctx context.Context, s *muxer.Stream) {
	first, err := s.Receive(ctx)
	p := h.live.Load()
	if err != nil || p == nil {
		return
	}
	if !p.publisher.Handle(ctx, s, first) && !h.cut.Load() {
		p.keeper.Handle(ctx, s, first)
	}
}

func (h *host) start() {
	p := &process{}
	pool, closePool := pooler.New(muxer.Config{Node: h.node})
	k, stopKeeper, err := keeper.New(keeper.Config{
		Node: h.node, Peers: h.fleet.peers, Folder: h.folder, Pool: pool, SnapshotEntries: 64,
		Apply: p.applier.Apply, Snapshot: p.applier.Snapshot, Restore: p.applier.Restore,
		Drop: func(to messenger.Member, _ any) bool { return h.cut.Load() || h.fleet.isCut(to.Node) },
	})
	Expect(err).NotTo(HaveOccurred())
	p.keeper = k
	pub, stopPublisher, err := publisher.New(publisher.Config{
		Applier: &p.applier, Propose: k.Propose, Confirm: k.Confirm, Pool: pool, Leader: func() string { return h.fleet.address(k.Status().Leader) },
	})
	Expect(err).NotTo(HaveOccurred())
	p.publisher = pub
	p.stop = func() {
		stopPublisher()
		stopKeeper()
		closePool()
	}
	h.live.Store(p)
}

// kill ends the keeper at once; the connections to it fall silent.
func (h *host) kill() {
	if p := h.live.Swap(nil); p != nil {
		p.stop()
	}
}

func (f *fleet) isCut(node string) bool {
	for _, h := range f.hosts {
		if h.node == node {
			return h.cut.Load()
		}
	}
	return false
}

// address returns where nodes reach a keeper.
func (f *fleet) address(node string) string {
	for _, k := range f.nodes {
		if k.Node == node {
			return k.Address
		}
	}
	return ""
}

func (f *fleet) leader() *host {
	var found *host
	Eventually(func() bool {
		for _, h := range f.hosts {
			p := h.live.Load()
			if p == nil || h.cut.Load() || p.keeper.Status().Role != replicator.Leader {
				continue
			}
			found = h
			_, err := p.keeper.Confirm(context.Background())
			return err == nil
		}
		return false
	}).WithTimeout(patience).Should(BeTrue())
	return found
}

func (f *fleet) pool(node string) *pooler.Pooler {
	p, closePool := pooler.New(muxer.Config{Node: node})
	f.tb.Cleanup(closePool)
	return p
}

func (f *fleet) proposer(node string) *proposer.Proposer {
	return &proposer.Proposer{Keepers: f.nodes, Pool: f.pool(node)}
}

func (f *fleet) watch(node string, lean bool) *watcher.Watcher {
	w, stop, err := watcher.New(watcher.Config{Node: node, Keepers: f.nodes, Pool: f.pool(node), Lean: lean})
	Expect(err).NotTo(HaveOccurred())
	f.tb.Cleanup(stop)
	return w
}

func folder(body uint64) []messenger.File {
	return []messenger.File{
		{Name: "10-limits.json", Data: []byte(`{"limits": {"crashes": 3}}`)},
		{Name: "20-body.json", Data: fmt.Appendf(nil, `{"limits": {"body": %d}}`, body)},
	}
}

// apply sends one change until it is answered.
func apply(p *proposer.Proposer, id string, base, version uint64, files []messenger.File) *applier.Answer {
	c := &applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: id, Base: base, Version: version, Digest: merger.Digest(files), Operator: id, Rules: checker.Rules, Files: files,
	}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out messenger.Proposed
	Expect(p.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out)).To(Succeed())
	a, err := applier.DecodeAnswer(out.Data)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// expectVersion waits until all watchers have put a version in force and serve.
func expectVersion(version uint64, watchers ...*watcher.Watcher) {
	for _, w := range watchers {
		Eventually(func() uint64 {
			if v := w.View(); v != nil && w.Ready() == nil {
				return v.Version
			}
			return 0
		}).WithTimeout(patience).WithPolling(2 * time.Millisecond).Should(BeNumerically(">=", version))
	}
}

// falls watches a watcher for a version that is lower than one before.
func falls(w *watcher.Watcher, stop <-chan struct{}) (fell bool) {
	last := uint64(0)
	for {
		changed := w.Changed()
		if v := w.View(); v != nil {
			fell = fell || v.Version < last
			last = v.Version
		}
		select {
		case <-changed:
		case <-stop:
			return fell
		}
	}
}
