package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	maxAppendBytes = 1 << 20 // of the entries' data in one Append
	maxInFlight    = 4096    // entries sent to a follower beyond the last acknowledged one
	never          = time.Duration(-1 << 62)
)

// progress is the replication state of one member, held by the leader.
type progress struct {
	member         messenger.Member
	next           uint64        // index of the next entry to send
	match          uint64        // log synced there and equal to the leader's up to this index
	contact        time.Duration // send time of the latest leader message that it acknowledged
	sentAt         time.Duration // time of the last message to it; never requests one
	sentCommit     uint64        // commit index in the last message to it
	snapshotOffset int           // bytes of the snapshot that it holds
	snapshotIndex  uint64        // index of the snapshot being sent; zero for none
}

// trackProgress creates the missing progress of members and updates their addresses.
func (r *Replicator) trackProgress() {
	for _, m := range r.allMembers() {
		if r.progress[m.Disk] == nil {
			r.progress[m.Disk] = &progress{next: r.log.lastIndex() + 1, contact: never, sentAt: never}
		}
		r.progress[m.Disk].member = m
	}
}

// appendEntry appends an entry in the leader's term. The leader counts it as held by itself
// only once its Appended to itself comes back after the sync.
func (r *Replicator) appendEntry(e messenger.Entry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.state.Term
	r.writeEntries([]messenger.Entry{e})
	return e.Index
}

func (r *Replicator) appendProposals(proposals []Proposal) {
	for _, p := range proposals {
		if r.role != Leader || r.transferring {
			r.out.Refused = append(r.out.Refused, p.ID)
			continue
		}
		i := r.appendEntry(messenger.Entry{Data: p.Data})
		r.out.Accepted = append(r.out.Accepted, Accepted{ID: p.ID, Index: i, Term: r.state.Term})
	}
}

// replicate sends entries, commit indexes, heartbeats and snapshot chunks that are due.
func (r *Replicator) replicate() {
	if r.role != Leader {
		return
	}
	if len(r.out.Append) > 0 {
		self := r.cfg.Self
		r.sendAfterSync(self, &messenger.Appended{Route: r.route(self, r.state.Term), Granted: true, Match: r.log.lastIndex(), Stamp: r.now})
	}
	for _, m := range r.allMembers() {
		p := r.progress[m.Disk]
		if m.Disk == r.cfg.Self.Disk {
			continue
		}
		if p.snapshotIndex != 0 || p.next <= r.log.base {
			r.sendSnapshotChunk(p)
			continue
		}
		r.sendEntries(p)
	}
}

func (r *Replicator) sendEntries(p *progress) {
	for p.next <= r.log.lastIndex() && p.next <= p.match+maxInFlight {
		r.sendAppend(p, r.log.batchAfter(p.next-1, maxAppendBytes))
	}
	if p.sentCommit < r.commitIndex || p.sentAt < r.contactNeeded() {
		r.sendAppend(p, nil)
	}
}

func (r *Replicator) sendAppend(p *progress, entries []messenger.Entry) {
	prev := p.next - 1
	term, _ := r.log.term(prev)
	r.send(p.member, &messenger.Append{
		Route: r.route(p.member, r.state.Term), Prev: prev, PrevTerm: term,
		Entries: entries, Commit: r.commitIndex, Stamp: r.now,
	})
	p.next += uint64(len(entries))
	p.sentAt, p.sentCommit = r.now, r.commitIndex
}

// requestHeartbeats makes replicate send a message to every member that got none at this
// time.
func (r *Replicator) requestHeartbeats() {
	for _, m := range r.allMembers() {
		if p := r.progress[m.Disk]; p.sentAt < r.now {
			p.sentAt = never
		}
	}
}

func (r *Replicator) onAppend(m *messenger.Append) {
	if !r.acceptsLeader(&m.Route, m.Commit > 0) {
		return
	}
	if m.Term < r.state.Term {
		r.replyAppend(m, false, 0, 0)
		return
	}
	r.followLeader(&m.Route)
	if m.Prev > r.log.lastIndex() {
		r.replyAppend(m, false, 0, r.log.lastIndex())
		return
	}
	if m.Prev > r.commitIndex && !r.log.matches(m.Prev, m.PrevTerm) {
		r.replyAppend(m, false, 0, max(r.commitIndex, r.log.lastBeforeTermOf(m.Prev)))
		return
	}
	r.appendMissing(m.Entries)
	match := m.Prev + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, match))
	r.replyAppend(m, true, match, 0)
}

// appendMissing writes the entries that the log lacks. Committed ones are known to be equal.
func (r *Replicator) appendMissing(entries []messenger.Entry) {
	for i, e := range entries {
		if e.Index > r.commitIndex && !r.log.matches(e.Index, e.Term) {
			r.writeEntries(slices.Clone(entries[i:]))
			return
		}
	}
}

func (r *Replicator) replyAppend(m *messenger.Append, granted bool, match, hint uint64) {
	r.sendAfterSync(m.From, &messenger.Appended{
		Route: r.route(m.From, r.state.Term), Granted: granted,
		Prev: m.Prev, Match: match, Hint: hint, Stamp: m.Stamp,
	})
}

func (r *Replicator) onAppended(m *messenger.Appended) {
	p := r.acknowledge(&m.Route, m.Stamp)
	if p == nil {
		return
	}
	if !m.Granted {
		if m.Prev > p.match {
			p.next = max(p.match+1, min(m.Hint+1, m.Prev))
			p.sentAt = never
		}
		return
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
}

// acknowledge records that a member answered a message that this leader sent at stamp, and
// returns the member's progress. It returns nil if the answer is irrelevant. An answer of a
// newer term ends the leadership.
func (r *Replicator) acknowledge(m *messenger.Route, stamp time.Duration) *progress {
	if !r.addressedHere(m) {
		return nil
	}
	if m.Term > r.state.Term {
		r.stepDown(m.Term)
		return nil
	}
	if r.role != Leader || m.Term < r.state.Term {
		return nil
	}
	p := r.progress[m.From.Disk]
	if p == nil {
		return nil
	}
	p.contact = max(p.contact, stamp)
	r.completeReads()
	return p
}

// advanceCommit commits the entries that a quorum of voters has synced. Entries of earlier
// terms are committed only together with one of the current term.
func (r *Replicator) advanceCommit() {
	matches := make([]uint64, 0, len(r.members.Voters))
	for _, m := range r.members.Voters {
		matches = append(matches, r.progress[m.Disk].match)
	}
	slices.Sort(matches)
	i := matches[len(matches)-r.quorum()]
	if i > r.commitIndex && r.log.matches(i, r.state.Term) {
		r.commitTo(i)
		r.completeReads()
	}
}
