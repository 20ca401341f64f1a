package keeper_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/keeper"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
	"bramleyshunt/setter"
)

const eventTimeout = 30 * time.Second // generous bound for events that must happen eventually

// register is a state machine that concatenates commands.
type register struct {
	mu   sync.Mutex
	data []byte
}

func (r *register) apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, command...)
	return append([]byte("done "), command...)
}

func (r *register) snapshot() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]byte(nil), r.data...)
}

func (r *register) restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append([]byte(nil), data...)
	return nil
}

// host is one node. Its listener stays open while its keeper is stopped and restarted.
type host struct {
	node         string
	folder       string
	keeper       atomic.Pointer[keeper.Keeper]
	register     *register
	failSync     atomic.Bool // syncs of the data folder fail
	syncs        atomic.Int64
	fatal        atomic.Pointer[error]
	dropInbound  atomic.Bool // messages to this host are lost
	dropOutbound atomic.Bool // messages from this host are lost
	stop         func()
}

type cluster struct {
	hosts           []*host
	peers           []setter.Keeper
	snapshotEntries uint64
}

func newCluster(tb testing.TB, nodes ...string) *cluster {
	c := &cluster{snapshotEntries: 16}
	root := tb.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	for _, n := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		h := &host{node: n, folder: filepath.Join(root, n), register: &register{}}
		c.hosts = append(c.hosts, h)
		c.peers = append(c.peers, setter.Keeper{Node: n, Address: l.Addr().String()})
		go func() { _ = muxer.Serve(ctx, l, muxer.Config{Node: n, Key: []byte("fleet")}, h.serve) }()
	}
	tb.Cleanup(func() {
		for _, h := range c.hosts {
			h.kill()
		}
	})
	return c
}

func (h *host) serve(ctx context.Context, s *muxer.Stream) {
	msg, err := s.Receive(ctx)
	if k := h.keeper.Load(); err == nil && k != nil && !h.dropInbound.Load() {
		k.Handle(ctx, s, msg)
	}
}

func (c *cluster) start(i int) {
	h := c.hosts[i]
	h.register = &register{}
	pool, closePool := pooler.New(muxer.Config{Node: h.node, Key: []byte("fleet")})
	k, closer, err := keeper.New(keeper.Config{
		Node: h.node, Peers: c.peers, Folder: h.folder, Pool: pool, SnapshotEntries: c.snapshotEntries,
		Apply: h.register.apply, Snapshot: h.register.snapshot, Restore: h.register.restore,
		HeartbeatInterval: 30 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond,
		Files: recorder.Files{Open: h.open}, Fatal: func(err error) { h.fatal.Store(&err) },
		Drop: func(to messenger.Member, _ any) bool { return h.dropOutbound.Load() || c.dropsInbound(to.Node) },
	})
	Expect(err).NotTo(HaveOccurred())
	h.keeper.Store(k)
	h.stop = func() {
		closer()
		closePool()
	}
}

// open opens a file whose Sync counts its calls and fails while failSync is set.
func (h *host) open(path string) (*recorder.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	sync := func() error {
		if h.failSync.Load() {
			return errors.New("input/output error")
		}
		h.syncs.Add(1)
		return f.Sync()
	}
	return &recorder.File{Write: f.Write, Truncate: f.Truncate, Sync: sync, Close: f.Close}, nil
}

func (c *cluster) dropsInbound(node string) bool {
	for _, h := range c.hosts {
		if h.node == node {
			return h.dropInbound.Load()
		}
	}
	return false
}

func (c *cluster) startAll() {
	for i := range c.hosts {
		c.start(i)
	}
}

func (h *host) kill() {
	if h.keeper.Swap(nil) != nil {
		h.stop()
	}
}

func (h *host) wipe() {
	Expect(os.RemoveAll(h.folder)).To(Succeed())
}

// leader waits for a keeper that leads with a quorum and returns its position.
func (c *cluster) leader() int {
	GinkgoHelper()
	found := -1
	Eventually(func() bool {
		for i, h := range c.hosts {
			if k := h.keeper.Load(); k != nil && k.Status().Role == replicator.Leader {
				found = i
				_, err := k.Confirm(context.Background())
				return err == nil
			}
		}
		return false
	}, eventTimeout).Should(BeTrue())
	return found
}

// propose sends a command to the current leader until it is accepted.
func (c *cluster) propose(command string) {
	GinkgoHelper()
	Eventually(func() error {
		k := c.hosts[c.leader()].keeper.Load()
		_, answer, err := k.Propose(context.Background(), []byte(command))
		if err == nil {
			Expect(string(answer)).To(Equal("done " + command))
		}
		return err
	}, eventTimeout).Should(Succeed())
}

func (c *cluster) expectData(i int, want string) {
	GinkgoHelper()
	Eventually(func() string {
		if _, err := c.hosts[i].keeper.Load().Confirm(context.Background()); err != nil {
			return err.Error()
		}
		return string(c.hosts[i].register.snapshot())
	}, eventTimeout).Should(Equal(want))
}

func (c *cluster) expectRepaired() {
	GinkgoHelper()
	Eventually(func() bool {
		s := c.hosts[c.leader()].keeper.Load().Status()
		return s.Repaired && len(s.Voters) == len(c.hosts)
	}, eventTimeout).Should(BeTrue())
}

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
}
