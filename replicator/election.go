package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// retryParts of an election timeout pass at least between two candidacies.
const retryParts = 4

// rest draws the next election timeout.
func (r *Replicator) rest() { r.wait(r.cfg.Election) }

// wait draws an election timeout that lasts at least so long.
func (r *Replicator) wait(least time.Duration) {
	r.deadline = r.now + least + time.Duration(r.rng.Int64N(int64(r.cfg.Election)))
}

// follow starts an election when no leader was heard for the election timeout.
// It probes as well: the member set it knows may be an old one, in which nobody
// reaches the leader.
func (r *Replicator) follow() {
	if r.founding() {
		r.probe()
	}
	if r.now < r.deadline {
		return
	}
	r.probe()
	if r.voter(r.cfg.Self.Disk) {
		r.campaign()
	}
}

// campaign asks whether a majority would vote, before it touches the term.
func (r *Replicator) campaign() {
	r.role, r.pre, r.forced, r.leader = Candidate, true, false, messenger.Member{}
	r.votes = map[uint64]bool{r.cfg.Self.Disk: true}
	r.wait(r.cfg.Election / retryParts)
	for _, m := range r.members.Voters {
		if m.Disk != r.cfg.Self.Disk {
			r.send(m, r.ballot(m, r.state.Term+1))
		}
	}
	r.count()
}

// elect stands in a new term. Its own vote comes back as a message once saved.
func (r *Replicator) elect() {
	r.pre = false
	r.state.Term++
	r.state.Vote = r.cfg.Self.Disk
	r.save()
	r.votes = map[uint64]bool{}
	for _, m := range r.members.Voters {
		if m.Disk != r.cfg.Self.Disk {
			r.after(m, r.ballot(m, r.state.Term))
		}
	}
	self := r.cfg.Self
	r.after(self, &messenger.Voted{Route: r.route(self, r.state.Term), Granted: true})
}

func (r *Replicator) ballot(to messenger.Member, term uint64) *messenger.Vote {
	return &messenger.Vote{
		Route: r.route(to, term), Pre: r.pre, Forced: r.forced, Last: r.log.last(), LastTerm: r.log.lastTerm(),
	}
}

func (r *Replicator) onVote(m *messenger.Vote) {
	if !r.ours(&m.Route) {
		return
	}
	r.noteOutsider(&m.Route)
	if m.Pre {
		r.onPreVote(m)
		return
	}
	if r.hearing() && !m.Forced {
		return
	}
	if m.Term > r.state.Term {
		r.stepDown(m.Term)
	}
	granted := m.Term == r.state.Term && r.role != Leader && r.current(m) &&
		(r.state.Vote == 0 || r.state.Vote == m.From.Disk)
	if granted {
		r.state.Vote = m.From.Disk
		r.save()
		r.rest()
	}
	r.after(m.From, &messenger.Voted{Route: r.route(m.From, r.state.Term), Granted: granted})
}

func (r *Replicator) onPreVote(m *messenger.Vote) {
	granted := m.Term > r.state.Term && r.current(m) && !r.hearing()
	term := r.state.Term
	if granted {
		term = m.Term
	}
	r.after(m.From, &messenger.Voted{Route: r.route(m.From, term), Pre: true, Granted: granted})
}

// hearing reports whether a leader was heard within the least election timeout.
// The leader's lease rests on voters that then refuse to vote.
func (r *Replicator) hearing() bool {
	return r.role == Leader || r.now < r.heard+r.cfg.Election
}

// current reports whether the candidate's log is at least as new as this one.
func (r *Replicator) current(m *messenger.Vote) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.Last >= r.log.last()
}

func (r *Replicator) onVoted(m *messenger.Voted) {
	if !r.ours(&m.Route) {
		return
	}
	if !m.Granted && m.Term > r.state.Term {
		r.stepDown(m.Term)
		return
	}
	want := r.state.Term
	if r.pre {
		want++
	}
	if r.role != Candidate || m.Pre != r.pre || m.Term != want || !m.Granted {
		return
	}
	r.votes[m.From.Disk] = true
	r.count()
}

// count acts on a majority of votes.
func (r *Replicator) count() {
	n := 0
	for _, m := range r.members.Voters {
		if r.votes[m.Disk] {
			n++
		}
	}
	switch {
	case n < r.quorum():
	case r.pre:
		r.elect()
	default:
		r.win()
	}
}

func (r *Replicator) win() {
	r.role, r.leader = Leader, r.cfg.Self
	r.peers = map[uint64]*progress{}
	r.elected = r.now
	r.beat = r.now
	r.absent, r.retired = nil, false
	r.first = r.log.last() + 1
	r.track()
	r.add(messenger.Entry{})
}

// stepDown follows in a term; the leader of it is not known yet.
func (r *Replicator) stepDown(term uint64) {
	if term > r.state.Term {
		r.state.Term, r.state.Vote = term, 0
		r.save()
	}
	if r.role == Leader {
		r.out.Lost = true
		r.drop()
		r.rest()
	}
	r.role, r.leader, r.pre = Follower, messenger.Member{}, false
}

// followLeader follows the leader that sent a message of the current or a newer term.
func (r *Replicator) followLeader(m *messenger.Route) {
	if m.Term > r.state.Term || r.role != Follower {
		r.stepDown(m.Term)
	}
	r.leader = m.From
	r.heard = r.now
	r.rest()
}

// lead ends a leadership whose lease ran out, and keeps the others informed.
func (r *Replicator) lead() {
	if r.now >= max(r.leaseEnd(), r.elected+r.cfg.Election) || r.removed() {
		r.stepDown(r.state.Term)
		return
	}
	if r.now >= r.beat {
		r.beat = r.now + r.cfg.Heartbeat
		r.repair()
		r.heartbeatAll()
	}
}

// removed reports whether the leader is no voter any more.
func (r *Replicator) removed() bool {
	return r.changed <= r.commit && !r.voter(r.cfg.Self.Disk)
}

// confirmed returns the latest time at which a quorum took this leader for theirs.
func (r *Replicator) confirmed() time.Duration {
	stamps := make([]time.Duration, 0, len(r.members.Voters))
	for _, m := range r.members.Voters {
		at := r.now
		if m.Disk != r.cfg.Self.Disk {
			at = r.peers[m.Disk].stamp
		}
		stamps = append(stamps, at)
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-r.quorum()]
}

// leaseEnd returns when another replica may become leader at the earliest.
func (r *Replicator) leaseEnd() time.Duration {
	at := r.confirmed()
	if at < r.elected {
		return r.elected
	}
	return at + r.cfg.Election - r.cfg.Election/marginParts
}
