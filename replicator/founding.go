package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const probeBeats = 2 // heartbeats between two rounds of probes

// founder is what a replica outside a group knows of the founding nodes.
type founder struct {
	next  time.Duration                // when to probe again
	nonce uint64                       // of the round
	disks map[string]*messenger.Probed // answers of the round, by node
	token uint64                       // given in the last Probed
	leads messenger.Member             // leader of a group that an answer named
}

// probe asks the founding nodes who they are, and the members and the leader that
// this replica knows of: the founding nodes may be gone.
func (r *Replicator) probe() {
	if r.now < r.founder.next {
		return
	}
	r.founder.next = r.now + probeBeats*r.cfg.Heartbeat
	r.founder.nonce = r.rng.Uint64()
	r.founder.disks = map[string]*messenger.Probed{}
	asked := map[string]bool{r.cfg.Self.Address: true, "": true}
	for _, p := range slices.Concat(r.cfg.Peers, r.everyone(), []messenger.Member{r.founder.leads}) {
		if asked[p.Address] || p.Node == r.cfg.Self.Node {
			continue
		}
		asked[p.Address] = true
		to := messenger.Member{Node: p.Node, Address: p.Address}
		r.send(to, &messenger.Probe{Route: r.route(to, r.state.Term), Nonce: r.founder.nonce})
	}
	r.found()
}

// founds reports whether a node is the one that may found: the one with the
// least name among the founding nodes.
func (r *Replicator) founds(node string) bool {
	member := false
	for _, p := range r.cfg.Peers {
		if p.Node < node {
			return false
		}
		member = member || p.Node == node
	}
	return member
}

// founding reports whether this replica founded a group that did not start yet.
func (r *Replicator) founding() bool {
	return r.state.Group != 0 && r.log.last() == 1 && r.commit == 0 && r.founds(r.cfg.Self.Node)
}

// found forms a group of the disks that all founding nodes have now, if each of
// them says within one round that it belongs to no group.
func (r *Replicator) found() {
	if r.role != Outside || r.cfg.Join || !r.founds(r.cfg.Self.Node) {
		return
	}
	voters := make([]messenger.Member, 0, len(r.cfg.Peers))
	for _, p := range r.cfg.Peers {
		if p.Node == r.cfg.Self.Node {
			voters = append(voters, r.cfg.Self)
			continue
		}
		a := r.founder.disks[p.Node]
		if a == nil || a.Formed {
			return
		}
		voters = append(voters, messenger.Member{Node: p.Node, Address: p.Address, Disk: a.From.Disk})
	}
	group := r.rng.Uint64() | 1
	r.form(group, messenger.Entry{Index: 1, Term: 1, Members: &messenger.Members{Group: group, Voters: voters}})
	r.founder.next = r.now
}

// form writes the first entry of a group's log.
func (r *Replicator) form(group uint64, e messenger.Entry) {
	r.state = State{Group: group, Term: e.Term}
	r.save()
	r.role = Follower
	r.write([]messenger.Entry{e})
	r.rest()
}

func (r *Replicator) onProbe(m *messenger.Probe) {
	if m.Group == 0 || m.Group == r.state.Group {
		r.noteOutsider(&m.Route)
	}
	answer := &messenger.Probed{Route: r.route(m.From, r.state.Term), Nonce: m.Nonce, Formed: r.state.Group != 0, Leader: r.leader}
	if r.founds(m.From.Node) {
		r.founder.token++
		answer.Token = r.founder.token
	}
	r.send(m.From, answer)
}

func (r *Replicator) onProbed(m *messenger.Probed) {
	if m.To != r.cfg.Self.Disk || m.Nonce != r.founder.nonce || r.founder.disks == nil {
		return
	}
	r.founder.disks[m.From.Node] = m
	if m.Leader.Address != "" {
		r.founder.leads = m.Leader
	}
	if r.founding() && !m.Formed && r.voter(m.From.Disk) {
		r.send(m.From, &messenger.Found{Route: r.route(m.From, r.state.Term), Token: m.Token, Entry: r.log.entries[0]})
	}
	r.found()
}

// onFound joins the group of the founder that probed last. A late Found of a
// founder whose disk was lost meanwhile carries an older token.
func (r *Replicator) onFound(m *messenger.Found) {
	if r.role != Outside || m.To != r.cfg.Self.Disk || m.Token != r.founder.token || m.Token == 0 {
		return
	}
	if e := m.Entry; e.Members != nil && find(e.Members.Voters, r.cfg.Self.Disk) >= 0 {
		r.form(m.Group, e)
	}
}

// joins reports whether a leader's message is for this replica. One outside a
// group joins the group that names its disk, but only after that group has
// committed: until then a founder that lost its disk could found another.
func (r *Replicator) joins(m *messenger.Route, committed bool) bool {
	if r.role == Outside && committed && m.Group != 0 && m.To == r.cfg.Self.Disk {
		r.state = State{Group: m.Group}
		r.role = Follower
		r.save()
	}
	return r.ours(m)
}
