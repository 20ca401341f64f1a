package replicator

import "bramleyshunt/messenger"

// retire hands the leadership over to a voter that holds the whole log. It takes
// no more proposals until then.
func (r *Replicator) retire(asked bool) {
	if r.role != Leader {
		return
	}
	r.retired = r.retired || asked
	if !r.retired || r.commit < r.log.last() {
		return
	}
	for _, m := range r.members.Voters {
		if m.Disk == r.cfg.Self.Disk || !r.live(m) || r.peers[m.Disk].match < r.log.last() {
			continue
		}
		r.stepDown(r.state.Term)
		r.send(m, &messenger.Stand{Route: r.route(m, r.state.Term)})
		return
	}
}

// onStand stands for the next term without a pre-vote. Voters that heard the old
// leader just now may vote all the same: it holds no lease any more, and one of a
// newer term has their votes of that term.
func (r *Replicator) onStand(m *messenger.Stand) {
	if !r.ours(&m.Route) || m.Term != r.state.Term || r.role != Follower || !r.voter(r.cfg.Self.Disk) {
		return
	}
	r.role, r.leader, r.forced = Candidate, messenger.Member{}, true
	r.wait(r.cfg.Election / retryParts)
	r.elect()
}
