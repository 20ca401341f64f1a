package replicator

import (
	"bramleyshunt/messenger"
)

const chunkBytes = 1 << 20 // of snapshot data in one Install

// incomingSnapshot is a snapshot received in chunks.
type incomingSnapshot struct {
	index uint64
	term  uint64 // term of the leader that sends it
	data  []byte
}

// takeSnapshot records the state machine's snapshot and shortens the log. It retains
// Config.TrailingEntries entries, so that a follower that lags a little needs no snapshot.
func (r *Replicator) takeSnapshot(s *Snapshot) {
	if s == nil || s.Index <= r.snapshot.Index || s.Index > r.commitIndex {
		return
	}
	term, _ := r.log.term(s.Index)
	snap := Snapshot{Index: s.Index, Term: term, Members: r.snapshot.Members, Data: s.Data}
	if m, _ := r.log.members(s.Index); m != nil {
		snap.Members = *m
	}
	r.snapshot = snap
	r.out.Snapshot = &snap
	if s.Index > r.cfg.TrailingEntries {
		r.log.compact(min(s.Index-r.cfg.TrailingEntries, s.Index))
	}
}

// sendSnapshotChunk sends the chunk at the member's offset, and repeats it with each
// heartbeat until the member acknowledges it.
func (r *Replicator) sendSnapshotChunk(p *progress) {
	if p.snapshotIndex != r.snapshot.Index {
		p.snapshotIndex, p.snapshotOffset, p.sentAt = r.snapshot.Index, 0, never
	}
	if p.sentAt >= r.contactNeeded() {
		return
	}
	end := min(p.snapshotOffset+chunkBytes, len(r.snapshot.Data))
	r.send(p.member, &messenger.Install{
		Route: r.route(p.member, r.state.Term),
		Index: r.snapshot.Index, IndexTerm: r.snapshot.Term, Members: r.snapshot.Members,
		Offset: p.snapshotOffset, Total: len(r.snapshot.Data), Data: r.snapshot.Data[p.snapshotOffset:end], Stamp: r.now,
	})
	p.sentAt = r.now
}

func (r *Replicator) onInstall(m *messenger.Install) {
	if !r.acceptsLeader(&m.Route, true) || m.Term < r.state.Term {
		return
	}
	r.followLeader(&m.Route)
	if m.Index <= r.commitIndex || r.log.matches(m.Index, m.IndexTerm) {
		r.commitTo(m.Index)
		r.replyInstall(m, m.Total, true)
		return
	}
	in := &r.incoming
	if in.index != m.Index || in.term != m.Term {
		*in = incomingSnapshot{index: m.Index, term: m.Term}
	}
	if m.Offset == len(in.data) {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) < m.Total {
		r.replyInstall(m, len(in.data), false)
		return
	}
	r.installSnapshot(Snapshot{Index: m.Index, Term: m.IndexTerm, Members: m.Members, Data: in.data})
	r.replyInstall(m, m.Total, true)
}

// installSnapshot replaces the log, which is shorter than the snapshot or conflicts with it.
func (r *Replicator) installSnapshot(s Snapshot) {
	r.incoming = incomingSnapshot{}
	r.snapshot = s
	r.out.Install = &s
	r.out.Append = nil
	r.out.Apply = nil
	r.log = logTail{base: s.Index, baseTerm: s.Term}
	r.commitIndex = s.Index
	r.reloadMembers()
}

func (r *Replicator) replyInstall(m *messenger.Install, offset int, done bool) {
	r.sendAfterSync(m.From, &messenger.Installed{
		Route: r.route(m.From, r.state.Term), Index: m.Index, Offset: offset, Done: done, Stamp: m.Stamp,
	})
}

func (r *Replicator) onInstalled(m *messenger.Installed) {
	p := r.acknowledge(&m.Route, m.Stamp)
	if p == nil {
		return
	}
	if m.Done {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		if p.next > r.log.base {
			p.snapshotIndex = 0
		}
		r.advanceCommit()
		return
	}
	if m.Index == p.snapshotIndex && m.Offset != p.snapshotOffset && m.Offset <= len(r.snapshot.Data) {
		p.snapshotOffset, p.sentAt = m.Offset, never
	}
}
