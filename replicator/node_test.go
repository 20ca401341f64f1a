package replicator_test

import (
	"encoding/binary"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

// store is the content of a disk.
type store struct {
	state   replicator.HardState
	snap    replicator.Snapshot
	entries []messenger.Entry // entries after the snapshot
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

// node simulates the process, the disk and the state machine around one replica.
type node struct {
	c            *cluster
	index        int
	name         string
	disk         uint64
	rep          *replicator.Replicator // nil while killed
	frozen       bool
	clockLag     time.Duration // how far its clock is behind the cluster's
	removedDisks []removedDisk // disks that were taken out and may be put back
	joins        bool          // starts with Config.Join
	removed      bool          // permanently

	synced        store // content of the disk that survives a kill
	written       store // content of the disk as the process sees it
	sendAfterSync []replicator.Send
	toApply       []messenger.Entry
	toSelf        []any
	pending       map[uint64]uint64 // terms of accepted proposals, by index

	applied uint64
	hash    uint64
}

// removedDisk is a disk that was taken out of a node.
type removedDisk struct {
	disk  uint64
	store store
}

// swapDisk puts back a disk that was taken out before.
func (n *node) swapDisk(i int) {
	n.kill()
	other := n.removedDisks[i%len(n.removedDisks)]
	n.removedDisks[i%len(n.removedDisks)] = removedDisk{disk: n.disk, store: n.synced}
	n.disk, n.synced = other.disk, other.store
}

// replaceDisk puts an empty disk into the node.
func (n *node) replaceDisk() {
	n.kill()
	if n.disk != 0 {
		n.removedDisks = append(n.removedDisks, removedDisk{disk: n.disk, store: n.synced})
	}
	n.c.lastWiped = n.index
	n.c.disks++
	n.disk = n.c.disks<<8 | uint64(n.index)
	n.synced = store{}
}

func (n *node) start() {
	seeds := n.c.nodes
	if n.c.seeds > 0 {
		seeds = n.c.remaining()[:n.c.seeds] // every start gets newly written settings
	}
	peers := make([]messenger.Member, 0, len(seeds))
	for _, o := range seeds {
		peers = append(peers, messenger.Member{Node: o.name, Address: o.name})
	}
	n.written = n.synced.clone()
	saved := n.synced.clone()
	n.rep = replicator.New(n.c.now-n.clockLag, replicator.Config{
		Self:  messenger.Member{Node: n.name, Address: n.name, Disk: n.disk},
		Peers: peers, HeartbeatInterval: n.c.heartbeat, ElectionTimeout: n.c.electionTimeout, Seed: n.c.rng.Uint64(), TrailingEntries: 4,
		Grow: n.c.seeds > 0, Join: n.joins,
	}, replicator.Saved{State: saved.state, Snapshot: saved.snap, Entries: saved.entries})
	n.restore(saved.snap)
}

// kill discards what was not synced, except possibly a leading part of it.
func (n *node) kill() {
	if n.rep != nil && n.written.snap.Index == n.synced.snap.Index {
		n.keepPartOfUnsynced()
	}
	n.rep, n.frozen = nil, false
	n.sendAfterSync, n.toApply, n.toSelf, n.pending = nil, nil, nil, nil
}

func (n *node) keepPartOfUnsynced() {
	if n.c.chance(500) {
		return
	}
	n.synced.state = n.written.state
	common := 0
	for common < min(len(n.synced.entries), len(n.written.entries)) && n.synced.entries[common].Term == n.written.entries[common].Term {
		common++
	}
	if more := len(n.written.entries) - common; more > 0 {
		n.synced.entries = slices.Clone(n.written.entries[:common+n.c.rng.IntN(more+1)])
	}
}

func (n *node) step(ev replicator.Event) {
	if n.rep == nil || n.frozen {
		return
	}
	actions := n.rep.Step(n.c.now-n.clockLag, ev)
	n.c.send(n, actions.Send)
	if actions.Install != nil {
		n.sync()
	}
	if actions.State != nil {
		n.written.state = *actions.State
	}
	if actions.Install != nil {
		n.written.snap, n.written.entries = *actions.Install, nil
		n.restore(*actions.Install)
	}
	if len(actions.Append) > 0 {
		n.written.put(actions.Append)
	}
	if actions.Snapshot != nil {
		n.written.compact(*actions.Snapshot)
	}
	n.sendAfterSync = append(n.sendAfterSync, actions.SendAfterSync...)
	n.toApply = append(n.toApply, actions.Apply...)
	n.recordOutcomes(&actions)
	if actions.Install != nil {
		n.sync()
	}
}

func (n *node) recordOutcomes(actions *replicator.Actions) {
	for _, a := range actions.Accepted {
		if n.pending == nil {
			n.pending = map[uint64]uint64{}
		}
		n.pending[a.Index] = a.Term
	}
	if actions.LeadershipLost {
		n.pending = nil
	}
	for _, r := range actions.Reads {
		if !r.OK {
			continue
		}
		n.c.readsDone++
		if r.Index < n.c.ackedAtStart[r.ID] {
			n.c.fail("read barrier completed at index %d, below the accepted index %d", r.Index, n.c.ackedAtStart[r.ID])
		}
	}
}

// syncAndHandleOwn syncs and handles the node's messages to itself, unless a fault prevents
// the sync.
func (n *node) syncAndHandleOwn() {
	if n.rep == nil || n.frozen || n.c.chance(n.c.faults.skipSync) {
		return
	}
	if n.c.chance(n.c.faults.crash) {
		n.kill()
		n.start()
		return
	}
	n.sync()
	for len(n.toSelf) > 0 {
		messages := n.toSelf
		n.toSelf = nil
		for _, m := range messages {
			n.step(replicator.Event{Message: m})
		}
		n.sync()
	}
}

func (n *node) sync() {
	n.synced = n.written.clone()
	sends := n.sendAfterSync
	n.sendAfterSync = nil
	n.c.send(n, sends)
	for i := range n.toApply {
		n.applyOne(&n.toApply[i])
	}
	n.toApply = nil
}

func (n *node) applyOne(e *messenger.Entry) {
	if e.Index != n.applied+1 {
		n.c.fail("%s applies entry %d after entry %d", n.name, e.Index, n.applied)
	}
	n.applied, n.hash = e.Index, hashEntry(n.hash, e)
	n.checkHistory()
	if t, ok := n.pending[e.Index]; ok && t == e.Term {
		n.c.maxAcked = max(n.c.maxAcked, e.Index)
	}
}

// checkHistory checks that every node has applied the same entries, in one group.
func (n *node) checkHistory() {
	group := n.written.state.Group
	n.c.groups[group] = true
	if len(n.c.groups) > 1 {
		n.c.fail("a second group was founded")
	}
	key := [2]uint64{group, n.applied}
	if h, ok := n.c.history[key]; ok && h != n.hash {
		n.c.fail("%s applied a different entry at %d than another node", n.name, n.applied)
	}
	n.c.history[key] = n.hash
}

func (n *node) restore(s replicator.Snapshot) {
	n.applied, n.hash = s.Index, 0
	if s.Index > 0 {
		n.hash = binary.BigEndian.Uint64(s.Data)
		n.checkHistory()
	}
}

func (n *node) propose() {
	n.c.nextID++
	data := binary.BigEndian.AppendUint64(nil, n.c.nextID)
	n.step(replicator.Event{Proposals: []replicator.Proposal{{ID: n.c.nextID, Data: data}}})
}

func (n *node) startRead() {
	n.c.nextID++
	n.c.ackedAtStart[n.c.nextID] = n.c.maxAcked
	n.step(replicator.Event{ReadBarrier: n.c.nextID})
}

func (n *node) takeSnapshot() {
	data := binary.BigEndian.AppendUint64(nil, n.hash)
	n.step(replicator.Event{Compact: &replicator.Snapshot{Index: n.applied, Data: data}})
}
