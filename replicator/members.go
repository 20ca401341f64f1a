package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	nonmemberTimeouts = 3  // election timeouts until an unresponsive nonmember is forgotten
	removalTimeouts   = 10 // election timeouts until an unresponsive voter is removed; longer than a restart takes
	minVoters         = 3  // the smallest group that survives the loss of one voter
)

// nonmember is a disk that sent a message but is not in the member set.
type nonmember struct {
	member messenger.Member
	seenAt time.Duration
}

func (r *Replicator) quorum() int { return len(r.members.Voters)/2 + 1 }

func (r *Replicator) isVoter(disk uint64) bool { return findDisk(r.members.Voters, disk) >= 0 }

// allMembers returns the voters followed by the learners.
func (r *Replicator) allMembers() []messenger.Member {
	return slices.Concat(r.members.Voters, r.members.Learners)
}

func findDisk(members []messenger.Member, disk uint64) int {
	return slices.IndexFunc(members, func(m messenger.Member) bool { return m.Disk == disk })
}

func findNode(members []messenger.Member, node string) int {
	return slices.IndexFunc(members, func(m messenger.Member) bool { return m.Node == node })
}

// setMembers puts a member set in force.
func (r *Replicator) setMembers(m messenger.Members, index uint64) {
	r.members, r.membersIndex = m, index
	if r.role == Leader {
		r.trackProgress()
	}
}

// isMember reports whether the set holds a member with the same node, address and disk.
func (r *Replicator) isMember(m messenger.Member) bool {
	return slices.Contains(r.allMembers(), m)
}

// recordNonmember records the sender of a message if it is not a member or its address
// changed.
func (r *Replicator) recordNonmember(m *messenger.Route) {
	if r.role != Leader || r.isMember(m.From) {
		return
	}
	r.nonmembers = slices.DeleteFunc(r.nonmembers, func(n nonmember) bool {
		return n.member.Node == m.From.Node || r.now > n.seenAt+nonmemberTimeouts*r.cfg.ElectionTimeout
	})
	r.nonmembers = append(r.nonmembers, nonmember{member: m.From, seenAt: r.now})
}

// membersMayChange reports whether the member set may change: the last change is
// committed, and so is an entry of this term.
func (r *Replicator) membersMayChange() bool {
	return r.commitIndex >= r.termStart && r.commitIndex >= r.membersIndex
}

// changeMembers handles a membership change requested by an operator.
func (r *Replicator) changeMembers(c *Change) {
	if c == nil {
		return
	}
	next, ok := r.membersAfter(c)
	if !ok {
		r.out.Refused = append(r.out.Refused, c.ID)
		return
	}
	i := r.appendEntry(messenger.Entry{Members: &next})
	r.out.Accepted = append(r.out.Accepted, Accepted{ID: c.ID, Index: i, Term: r.state.Term})
}

func (r *Replicator) membersAfter(c *Change) (messenger.Members, bool) {
	next := r.copyMembers()
	if r.role != Leader || !r.membersMayChange() {
		return next, false
	}
	if c.Verb == Remove {
		v, l := findNode(next.Voters, c.Node), findNode(next.Learners, c.Node)
		switch {
		case l >= 0:
			next.Learners = slices.Delete(next.Learners, l, l+1)
		case v >= 0:
			next.Voters = slices.Delete(next.Voters, v, v+1)
		}
		return next, l >= 0 || v >= 0 && r.quorumCaughtUp(next.Voters)
	}
	n := slices.IndexFunc(r.nonmembers, func(n nonmember) bool { return n.member.Node == c.Node })
	if n < 0 || findDisk(r.allMembers(), r.nonmembers[n].member.Disk) >= 0 {
		return next, false
	}
	return addLearner(next, r.nonmembers[n].member), true
}

// addLearner adds a learner, replacing an earlier learner of the same node.
func addLearner(next messenger.Members, m messenger.Member) messenger.Members {
	next.Learners = slices.DeleteFunc(next.Learners, func(l messenger.Member) bool { return l.Node == m.Node })
	next.Learners = append(next.Learners, m)
	return next
}

func (r *Replicator) copyMembers() messenger.Members {
	return messenger.Members{
		Group:    r.members.Group,
		Voters:   slices.Clone(r.members.Voters),
		Learners: slices.Clone(r.members.Learners),
	}
}

// repairMembers makes the next change towards a voter set that consists of the nodes'
// current disks. A new disk becomes a learner. Once it holds the log, the lost voter of its node is
// removed, and only then does the learner become a voter. The two steps are separate
// because a majority that includes the lost disk and one that includes the new disk need
// not have a replica in common.
func (r *Replicator) repairMembers() {
	if !r.membersMayChange() {
		return
	}
	next, ok := r.promoteLearner()
	if !ok {
		next, ok = r.removeLearner()
	}
	if !ok {
		next, ok = r.updateAddress()
	}
	if !ok {
		next, ok = r.addNewDisk()
	}
	if !ok {
		next, ok = r.removeUnresponsive()
	}
	if ok {
		r.appendEntry(messenger.Entry{Members: &next})
	}
}

