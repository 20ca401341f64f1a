package replicator

import "bramleyshunt/messenger"

// transferLeadership hands the leadership to a live voter that holds the whole log. Once
// requested, proposals are refused until the transfer is done.
func (r *Replicator) transferLeadership(requested bool) {
	if r.role != Leader {
		return
	}
	r.transferring = r.transferring || requested
	if !r.transferring || r.commitIndex < r.log.lastIndex() {
		return
	}
	for _, m := range r.members.Voters {
		if m.Disk == r.cfg.Self.Disk || !r.isLive(m) || r.progress[m.Disk].match < r.log.lastIndex() {
			continue
		}
		r.stepDown(r.state.Term)
		r.send(m, &messenger.Stand{Route: r.route(m, r.state.Term)})
		return
	}
}

// onStand starts an election without a pre-vote, on request of the former leader. Voters may
// grant it despite recent contact with that leader: it has given up its lease, and a
// leader of a newer term already holds the votes for its own term.
func (r *Replicator) onStand(m *messenger.Stand) {
	if !r.addressedHere(&m.Route) || m.Term != r.state.Term || r.role != Follower || !r.isVoter(r.cfg.Self.Disk) {
		return
	}
	r.role, r.leader, r.forced = Candidate, messenger.Member{}, true
	r.setElectionDeadline(r.cfg.ElectionTimeout / campaignRetryDivisor)
	r.startElection()
}
