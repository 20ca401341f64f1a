package replicator

import (
	"time"

	"bramleyshunt/messenger"
)

const expiryTimeouts = 3 // election timeouts that a read barrier waits for a leader

// read is a barrier that the leader must confirm by a round of heartbeats.
type read struct {
	id    uint64
	from  messenger.Member
	nonce uint64
	index uint64
	at    time.Duration
}

// asker holds the barriers of this process.
type asker struct {
	nonce uint64 // tells answers to this process from those to an earlier one
	waits []wait
	sent  time.Duration // last time the leader was asked
	asked uint64        // number in that question
}

type wait struct {
	id uint64
	at time.Duration
}

// ask starts a read barrier.
func (r *Replicator) ask(id uint64) {
	if id == 0 {
		return
	}
	r.asker.waits = append(r.asker.waits, wait{id: id, at: r.now})
	if r.asker.asked == 0 {
		r.question()
	}
}

// question asks the leader for an index that covers all barriers so far.
func (r *Replicator) question() {
	n := len(r.asker.waits)
	if n == 0 || r.leader.Disk == 0 {
		r.asker.asked = 0
		return
	}
	id := r.asker.waits[n-1].id
	r.asker.asked, r.asker.sent = id, r.now
	if r.role == Leader {
		r.barrier(read{id: id, from: r.cfg.Self, nonce: r.asker.nonce})
		return
	}
	r.send(r.leader, &messenger.Confirm{Route: r.route(r.leader, r.state.Term), Nonce: r.asker.nonce, ID: id})
}

// expire asks again, and gives up the barriers that no leader answers.
func (r *Replicator) expire() {
	w := r.asker.waits
	for len(w) > 0 && r.now >= w[0].at+expiryTimeouts*r.cfg.Election {
		r.out.Reads = append(r.out.Reads, Read{ID: w[0].id})
		w = w[1:]
	}
	r.asker.waits = w
	if len(w) > 0 && (r.asker.asked == 0 || r.now >= r.asker.sent+r.cfg.Heartbeat) {
		r.question()
	}
}

func (r *Replicator) onConfirm(m *messenger.Confirm) {
	if r.ours(&m.Route) && r.role == Leader {
		r.barrier(read{id: m.ID, from: m.From, nonce: m.Nonce})
	}
}

// barrier notes what is committed now; entries of earlier terms are known to be
// only once the first entry of this term is.
func (r *Replicator) barrier(b read) {
	b.index = max(r.commit, r.first)
	b.at = r.now
	r.reads = append(r.reads, b)
	r.settle()
}

// wanted returns the latest time at which a barrier needs to be confirmed, and
// the least time otherwise.
func (r *Replicator) wanted() time.Duration {
	at := never + 1
	if n := len(r.reads); n > 0 {
		at = max(at, r.reads[n-1].at)
	}
	return at
}

// settle answers the barriers that a quorum has confirmed.
func (r *Replicator) settle() {
	at := r.confirmed()
	for len(r.reads) > 0 && r.reads[0].at <= at && r.reads[0].index <= r.commit {
		b := r.reads[0]
		r.reads = r.reads[1:]
		if b.from.Disk == r.cfg.Self.Disk {
			r.release(b.id, b.index)
			continue
		}
		r.send(b.from, &messenger.Confirmed{Route: r.route(b.from, r.state.Term), Nonce: b.nonce, ID: b.id, Index: b.index})
	}
}

// drop gives up what others asked of a leadership that ended.
func (r *Replicator) drop() {
	r.reads = nil
	r.asker.asked = 0
}

func (r *Replicator) onConfirmed(m *messenger.Confirmed) {
	if r.ours(&m.Route) && m.Nonce == r.asker.nonce {
		r.release(m.ID, m.Index)
	}
}

// release ends the barriers up to a number.
func (r *Replicator) release(id, index uint64) {
	w := r.asker.waits
	for len(w) > 0 && w[0].id <= id {
		r.out.Reads = append(r.out.Reads, Read{ID: w[0].id, Index: index, OK: true})
		w = w[1:]
	}
	r.asker.waits = w
	if id >= r.asker.asked {
		r.question()
	}
}
