package replicator

import (
	"time"

	"bramleyshunt/messenger"
)

const readTimeouts = 3 // election timeouts until an unanswered read barrier fails

// pendingRead is a read barrier that the leader has to confirm by a round of heartbeats.
type pendingRead struct {
	id         uint64
	from       messenger.Member
	nonce      uint64
	index      uint64
	receivedAt time.Duration
}

// readQueue holds the read barriers that this process started.
type readQueue struct {
	nonce       uint64 // distinguishes answers to this process from those to an earlier one
	waiting     []waitingRead
	requestedAt time.Duration // time of the last request to the leader
	requestedID uint64        // highest barrier covered by that request; zero for none
}

type waitingRead struct {
	id        uint64
	startedAt time.Duration
}

// startRead queues a read barrier.
func (r *Replicator) startRead(id uint64) {
	if id == 0 {
		return
	}
	r.readQueue.waiting = append(r.readQueue.waiting, waitingRead{id: id, startedAt: r.now})
	if r.readQueue.requestedID == 0 {
		r.requestReadIndex()
	}
}

// requestReadIndex requests an index from the leader that covers all queued barriers.
func (r *Replicator) requestReadIndex() {
	n := len(r.readQueue.waiting)
	if n == 0 || r.leader.Disk == 0 {
		r.readQueue.requestedID = 0
		return
	}
	id := r.readQueue.waiting[n-1].id
	r.readQueue.requestedID, r.readQueue.requestedAt = id, r.now
	if r.role == Leader {
		r.addRead(pendingRead{id: id, from: r.cfg.Self, nonce: r.readQueue.nonce})
		return
	}
	r.send(r.leader, &messenger.Confirm{Route: r.route(r.leader, r.state.Term), Nonce: r.readQueue.nonce, ID: id})
}

// expireReads fails the barriers that timed out, and repeats the request for the others.
func (r *Replicator) expireReads() {
	waiting := r.readQueue.waiting
	for len(waiting) > 0 && r.now >= waiting[0].startedAt+readTimeouts*r.cfg.ElectionTimeout {
		r.out.Reads = append(r.out.Reads, Read{ID: waiting[0].id})
		waiting = waiting[1:]
	}
	r.readQueue.waiting = waiting
	if len(waiting) > 0 && (r.readQueue.requestedID == 0 || r.now >= r.readQueue.requestedAt+r.cfg.HeartbeatInterval) {
		r.requestReadIndex()
	}
}

func (r *Replicator) onConfirm(m *messenger.Confirm) {
	if r.addressedHere(&m.Route) && r.role == Leader {
		r.addRead(pendingRead{id: m.ID, from: m.From, nonce: m.Nonce})
	}
}

// addRead records a barrier at the commit index. Until the first entry of this term is
// committed, entries of earlier terms may be committed without this leader knowing, so
// the barrier's index is at least that entry's.
func (r *Replicator) addRead(b pendingRead) {
	b.index = max(r.commitIndex, r.termStart)
	b.receivedAt = r.now
	r.pendingReads = append(r.pendingReads, b)
	r.completeReads()
}

// contactNeeded returns the time since which every member must have been sent a message:
// the arrival of the newest pending read. Without one it is just above never, so that
// only members whose sentAt was set to never get a message.
func (r *Replicator) contactNeeded() time.Duration {
	at := never + 1
	if n := len(r.pendingReads); n > 0 {
		at = max(at, r.pendingReads[n-1].receivedAt)
	}
	return at
}

// completeReads answers the pending reads that a quorum has confirmed.
func (r *Replicator) completeReads() {
	contact := r.quorumContact()
	for len(r.pendingReads) > 0 && r.pendingReads[0].receivedAt <= contact && r.pendingReads[0].index <= r.commitIndex {
		b := r.pendingReads[0]
		r.pendingReads = r.pendingReads[1:]
		if b.from.Disk == r.cfg.Self.Disk {
			r.finishReads(b.id, b.index)
			continue
		}
		r.send(b.from, &messenger.Confirmed{Route: r.route(b.from, r.state.Term), Nonce: b.nonce, ID: b.id, Index: b.index})
	}
}

// dropReads drops the reads of other replicas when the leadership ends, and makes this
// replica repeat its own request.
func (r *Replicator) dropReads() {
	r.pendingReads = nil
	r.readQueue.requestedID = 0
}

func (r *Replicator) onConfirmed(m *messenger.Confirmed) {
	if r.addressedHere(&m.Route) && m.Nonce == r.readQueue.nonce {
		r.finishReads(m.ID, m.Index)
	}
}

// finishReads completes the barriers of this process up to id.
func (r *Replicator) finishReads(id, index uint64) {
	waiting := r.readQueue.waiting
	for len(waiting) > 0 && waiting[0].id <= id {
		r.out.Reads = append(r.out.Reads, Read{ID: waiting[0].id, Index: index, OK: true})
		waiting = waiting[1:]
	}
	r.readQueue.waiting = waiting
	if id >= r.readQueue.requestedID {
		r.requestReadIndex()
	}
}
