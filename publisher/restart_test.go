package publisher_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/keeper"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/publisher"
	"bramleyshunt/recorder"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

const (
	virtualOneWay  = time.Millisecond
	virtualSync    = 5 * time.Millisecond
	virtualTimeout = 600 * time.Millisecond // election timeout
)

// virtualNet connects processes by name in the time of a synctest bubble.
type virtualNet struct {
	mu        sync.Mutex
	listeners map[string]*virtualListener
}

type virtualListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *virtualListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *virtualListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *virtualListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *virtualNet) listen(addr string) *virtualListener {
	l := &virtualListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// dial connects to addr. It fails at once if the process there has stopped, and after a
// timeout if the machine has no power.
func (n *virtualNet) dial(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		time.Sleep(muxer.DialTimeout)
		return nil, nil, coder.Errorf(coder.TargetLost, "no answer from %s", addr)
	}
	near, far := net.Pipe()
	accepted := newDelayedConn(far)
	select {
	case l.conns <- accepted:
		return muxer.Connect(ctx, newDelayedConn(near), cfg)
	case <-l.closed:
		_ = accepted.Close()
		return nil, nil, coder.Errorf(coder.TargetLost, "%s has stopped", addr)
	}
}

// delayedConn delays what is written by the time of the network. Write itself does not
// block: it is called with locks held, and a bubble's time stands still while a goroutine
// waits for a lock.
type delayedConn struct {
	net.Conn
	sent   chan delayedBytes
	closed chan struct{}
	once   sync.Once
}

type delayedBytes struct {
	due  time.Time
	data []byte
}

func newDelayedConn(conn net.Conn) *delayedConn {
	c := &delayedConn{Conn: conn, sent: make(chan delayedBytes, 4096), closed: make(chan struct{})}
	go c.run()
	return c
}

