package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const probeHeartbeats = 2 // heartbeat intervals between two rounds of probes

// discovery is the state of the probe rounds that find peers, their disks and a leader.
type discovery struct {
	nextProbe time.Duration                // when the next round is due
	nonce     uint64                       // of the current round
	answers   map[string]*messenger.Probed // of the current round, by node
	token     uint64                       // sent with the last Probed
	leader    messenger.Member             // as reported by a peer; zero if unknown
}

// probePeers starts a round of probes to the founding nodes, to the known members and to
// the reported leader. The founding nodes alone are not enough: they may all be gone.
func (r *Replicator) probePeers() {
	if r.now < r.discovery.nextProbe {
		return
	}
	r.discovery.nextProbe = r.now + probeHeartbeats*r.cfg.HeartbeatInterval
	r.discovery.nonce = r.rng.Uint64()
	r.discovery.answers = map[string]*messenger.Probed{}
	probed := map[string]bool{r.cfg.Self.Address: true, "": true}
	for _, p := range slices.Concat(r.cfg.Peers, r.allMembers(), []messenger.Member{r.discovery.leader}) {
		if probed[p.Address] || p.Node == r.cfg.Self.Node {
			continue
		}
		probed[p.Address] = true
		to := messenger.Member{Node: p.Node, Address: p.Address}
		r.send(to, &messenger.Probe{Route: r.route(to, r.state.Term), Nonce: r.discovery.nonce})
	}
	r.foundGroup()
}

// isFounder reports whether node is the one that may found a group: the founding node
// whose name sorts first.
func (r *Replicator) isFounder(node string) bool {
	member := false
	for _, p := range r.cfg.Peers {
		if p.Node < node {
			return false
		}
		member = member || p.Node == node
	}
	return member
}

// awaitsFirstCommit reports whether this replica founded a group that has not committed
// its first entry yet.
func (r *Replicator) awaitsFirstCommit() bool {
	return r.state.Group != 0 && r.log.lastIndex() == 1 && r.commitIndex == 0 && r.isFounder(r.cfg.Self.Node)
}

// foundGroup founds a group of the present disks of all founding nodes, provided that in
// one round every one of them reported that it belongs to no group.
func (r *Replicator) foundGroup() {
	if r.role != Outside || r.cfg.Join || !r.isFounder(r.cfg.Self.Node) {
		return
	}
	voters := make([]messenger.Member, 0, len(r.cfg.Peers))
	for _, p := range r.cfg.Peers {
		if p.Node == r.cfg.Self.Node {
			voters = append(voters, r.cfg.Self)
			continue
		}
		a := r.discovery.answers[p.Node]
		if a == nil || a.Formed {
			return
		}
		voters = append(voters, messenger.Member{Node: p.Node, Address: p.Address, Disk: a.From.Disk})
	}
	group := r.rng.Uint64() | 1
	r.initGroup(group, messenger.Entry{Index: 1, Term: 1, Members: &messenger.Members{Group: group, Voters: voters}})
	r.discovery.nextProbe = r.now
}

// initGroup writes the first entry of a group's log.
func (r *Replicator) initGroup(group uint64, e messenger.Entry) {
	r.state = HardState{Group: group, Term: e.Term}
	r.saveHardState()
	r.role = Follower
	r.writeEntries([]messenger.Entry{e})
	r.resetElectionDeadline()
}

func (r *Replicator) onProbe(m *messenger.Probe) {
	if m.Group == 0 || m.Group == r.state.Group {
		r.recordNonmember(&m.Route)
	}
	r.onVoterProbe(&m.Route)
	answer := &messenger.Probed{Route: r.route(m.From, r.state.Term), Nonce: m.Nonce, Formed: r.state.Group != 0, Leader: r.leader}
	if r.isFounder(m.From.Node) {
		r.discovery.token++
		answer.Token = r.discovery.token
	}
	r.send(m.From, answer)
}

func (r *Replicator) onProbed(m *messenger.Probed) {
	if m.To != r.cfg.Self.Disk || m.Nonce != r.discovery.nonce || r.discovery.answers == nil {
		return
	}
	r.discovery.answers[m.From.Node] = m
	if m.Leader.Address != "" {
		r.discovery.leader = m.Leader
	}
	if r.awaitsFirstCommit() && !m.Formed && r.isVoter(m.From.Disk) {
		r.send(m.From, &messenger.Found{Route: r.route(m.From, r.state.Term), Token: m.Token, Entry: r.log.entries[0]})
	}
	r.foundGroup()
}

// onFound joins the group of the founder whose probe came last. A delayed Found from a
// founder that has lost its disk since carries an older token and is ignored.
func (r *Replicator) onFound(m *messenger.Found) {
	if r.role != Outside || m.To != r.cfg.Self.Disk || m.Token != r.discovery.token || m.Token == 0 {
		return
	}
	if e := m.Entry; e.Members != nil && findDisk(e.Members.Voters, r.cfg.Self.Disk) >= 0 {
		r.initGroup(m.Group, e)
	}
}

// acceptsLeader reports whether a leader's message is for this replica. A replica outside
// a group joins the group that names its disk, but only once that group has committed
// an entry: before that, a founder that lost its disk could found a second group.
func (r *Replicator) acceptsLeader(m *messenger.Route, committed bool) bool {
	if r.role == Outside && committed && m.Group != 0 && m.To == r.cfg.Self.Disk {
		r.state = HardState{Group: m.Group}
		r.role = Follower
		r.saveHardState()
	}
	return r.addressedHere(m)
}
