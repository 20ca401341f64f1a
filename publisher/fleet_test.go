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

const eventTimeout = 30 * time.Second // generous bound for events that must happen eventually

// host is one node with a keeper and its publisher.
type host struct {
	fleet    *fleet
	node     string
	folder   string
	isolated atomic.Bool // cut off from the other keepers
	running  atomic.Pointer[process]
}

// process is one run of a host's keeper.
type process struct {
	applier   applier.Applier
	keeper    *keeper.Keeper
	publisher *publisher.Publisher
	stop      func()
}

// fleet is three hosts with real keepers on loopback. Nodes and keepers reach the
// keepers at separate addresses, so that only the traffic of nodes is counted.
type fleet struct {
	tb    testing.TB
	hosts []*host
	peers []setter.Keeper // addresses for the other keepers
	nodes []setter.Keeper // addresses for nodes
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

// serve listens for a host, whether or not its keeper runs, and returns the address.
func (f *fleet) serve(h *host, m *meter) string {
	return f.listen(m, muxer.Config{Node: h.node}, h.handle)
}

// listen serves connections on loopback, counted by m if it is not nil, and returns
// the address.
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
	p := h.running.Load()
	if err != nil || p == nil {
		return
	}
	if !p.publisher.Handle(ctx, s, first) && !h.isolated.Load() {
		p.keeper.Handle(ctx, s, first)
	}
}

func (h *host) start() {
	p := &process{}
	pool, closePool := pooler.New(muxer.Config{Node: h.node})
	k, stopKeeper, err := keeper.New(keeper.Config{
		Node: h.node, Peers: h.fleet.peers, Folder: h.folder, Pool: pool, SnapshotEntries: 64,
		Apply: p.applier.Apply, Snapshot: p.applier.Snapshot, Restore: p.applier.Restore,
		Drop: func(to messenger.Member, _ any) bool { return h.isolated.Load() || h.fleet.isIsolated(to.Node) },
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
	h.running.Store(p)
}

// kill stops the keeper. Connections to the host stay open without being served.
func (h *host) kill() {
	if p := h.running.Swap(nil); p != nil {
		p.stop()
	}
}

func (f *fleet) isIsolated(node string) bool {
	for _, h := range f.hosts {
		if h.node == node {
			return h.isolated.Load()
		}
	}
	return false
}

// address returns the address where nodes reach a keeper, empty if it is unknown.
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
			p := h.running.Load()
			if p == nil || h.isolated.Load() || p.keeper.Status().Role != replicator.Leader {
				continue
			}
			found = h
			_, err := p.keeper.Confirm(context.Background())
			return err == nil
		}
		return false
	}).WithTimeout(eventTimeout).Should(BeTrue())
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

func (f *fleet) watch(node string, configOnly bool) *watcher.Watcher {
	w, stop, err := watcher.New(watcher.Config{Node: node, Keepers: f.nodes, Pool: f.pool(node), Lean: configOnly})
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

// apply sends one change, repeatedly if need be, and returns the answer.
func apply(p *proposer.Proposer, id string, base, version uint64, files []messenger.File) *applier.Answer {
	c := &applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: id, Base: base, Version: version, Digest: merger.Digest(files), Operator: id, Rules: checker.Rules, Files: files,
	}}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	var out messenger.Proposed
	Expect(p.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out)).To(Succeed())
	a, err := applier.DecodeAnswer(out.Data)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// expectVersion waits until all watchers have a version or a later one in force and
// are ready.
func expectVersion(version uint64, watchers ...*watcher.Watcher) {
	for _, w := range watchers {
		Eventually(func() uint64 {
			if v := w.View(); v != nil && w.Ready() == nil {
				return v.Version
			}
			return 0
		}).WithTimeout(eventTimeout).WithPolling(2 * time.Millisecond).Should(BeNumerically(">=", version))
	}
}

// rollsBack reports whether a watcher's version decreases until stop is closed.
func rollsBack(w *watcher.Watcher, stop <-chan struct{}) (decreased bool) {
	last := uint64(0)
	for {
		changed := w.Changed()
		if v := w.View(); v != nil {
			decreased = decreased || v.Version < last
			last = v.Version
		}
		select {
		case <-changed:
		case <-stop:
			return decreased
		}
	}
}