// promoteLearner removes the lost voter that a caught-up learner replaces, or makes the
// learner a voter if there is none to remove.
func (r *Replicator) promoteLearner() (messenger.Members, bool) {
	for i, l := range r.members.Learners {
		if !r.caughtUp(l) {
			continue
		}
		next := r.copyMembers()
		v := r.voterReplacedBy(next.Voters, l)
		switch {
		case v < 0:
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l)
		case !r.isLive(next.Voters[v]):
			next.Voters = slices.Delete(next.Voters, v, v+1)
		default:
			continue
		}
		if r.quorumCaughtUp(next.Voters) {
			return next, true
		}
	}
	return messenger.Members{}, false
}

// voterReplacedBy returns the index of the voter that a learner replaces: that of its own
// node or, in a group that grows, an unresponsive one. It is negative if there is none.
func (r *Replicator) voterReplacedBy(voters []messenger.Member, l messenger.Member) int {
	if v := findNode(voters, l.Node); v >= 0 || !r.cfg.Grow {
		return v
	}
	return slices.IndexFunc(voters, func(m messenger.Member) bool { return r.unresponsive(m, r.cfg.ElectionTimeout) })
}

// removeUnresponsive removes a voter of a group that grows after a long time without an
// answer: a voter that is gone for good would count towards the quorum forever. If it
// comes back, it is added again.
func (r *Replicator) removeUnresponsive() (messenger.Members, bool) {
	if !r.cfg.Grow || len(r.members.Voters) <= minVoters {
		return messenger.Members{}, false
	}
	next := r.copyMembers()
	i := slices.IndexFunc(next.Voters, func(m messenger.Member) bool {
		return r.unresponsive(m, removalTimeouts*r.cfg.ElectionTimeout)
	})
	if i < 0 {
		return messenger.Members{}, false
	}
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, r.quorumCaughtUp(next.Voters)
}

// unresponsive reports whether a member has not acknowledged this leadership for d.
func (r *Replicator) unresponsive(m messenger.Member, d time.Duration) bool {
	return m.Disk != r.cfg.Self.Disk && r.now >= max(r.progress[m.Disk].contact, r.electedAt)+d
}

// removeLearner removes an unresponsive learner whose node runs with the voter's disk again
// or, in a group that grows, has no voter.
func (r *Replicator) removeLearner() (messenger.Members, bool) {
	for i, l := range r.members.Learners {
		if r.isLive(l) {
			continue
		}
		v := findNode(r.members.Voters, l.Node)
		if v < 0 && !r.cfg.Grow || v >= 0 && !r.isLive(r.members.Voters[v]) {
			continue
		}
		next := r.copyMembers()
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return next, true
	}
	return messenger.Members{}, false
}

// updateAddress adopts the new node name or address of a member.
func (r *Replicator) updateAddress() (messenger.Members, bool) {
	next := r.copyMembers()
	for _, n := range r.nonmembers {
		for _, members := range [][]messenger.Member{next.Voters, next.Learners} {
			if i := findDisk(members, n.member.Disk); i >= 0 && members[i] != n.member {
				members[i] = n.member
				return next, true
			}
		}
	}
	return messenger.Members{}, false
}

// addNewDisk makes the new disk of a member's node a learner, and in a group that grows
// that of any node, unless the node has a live voter.
func (r *Replicator) addNewDisk() (messenger.Members, bool) {
	for _, n := range r.nonmembers {
		if r.now > n.seenAt+nonmemberTimeouts*r.cfg.ElectionTimeout || findDisk(r.allMembers(), n.member.Disk) >= 0 {
			continue
		}
		next := r.copyMembers()
		v, l := findNode(next.Voters, n.member.Node), findNode(next.Learners, n.member.Node)
		if v < 0 && l < 0 && !r.cfg.Grow || v >= 0 && r.isLive(next.Voters[v]) {
			continue
		}
		return addLearner(next, n.member), true
	}
	return messenger.Members{}, false
}

// isLive reports whether a member acknowledged this leadership within the election timeout.
func (r *Replicator) isLive(m messenger.Member) bool {
	return m.Disk == r.cfg.Self.Disk || r.progress[m.Disk].contact+r.cfg.ElectionTimeout > r.now
}

// caughtUp reports whether a live member has synced all committed entries.
func (r *Replicator) caughtUp(m messenger.Member) bool {
	return r.isLive(m) && r.progress[m.Disk].match >= r.commitIndex
}

// quorumCaughtUp reports whether a majority of voters has caught up.
func (r *Replicator) quorumCaughtUp(voters []messenger.Member) bool {
	n := 0
	for _, m := range voters {
		if p := r.progress[m.Disk]; p != nil && r.caughtUp(m) {
			n++
		}
	}
	return n > len(voters)/2
}