func (c *delayedConn) run() {
	for {
		select {
		case b := <-c.sent:
			time.Sleep(time.Until(b.due))
			if _, err := c.Conn.Write(b.data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *delayedConn) Write(p []byte) (int, error) {
	c.sent <- delayedBytes{due: time.Now().Add(virtualOneWay), data: slices.Clone(p)}
	return len(p), nil
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// virtualKeeper is one node whose keeper process can be killed and started.
type virtualKeeper struct {
	net      *virtualNet
	node     string
	folder   string
	peers    []setter.Keeper
	seed     uint64
	applier  *applier.Applier
	keeper   *keeper.Keeper
	watchers *publisher.Publisher
	kill     func()
}

// openSlowly opens a file on a disk that takes virtualSync for each sync.
func openSlowly(path string) (*recorder.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	sync := func() error {
		time.Sleep(virtualSync)
		return nil
	}
	return &recorder.File{Write: f.Write, Truncate: f.Truncate, Sync: sync, Close: f.Close}, nil
}

func (k *virtualKeeper) start() {
	k.seed++
	pool, closePool := pooler.New(muxer.Config{Node: k.node})
	pool.Dial = k.net.dial
	k.applier = &applier.Applier{}
	kp, stopKeeper, err := keeper.New(keeper.Config{
		Node: k.node, Peers: k.peers, Folder: k.folder, Pool: pool, Files: recorder.Files{Open: openSlowly},
		Apply: k.applier.Apply, Snapshot: k.applier.Snapshot, Restore: k.applier.Restore, Seed: k.seed,
		ElectionTimeout: virtualTimeout, HeartbeatInterval: virtualTimeout / 6,
	})
	Expect(err).NotTo(HaveOccurred())
	pub, stopPublisher, err := publisher.New(publisher.Config{
		Applier: k.applier, Propose: kp.Propose, Confirm: kp.Confirm, Pool: pool, Address: k.node,
		Leader:  func() string { return kp.Status().Leader },
		Members: func() []messenger.Member { return kp.Status().Voters },
	})
	Expect(err).NotTo(HaveOccurred())
	k.keeper, k.watchers = kp, pub
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	l := k.net.listen(k.node)
	go func() {
		defer close(served)
		_ = muxer.Serve(ctx, l, muxer.Config{Node: k.node}, func(ctx context.Context, s *muxer.Stream) {
			if first, err := s.Receive(ctx); err == nil && !pub.Handle(ctx, s, first) {
				kp.Handle(ctx, s, first)
			}
		})
	}()
	k.kill = func() {
		cancel()
		<-served
		stopPublisher()
		stopKeeper()
		closePool()
	}
}

// virtualGroup is three keepers that have agreed on a configuration.
type virtualGroup struct {
	net     *virtualNet
	keepers []*virtualKeeper
	peers   []setter.Keeper
}

func newVirtualGroup(t *testing.T, seed uint64) *virtualGroup {
	g := &virtualGroup{net: &virtualNet{listeners: map[string]*virtualListener{}}}
	for _, node := range []string{"k1", "k2", "k3"} {
		g.peers = append(g.peers, setter.Keeper{Node: node, Address: node})
	}
	for i, p := range g.peers {
		k := &virtualKeeper{net: g.net, node: p.Node, folder: filepath.Join(t.TempDir(), p.Node), peers: g.peers, seed: 100*seed + 10*uint64(i)}
		g.keepers = append(g.keepers, k)
		k.start()
	}
	files := folder(1000)
	c := &applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: "first", Version: 1, Digest: merger.Digest(files), Operator: "test", Rules: checker.Rules, Files: files,
	}}
	g.propose(c)
	time.Sleep(time.Second) // until all keepers have heard from the leader
	return g
}

// propose has the leader accept a command.
func (g *virtualGroup) propose(c *applier.Command) {
	for {
		for _, k := range g.keepers {
			if _, _, err := k.keeper.Propose(context.Background(), c.Encode()); err == nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (g *virtualGroup) killAll() {
	for _, k := range g.keepers {
		k.kill()
	}
}

// powerOffAll kills all keepers and lets their machines answer nothing until they start.
func (g *virtualGroup) powerOffAll() {
	g.killAll()
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	clear(g.net.listeners)
}

// restartAll starts the keepers one after the other, as after a loss of power.
func (g *virtualGroup) restartAll(between time.Duration) {
	for i, k := range g.keepers {
		if i > 0 {
			time.Sleep(between)
		}
		k.start()
	}
}

// watchUntilConfirmed starts a watcher and returns its first confirmed view.
func (g *virtualGroup) watchUntilConfirmed(node string) *watcher.View {
	pool, closePool := pooler.New(muxer.Config{Node: node})
	pool.Dial = g.net.dial
	defer closePool()
	w, stop, err := watcher.New(watcher.Config{Node: node, Keepers: g.peers, Pool: pool})
	Expect(err).NotTo(HaveOccurred())
	defer stop()
	for w.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return w.View()
}

func target(id string, leaving bool) messenger.Target {
	return messenger.Target{ID: id, Service: "s", Address: id + ":1", Slots: 16, Incarnation: 5, Seq: 1, Leaving: leaving}
}

func leavingByID(v *watcher.View) map[string]bool {
	out := map[string]bool{}
	for _, t := range v.Targets {
		out[t.ID] = t.Leaving
	}
	return out
}

// Guards against an entry that, after a restart of all keepers, knows only the few targets
// that have announced themselves since, and sends everything that was held to these.
func TestTargetsAreKnownAfterRestartOfAllKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := newVirtualGroup(t, 1)
		announce := func(keeper int, target messenger.Target) {
			Expect(g.keepers[keeper].watchers.Announce(context.Background(), messenger.Announce{Target: target})).To(Succeed())
		}
		for i, id := range []string{"t1", "t2", "t3", "t4"} {
			announce(i%3, target(id, false))
		}
		time.Sleep(2 * time.Second)
		for i, id := range []string{"t1", "t2", "t3", "t4"} {
			announce(i%3, target(id, false))
		}
		announce(2, target("t4", true)) // acknowledged just before all keepers die
		g.killAll()
		g.restartAll(0)
		v := g.watchUntilConfirmed("e1")
		Expect(leavingByID(v)).To(Equal(map[string]bool{"t1": false, "t2": false, "t3": false, "t4": true}))
		announce(0, target("t4", false)) // a heartbeat that was sent before the target left
		time.Sleep(time.Second)
		Expect(leavingByID(g.watchUntilConfirmed("e2"))).To(HaveKeyWithValue("t4", true))
		g.expectTargets(4 * time.Second) // those that do not announce themselves again are dropped
		g.killAll()
		time.Sleep(time.Second)
	})
}

// expectTargets checks which targets the first keeper lists after the given time.
func (g *virtualGroup) expectTargets(after time.Duration, ids ...string) {
	time.Sleep(after)
	var listed []string
	for _, t := range g.keepers[0].watchers.Targets() {
		listed = append(listed, t.ID)
	}
	Expect(listed).To(Equal(ids))
}

// medianFirstView returns the median, over 15 seeds, of the time from the start of the last
// keeper until a watcher has a confirmed view.
func medianFirstView(t *testing.T, stopAll func(*virtualGroup)) time.Duration {
	t.Helper()
	var waits []time.Duration
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			g := newVirtualGroup(t, seed)
			stopAll(g)
			time.Sleep(500 * time.Millisecond)
			g.restartAll(time.Duration(seed%5) * 20 * time.Millisecond)
			since := time.Now()
			Expect(g.watchUntilConfirmed("e1").Version).To(BeEquivalentTo(1))
			waits = append(waits, time.Since(since))
			g.killAll()
			time.Sleep(4 * time.Second) // until writes on closed connections and handshakes have ended
		})
	}
	slices.Sort(waits)
	t.Log(waits)
	return waits[len(waits)/2]
}

// All processes die at the same moment. Callers who come back wait until keepers have a
// leader again and an entry has a confirmed view.
func TestFirstViewAfterRestartOfAllKeepers(t *testing.T) {
	NewWithT(t).Expect(medianFirstView(t, (*virtualGroup).killAll)).To(BeNumerically("<", 150*time.Millisecond))
}

// All machines lose power. One that starts before its peers waits for answers that don't
// come, also when the peers have started meanwhile.
func TestFirstViewAfterPowerLossOfAllKeepers(t *testing.T) {
	limit := muxer.DialTimeout + 150*time.Millisecond
	NewWithT(t).Expect(medianFirstView(t, (*virtualGroup).powerOffAll)).To(BeNumerically("<", limit))
}
