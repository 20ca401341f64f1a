package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	batchBytes  = 1 << 20 // of the entries of one Append
	windowCount = 4096    // entries sent to a follower ahead of its answers
	never       = time.Duration(-1 << 62)
)

// progress is what the leader knows of one member.
type progress struct {
	member messenger.Member
	next   uint64        // index to send next
	match  uint64        // synced there and equal to this log up to here
	stamp  time.Duration // latest of the leader's times it has answered
	sent   time.Duration // time of the last message to it
	told   uint64        // commit index of the last message to it
	part   int           // bytes of the snapshot it has
	index  uint64        // of the snapshot being sent; zero for none
}

// track keeps a progress for each member.
func (r *Replicator) track() {
	for _, m := range r.everyone() {
		if r.peers[m.Disk] == nil {
			r.peers[m.Disk] = &progress{next: r.log.last() + 1, stamp: never, sent: never}
		}
		r.peers[m.Disk].member = m
	}
}

// add appends an entry of the leader's own. The leader counts it as held only
// when its answer to itself comes back after the sync.
func (r *Replicator) add(e messenger.Entry) uint64 {
	e.Index, e.Term = r.log.last()+1, r.state.Term
	r.write([]messenger.Entry{e})
	return e.Index
}

func (r *Replicator) propose(proposals []Proposal) {
	for _, p := range proposals {
		if r.role != Leader || r.retired {
			r.out.Refused = append(r.out.Refused, p.ID)
			continue
		}
		i := r.add(messenger.Entry{Data: p.Data})
		r.out.Accepted = append(r.out.Accepted, Accepted{ID: p.ID, Index: i, Term: r.state.Term})
	}
}

// flush sends what the members lack and what they must hear now.
func (r *Replicator) flush() {
	if r.role != Leader {
		return
	}
	if len(r.out.Append) > 0 {
		self := r.cfg.Self
		r.after(self, &messenger.Appended{Route: r.route(self, r.state.Term), Granted: true, Match: r.log.last(), Stamp: r.now})
	}
	for _, m := range r.everyone() {
		p := r.peers[m.Disk]
		if m.Disk == r.cfg.Self.Disk {
			continue
		}
		if p.index != 0 || p.next <= r.log.base {
			r.sendPart(p)
			continue
		}
		r.sendEntries(p)
	}
}

func (r *Replicator) sendEntries(p *progress) {
	for p.next <= r.log.last() && p.next <= p.match+windowCount {
		r.sendAppend(p, r.log.from(p.next-1, batchBytes))
	}
	if p.told < r.commit || p.sent < r.wanted() {
		r.sendAppend(p, nil)
	}
}

func (r *Replicator) sendAppend(p *progress, entries []messenger.Entry) {
	prev := p.next - 1
	term, _ := r.log.term(prev)
	r.send(p.member, &messenger.Append{
		Route: r.route(p.member, r.state.Term), Prev: prev, PrevTerm: term,
		Entries: entries, Commit: r.commit, Stamp: r.now,
	})
	p.next += uint64(len(entries))
	p.sent, p.told = r.now, r.commit
}

// heartbeatAll has every member hear the leader now.
func (r *Replicator) heartbeatAll() {
	for _, m := range r.everyone() {
		if p := r.peers[m.Disk]; p.sent < r.now {
			p.sent = never
		}
	}
}

func (r *Replicator) onAppend(m *messenger.Append) {
	if !r.joins(&m.Route, m.Commit > 0) {
		return
	}
	if m.Term < r.state.Term {
		r.answer(m, false, 0, 0)
		return
	}
	r.followLeader(&m.Route)
	if m.Prev > r.log.last() {
		r.answer(m, false, 0, r.log.last())
		return
	}
	if m.Prev > r.commit && !r.log.has(m.Prev, m.PrevTerm) {
		r.answer(m, false, 0, max(r.commit, r.log.hint(m.Prev)))
		return
	}
	r.accept(m.Entries)
	match := m.Prev + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, match))
	r.answer(m, true, match, 0)
}

// accept writes the entries that the log lacks. Committed ones are equal already.
func (r *Replicator) accept(entries []messenger.Entry) {
	for i, e := range entries {
		if e.Index > r.commit && !r.log.has(e.Index, e.Term) {
			r.write(slices.Clone(entries[i:]))
			return
		}
	}
}

func (r *Replicator) answer(m *messenger.Append, granted bool, match, hint uint64) {
	r.after(m.From, &messenger.Appended{
		Route: r.route(m.From, r.state.Term), Granted: granted,
		Prev: m.Prev, Match: match, Hint: hint, Stamp: m.Stamp,
	})
}

func (r *Replicator) onAppended(m *messenger.Appended) {
	p := r.answered(&m.Route, m.Stamp)
	if p == nil {
		return
	}
	if !m.Granted {
		if m.Prev > p.match {
			p.next = max(p.match+1, min(m.Hint+1, m.Prev))
			p.sent = never
		}
		return
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	r.advance()
}

// answered returns the progress of a member that answered this leadership, and
// nil if the message is of no use. An answer of a newer term ends the leadership.
func (r *Replicator) answered(m *messenger.Route, stamp time.Duration) *progress {
	if !r.ours(m) {
		return nil
	}
	if m.Term > r.state.Term {
		r.stepDown(m.Term)
		return nil
	}
	if r.role != Leader || m.Term < r.state.Term {
		return nil
	}
	p := r.peers[m.From.Disk]
	if p == nil {
		return nil
	}
	p.stamp = max(p.stamp, stamp)
	r.settle()
	return p
}

// advance commits what a quorum of voters has synced. Entries of earlier terms
// are committed only under one of this term.
func (r *Replicator) advance() {
	held := make([]uint64, 0, len(r.members.Voters))
	for _, m := range r.members.Voters {
		held = append(held, r.peers[m.Disk].match)
	}
	slices.Sort(held)
	i := held[len(held)-r.quorum()]
	if i > r.commit && r.log.has(i, r.state.Term) {
		r.commitTo(i)
		r.settle()
	}
}
