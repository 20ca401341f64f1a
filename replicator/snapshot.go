package replicator

import (
	"bramleyshunt/messenger"
)

const partBytes = 1 << 20 // of a snapshot in one Install

// incoming is a snapshot that arrives in parts.
type incoming struct {
	index uint64
	term  uint64 // of the leader that sends it
	data  []byte
}

// compact takes the state machine's snapshot and shortens the log. Some entries
// stay, so that a follower a little behind needs no snapshot.
func (r *Replicator) compact(s *Snapshot) {
	if s == nil || s.Index <= r.snapshot.Index || s.Index > r.commit {
		return
	}
	term, _ := r.log.term(s.Index)
	snap := Snapshot{Index: s.Index, Term: term, Members: r.snapshot.Members, Data: s.Data}
	if m, _ := r.log.members(s.Index); m != nil {
		snap.Members = *m
	}
	r.snapshot = snap
	r.out.Snapshot = &snap
	if s.Index > r.cfg.Trail {
		r.log.compact(min(s.Index-r.cfg.Trail, s.Index))
	}
}

// sendPart sends the next part of the snapshot, again with each heartbeat.
func (r *Replicator) sendPart(p *progress) {
	if p.index != r.snapshot.Index {
		p.index, p.part, p.sent = r.snapshot.Index, 0, never
	}
	if p.sent >= r.wanted() {
		return
	}
	end := min(p.part+partBytes, len(r.snapshot.Data))
	r.send(p.member, &messenger.Install{
		Route: r.route(p.member, r.state.Term),
		Index: r.snapshot.Index, IndexTerm: r.snapshot.Term, Members: r.snapshot.Members,
		Offset: p.part, Total: len(r.snapshot.Data), Data: r.snapshot.Data[p.part:end], Stamp: r.now,
	})
	p.sent = r.now
}

func (r *Replicator) onInstall(m *messenger.Install) {
	if !r.joins(&m.Route, true) || m.Term < r.state.Term {
		return
	}
	r.followLeader(&m.Route)
	if m.Index <= r.commit || r.log.has(m.Index, m.IndexTerm) {
		r.commitTo(m.Index)
		r.installed(m, m.Total, true)
		return
	}
	in := &r.incoming
	if in.index != m.Index || in.term != m.Term {
		*in = incoming{index: m.Index, term: m.Term}
	}
	if m.Offset == len(in.data) {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) < m.Total {
		r.installed(m, len(in.data), false)
		return
	}
	r.replace(Snapshot{Index: m.Index, Term: m.IndexTerm, Members: m.Members, Data: in.data})
	r.installed(m, m.Total, true)
}

// replace puts a snapshot in the place of the log, which disagrees with it or is shorter.
func (r *Replicator) replace(s Snapshot) {
	r.incoming = incoming{}
	r.snapshot = s
	r.out.Install = &s
	r.out.Append = nil
	r.out.Apply = nil
	r.log = record{base: s.Index, baseTerm: s.Term}
	r.commit = s.Index
	r.reload()
}

func (r *Replicator) installed(m *messenger.Install, offset int, done bool) {
	r.after(m.From, &messenger.Installed{
		Route: r.route(m.From, r.state.Term), Index: m.Index, Offset: offset, Done: done, Stamp: m.Stamp,
	})
}

func (r *Replicator) onInstalled(m *messenger.Installed) {
	p := r.answered(&m.Route, m.Stamp)
	if p == nil {
		return
	}
	if m.Done {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		if p.next > r.log.base {
			p.index = 0
		}
		r.advance()
		return
	}
	if m.Index == p.index && m.Offset != p.part && m.Offset <= len(r.snapshot.Data) {
		p.part, p.sent = m.Offset, never
	}
}
