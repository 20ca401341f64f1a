package replicator_test

import (
	"encoding/binary"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

// store is what a disk holds.
type store struct {
	state   replicator.State
	snap    replicator.Snapshot
	entries []messenger.Entry // after the snapshot
}

func (s *store) last() uint64 { return s.snap.Index + uint64(len(s.entries)) }

func (s store) clone() store {
	s.entries = slices.Clone(s.entries)
	return s
}

func (s *store) put(entries []messenger.Entry) {
	s.entries = append(s.entries[:entries[0].Index-s.snap.Index-1], entries...)
}

func (s *store) compact(snap replicator.Snapshot) {
	s.entries = slices.Clone(s.entries[snap.Index-s.snap.Index:])
	s.snap = snap
}

// node is one replica with its disk and state machine, the test's shell.
type node struct {
	w      *world
	at     int
	name   string
	disk   uint64
	rep    *replicator.Replicator // nil while killed
	frozen bool
	lag    time.Duration // of its clock
	drawer []spare       // disks that were taken out
	joins  bool          // never founds
	gone   bool          // for good

	synced  store // survives a kill
	written store // what the process sees
	after   []replicator.Send
	apply   []messenger.Entry
	own     []any
	pending map[uint64]uint64 // index: term of accepted proposals

	applied uint64
	hash    uint64
}

// spare is a disk in a drawer.
type spare struct {
	disk  uint64
	store store
}

// swap puts a disk back that was taken out before.
func (n *node) swap(i int) {
	n.kill()
	old := n.drawer[i%len(n.drawer)]
	n.drawer[i%len(n.drawer)] = spare{disk: n.disk, store: n.synced}
	n.disk, n.synced = old.disk, old.store
}

// wipe puts an empty disk into the node.
func (n *node) wipe() {
	n.kill()
	if n.disk != 0 {
		n.drawer = append(n.drawer, spare{disk: n.disk, store: n.synced})
	}
	n.w.lost = n.at
	n.w.disks++
	n.disk = n.w.disks<<8 | uint64(n.at)
	n.synced = store{}
}

func (n *node) start() {
	known := n.w.nodes
	if n.w.seeds > 0 {
		known = n.w.present()[:n.w.seeds] // settings are written anew for each start
	}
	peers := make([]messenger.Member, 0, len(known))
	for _, o := range known {
		peers = append(peers, messenger.Member{Node: o.name, Address: o.name})
	}
	n.written = n.synced.clone()
	saved := n.synced.clone()
	n.rep = replicator.New(n.w.now-n.lag, replicator.Config{
		Self:  messenger.Member{Node: n.name, Address: n.name, Disk: n.disk},
		Peers: peers, Heartbeat: n.w.beat, Election: n.w.timeout, Seed: n.w.rng.Uint64(), Trail: 4,
		Grow: n.w.seeds > 0, Join: n.joins,
	}, replicator.Saved{State: saved.state, Snapshot: saved.snap, Entries: saved.entries})
	n.restore(saved.snap)
}

// kill loses what was not synced, or keeps some of the first writes of it.
func (n *node) kill() {
	if n.rep != nil && n.written.snap.Index == n.synced.snap.Index {
		n.tear()
	}
	n.rep, n.frozen = nil, false
	n.after, n.apply, n.own, n.pending = nil, nil, nil, nil
}

func (n *node) tear() {
	if n.w.chance(500) {
		return
	}
	n.synced.state = n.written.state
	same := 0
	for same < min(len(n.synced.entries), len(n.written.entries)) && n.synced.entries[same].Term == n.written.entries[same].Term {
		same++
	}
	if more := len(n.written.entries) - same; more > 0 {
		n.synced.entries = slices.Clone(n.written.entries[:same+n.w.rng.IntN(more+1)])
	}
}

func (n *node) step(ev replicator.Event) {
	if n.rep == nil || n.frozen {
		return
	}
	act := n.rep.Step(n.w.now-n.lag, ev)
	n.w.send(n, act.Send)
	if act.Install != nil {
		n.sync()
	}
	if act.State != nil {
		n.written.state = *act.State
	}
	if act.Install != nil {
		n.written.snap, n.written.entries = *act.Install, nil
		n.restore(*act.Install)
	}
	if len(act.Append) > 0 {
		n.written.put(act.Append)
	}
	if act.Snapshot != nil {
		n.written.compact(*act.Snapshot)
	}
	n.after = append(n.after, act.After...)
	n.apply = append(n.apply, act.Apply...)
	n.inform(&act)
	if act.Install != nil {
		n.sync()
	}
}

func (n *node) inform(act *replicator.Actions) {
	for _, a := range act.Accepted {
		if n.pending == nil {
			n.pending = map[uint64]uint64{}
		}
		n.pending[a.Index] = a.Term
	}
	if act.Lost {
		n.pending = nil
	}
	for _, r := range act.Reads {
		if !r.OK {
			continue
		}
		n.w.read++
		if r.Index < n.w.asked[r.ID] {
			n.w.fail("read barrier at index %d, but %d had been accepted", r.Index, n.w.asked[r.ID])
		}
	}
}

// settle syncs and takes messages to itself, unless the disk is slow now.
func (n *node) settle() {
	if n.rep == nil || n.frozen || n.w.chance(n.w.faults.unsynced) {
		return
	}
	if n.w.chance(n.w.faults.crash) {
		n.kill()
		n.start()
		return
	}
	n.sync()
	for len(n.own) > 0 {
		own := n.own
		n.own = nil
		for _, m := range own {
			n.step(replicator.Event{Message: m})
		}
		n.sync()
	}
}

func (n *node) sync() {
	n.synced = n.written.clone()
	after := n.after
	n.after = nil
	n.w.send(n, after)
	for i := range n.apply {
		n.applyOne(&n.apply[i])
	}
	n.apply = nil
}

func (n *node) applyOne(e *messenger.Entry) {
	if e.Index != n.applied+1 {
		n.w.fail("%s applies %d after %d", n.name, e.Index, n.applied)
	}
	n.applied, n.hash = e.Index, mix(n.hash, e)
	n.compare()
	if t, ok := n.pending[e.Index]; ok && t == e.Term {
		n.w.acked = max(n.w.acked, e.Index)
	}
}

// compare holds what was applied here against what was applied anywhere.
func (n *node) compare() {
	group := n.written.state.Group
	n.w.groups[group] = true
	if len(n.w.groups) > 1 {
		n.w.fail("a second group was founded")
	}
	key := [2]uint64{group, n.applied}
	if h, ok := n.w.history[key]; ok && h != n.hash {
		n.w.fail("%s applied another entry at %d than was applied before", n.name, n.applied)
	}
	n.w.history[key] = n.hash
}

func (n *node) restore(s replicator.Snapshot) {
	n.applied, n.hash = s.Index, 0
	if s.Index > 0 {
		n.hash = binary.BigEndian.Uint64(s.Data)
		n.compare()
	}
}

func (n *node) propose() {
	n.w.next++
	data := binary.BigEndian.AppendUint64(nil, n.w.next)
	n.step(replicator.Event{Proposals: []replicator.Proposal{{ID: n.w.next, Data: data}}})
}

func (n *node) confirm() {
	n.w.next++
	n.w.asked[n.w.next] = n.w.acked
	n.step(replicator.Event{Confirm: n.w.next})
}

func (n *node) compact() {
	data := binary.BigEndian.AppendUint64(nil, n.hash)
	n.step(replicator.Event{Compact: &replicator.Snapshot{Index: n.applied, Data: data}})
}
