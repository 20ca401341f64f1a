package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// campaignRetryDivisor sets the minimum time between two candidacies: the election
// timeout divided by it.
const campaignRetryDivisor = 4

// resetElectionDeadline draws the next election timeout.
func (r *Replicator) resetElectionDeadline() { r.setElectionDeadline(r.cfg.ElectionTimeout) }

// setElectionDeadline draws an election timeout of at least minWait.
func (r *Replicator) setElectionDeadline(minWait time.Duration) {
	r.electionDeadline = r.now + minWait + time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout)))
}

// tickFollower starts an election if no leader was in contact within the election
// timeout. It probes as well, because the known member set may be so old that none of
// its members can reach the leader. A replica that has restarted probes until it hears
// from a leader, so that a former leader that has restarted too stands at once.
func (r *Replicator) tickFollower() {
	if r.awaitsFirstCommit() || !r.heardLeader {
		r.probePeers()
	}
	if r.now < r.electionDeadline {
		return
	}
	r.probePeers()
	if r.isVoter(r.cfg.Self.Disk) {
		r.campaign()
	}
}

// campaign collects pre-votes from a majority before the term is raised.
func (r *Replicator) campaign() {
	r.role, r.preVote, r.forced, r.leader = Candidate, true, false, messenger.Member{}
	r.votes = map[uint64]bool{r.cfg.Self.Disk: true}
	r.setElectionDeadline(r.cfg.ElectionTimeout / campaignRetryDivisor)
	if r.leaderContact == never {
		r.standSoon()
	}
	for _, m := range r.members.Voters {
		if m.Disk != r.cfg.Self.Disk {
			r.send(m, r.voteRequest(m, r.state.Term+1))
		}
	}
	r.countVotes()
}

// standSoon draws the time of the next candidacy of a replica that need not wait for a
// lease to end: long enough for an election by another replica to succeed first.
func (r *Replicator) standSoon() {
	r.electionDeadline = r.now + r.cfg.HeartbeatInterval + time.Duration(r.rng.Int64N(int64(r.cfg.HeartbeatInterval)))
}

// releaseLease ends this replica's support of the lease of the last leader that it
// followed, if a vote request shows that this leader has lost its leadership. A leader
// requests votes in a term above its own only after it has stepped down or restarted, and
// it never leads in its former term again.
func (r *Replicator) releaseLease(m *messenger.Vote) {
	if r.role == Leader || m.From.Disk != r.state.Leader || m.Term <= r.state.LeaderTerm || r.leaderContact == never {
		return
	}
	r.leaderContact, r.leader = never, messenger.Member{}
	r.standSoon()
}

// onVoterProbe lets a replica that need not wait for a lease to end stand at once when
// another voter looks for a leader: earlier vote requests may have come before its start.
func (r *Replicator) onVoterProbe(m *messenger.Route) {
	waiting := r.role == Follower || r.role == Candidate && r.preVote
	if waiting && r.leaderContact == never && r.isVoter(r.cfg.Self.Disk) && r.isVoter(m.From.Disk) && m.Group == r.state.Group {
		r.campaign()
	}
}

// startElection requests votes in a new term. The replica's own vote is returned to it as
// a message once it is saved.
func (r *Replicator) startElection() {
	r.preVote = false
	r.state.Term++
	r.state.Vote = r.cfg.Self.Disk
	r.saveHardState()
	r.votes = map[uint64]bool{}
	for _, m := range r.members.Voters {
		if m.Disk != r.cfg.Self.Disk {
			r.sendAfterSync(m, r.voteRequest(m, r.state.Term))
		}
	}
	self := r.cfg.Self
	r.sendAfterSync(self, &messenger.Voted{Route: r.route(self, r.state.Term), Granted: true})
}

func (r *Replicator) voteRequest(to messenger.Member, term uint64) *messenger.Vote {
	return &messenger.Vote{
		Route: r.route(to, term), Pre: r.preVote, Forced: r.forced, Last: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
	}
}

func (r *Replicator) onVote(m *messenger.Vote) {
	if !r.addressedHere(&m.Route) {
		return
	}
	r.recordNonmember(&m.Route)
	r.releaseLease(m)
	if m.Pre {
		r.onPreVote(m)
		return
	}
	if r.hasLeaderContact() && !m.Forced {
		return
	}
	if m.Term > r.state.Term {
		r.stepDown(m.Term)
	}
	granted := m.Term == r.state.Term && r.role != Leader && r.upToDate(m) &&
		(r.state.Vote == 0 || r.state.Vote == m.From.Disk)
	if granted {
		r.state.Vote = m.From.Disk
		r.saveHardState()
		r.resetElectionDeadline()
	}
	r.sendAfterSync(m.From, &messenger.Voted{Route: r.route(m.From, r.state.Term), Granted: granted})
}

func (r *Replicator) onPreVote(m *messenger.Vote) {
	granted := m.Term > r.state.Term && r.upToDate(m) && !r.hasLeaderContact()
	term := r.state.Term
	if granted {
		term = m.Term
	}
	r.sendAfterSync(m.From, &messenger.Voted{Route: r.route(m.From, term), Pre: true, Granted: granted})
}

// hasLeaderContact reports whether a leader's message arrived within the minimum election
// timeout. Voters refuse votes during that time, which the leader lease relies on.
func (r *Replicator) hasLeaderContact() bool {
	return r.role == Leader || r.now < r.leaderContact+r.cfg.ElectionTimeout
}

// upToDate reports whether the candidate's log is at least as recent as this one.
func (r *Replicator) upToDate(m *messenger.Vote) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.Last >= r.log.lastIndex()
}

func (r *Replicator) onVoted(m *messenger.Voted) {
	if !r.addressedHere(&m.Route) {
		return
	}
	if !m.Granted && m.Term > r.state.Term {
		r.stepDown(m.Term)
		return
	}
	want := r.state.Term
	if r.preVote {
		want++
	}
	if r.role != Candidate || m.Pre != r.preVote || m.Term != want || !m.Granted {
		return
	}
	r.votes[m.From.Disk] = true
	r.countVotes()
}

// countVotes starts the election once a majority granted pre-votes, and becomes leader
// once a majority granted votes.
func (r *Replicator) countVotes() {
	n := 0
	for _, m := range r.members.Voters {
		if r.votes[m.Disk] {
			n++
		}
	}
	switch {
	case n < r.quorum():
	case r.preVote:
		r.startElection()
	default:
		r.becomeLeader()
	}
}

func (r *Replicator) becomeLeader() {
	r.role, r.leader, r.heardLeader = Leader, r.cfg.Self, true
	r.progress = map[uint64]*progress{}
	r.electedAt = r.now
	r.nextHeartbeat = r.now
	r.nonmembers, r.transferring = nil, false
	r.termStart = r.log.lastIndex() + 1
	r.trackProgress()
	r.saveLeader(r.cfg.Self.Disk)
	r.appendEntry(messenger.Entry{})
	r.requestReadIndex()
}

// saveLeader records the leader of this term, whose lease depends on this replica from
// now on. The record is saved before the replica acknowledges a message of that leader.
func (r *Replicator) saveLeader(disk uint64) {
	if r.state.Leader == disk && r.state.LeaderTerm == r.state.Term {
		return
	}
	r.state.Leader, r.state.LeaderTerm = disk, r.state.Term
	r.saveHardState()
}

// stepDown becomes a follower in term, whose leader is not known yet.
func (r *Replicator) stepDown(term uint64) {
	if term > r.state.Term {
		r.state.Term, r.state.Vote = term, 0
		r.saveHardState()
	}
	if r.role == Leader {
		r.out.LeadershipLost = true
		r.dropReads()
		r.resetElectionDeadline()
	}
	r.role, r.leader, r.preVote = Follower, messenger.Member{}, false
}

// followLeader records contact with the leader of the current or a newer term.
func (r *Replicator) followLeader(m *messenger.Route) {
	if m.Term > r.state.Term || r.role != Follower {
		r.stepDown(m.Term)
	}
	r.saveLeader(m.From.Disk)
	known := r.leader.Disk == m.From.Disk
	r.leader, r.heardLeader = m.From, true
	r.leaderContact = r.now
	r.resetElectionDeadline()
	if !known {
		r.requestReadIndex()
	}
}

// tickLeader steps down if the lease has expired, and sends heartbeats.
func (r *Replicator) tickLeader() {
	if r.now >= max(r.leaseEnd(), r.electedAt+r.cfg.ElectionTimeout) || r.selfRemoved() {
		r.stepDown(r.state.Term)
		return
	}
	if r.now >= r.nextHeartbeat {
		r.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
		r.repairMembers()
		r.requestHeartbeats()
	}
}

// selfRemoved reports whether a committed change removed this leader from the voters.
func (r *Replicator) selfRemoved() bool {
	return r.membersIndex <= r.commitIndex && !r.isVoter(r.cfg.Self.Disk)
}

// quorumContact returns the latest time as of which a quorum acknowledged this leader.
func (r *Replicator) quorumContact() time.Duration {
	contacts := make([]time.Duration, 0, len(r.members.Voters))
	for _, m := range r.members.Voters {
		at := r.now
		if m.Disk != r.cfg.Self.Disk {
			at = r.progress[m.Disk].contact
		}
		contacts = append(contacts, at)
	}
	slices.Sort(contacts)
	return contacts[len(contacts)-r.quorum()]
}

// leaseEnd returns the earliest time at which another replica may become leader.
func (r *Replicator) leaseEnd() time.Duration {
	contact := r.quorumContact()
	if contact < r.electedAt {
		return r.electedAt
	}
	return contact + r.cfg.ElectionTimeout - r.cfg.ElectionTimeout/leaseMarginDivisor
}
