package replicator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	strangerTimeouts = 3  // election timeouts after which a silent stranger is forgotten
	expelTimeouts    = 10 // election timeouts, above the time that a restart takes
	leastVoters      = 3  // the least group that outlives the loss of one
)

// stranger is a disk that was heard of and is no member.
type stranger struct {
	member messenger.Member
	at     time.Duration
}

func (r *Replicator) quorum() int { return len(r.members.Voters)/2 + 1 }

func (r *Replicator) voter(disk uint64) bool { return find(r.members.Voters, disk) >= 0 }

// everyone returns the voters and then the learners.
func (r *Replicator) everyone() []messenger.Member {
	return slices.Concat(r.members.Voters, r.members.Learners)
}

func find(members []messenger.Member, disk uint64) int {
	return slices.IndexFunc(members, func(m messenger.Member) bool { return m.Disk == disk })
}

func named(members []messenger.Member, node string) int {
	return slices.IndexFunc(members, func(m messenger.Member) bool { return m.Node == node })
}

// adopt puts a member set in force.
func (r *Replicator) adopt(m messenger.Members, index uint64) {
	r.members, r.changed = m, index
	if r.role == Leader {
		r.track()
	}
}

// known reports whether a member stands in the set with its node, address and disk.
func (r *Replicator) known(m messenger.Member) bool {
	return slices.Contains(r.everyone(), m)
}

// noteOutsider remembers the sender of a message that is no member, or one that moved.
func (r *Replicator) noteOutsider(m *messenger.Route) {
	if r.role != Leader || r.known(m.From) {
		return
	}
	r.absent = slices.DeleteFunc(r.absent, func(s stranger) bool {
		return s.member.Node == m.From.Node || r.now > s.at+strangerTimeouts*r.cfg.Election
	})
	r.absent = append(r.absent, stranger{member: m.From, at: r.now})
}

// settled reports whether the member set may change: the last change is
// committed, and so is an entry of this term.
func (r *Replicator) settled() bool {
	return r.commit >= r.first && r.commit >= r.changed
}

// change is an operator's change of the members.
func (r *Replicator) change(c *Change) {
	if c == nil {
		return
	}
	next, ok := r.changedBy(c)
	if !ok {
		r.out.Refused = append(r.out.Refused, c.ID)
		return
	}
	i := r.add(messenger.Entry{Members: &next})
	r.out.Accepted = append(r.out.Accepted, Accepted{ID: c.ID, Index: i, Term: r.state.Term})
}

func (r *Replicator) changedBy(c *Change) (messenger.Members, bool) {
	next := r.copied()
	if r.role != Leader || !r.settled() {
		return next, false
	}
	if c.Verb == Remove {
		v, l := named(next.Voters, c.Node), named(next.Learners, c.Node)
		switch {
		case l >= 0:
			next.Learners = slices.Delete(next.Learners, l, l+1)
		case v >= 0:
			next.Voters = slices.Delete(next.Voters, v, v+1)
		}
		return next, l >= 0 || v >= 0 && r.reached(next.Voters)
	}
	s := slices.IndexFunc(r.absent, func(s stranger) bool { return s.member.Node == c.Node })
	if s < 0 || find(r.everyone(), r.absent[s].member.Disk) >= 0 {
		return next, false
	}
	return learn(next, r.absent[s].member), true
}

// learn adds a learner in the place of an earlier one of the same node.
func learn(next messenger.Members, m messenger.Member) messenger.Members {
	next.Learners = slices.DeleteFunc(next.Learners, func(l messenger.Member) bool { return l.Node == m.Node })
	next.Learners = append(next.Learners, m)
	return next
}

func (r *Replicator) copied() messenger.Members {
	return messenger.Members{
		Group:    r.members.Group,
		Voters:   slices.Clone(r.members.Voters),
		Learners: slices.Clone(r.members.Learners),
	}
}

// repair takes the next step towards voters on the disks that the nodes have
// now: a new disk becomes a learner, the lost voter of its node is removed when
// the learner holds the log, and only then is the learner made a voter. Two
// steps, because a majority with the lost disk and one with the new disk need
// not have a replica in common.
func (r *Replicator) repair() {
	if !r.settled() {
		return
	}
	next, ok := r.promote()
	if !ok {
		next, ok = r.dismiss()
	}
	if !ok {
		next, ok = r.move()
	}
	if !ok {
		next, ok = r.admit()
	}
	if !ok {
		next, ok = r.expel()
	}
	if ok {
		r.add(messenger.Entry{Members: &next})
	}
}

// promote removes the lost voter of a learner that holds the log, or makes the
// learner a voter if its node has none.
func (r *Replicator) promote() (messenger.Members, bool) {
	for i, l := range r.members.Learners {
		if !r.fresh(l) {
			continue
		}
		next := r.copied()
		v := r.replaced(next.Voters, l)
		switch {
		case v < 0:
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l)
		case !r.live(next.Voters[v]):
			next.Voters = slices.Delete(next.Voters, v, v+1)
		default:
			continue
		}
		if r.reached(next.Voters) {
			return next, true
		}
	}
	return messenger.Members{}, false
}

// replaced returns the voter whose place a learner takes: that of its own node,
// or in a group that grows a silent one. It is negative if there is none.
func (r *Replicator) replaced(voters []messenger.Member, l messenger.Member) int {
	if v := named(voters, l.Node); v >= 0 || !r.cfg.Grow {
		return v
	}
	return slices.IndexFunc(voters, func(m messenger.Member) bool { return r.silent(m, r.cfg.Election) })
}

// expel removes a voter of a grown group that has been silent for long: one that
// is gone for good would count towards the quorum for ever. It is taken in again
// when it comes back.
func (r *Replicator) expel() (messenger.Members, bool) {
	if !r.cfg.Grow || len(r.members.Voters) <= leastVoters {
		return messenger.Members{}, false
	}
	next := r.copied()
	i := slices.IndexFunc(next.Voters, func(m messenger.Member) bool {
		return r.silent(m, expelTimeouts*r.cfg.Election)
	})
	if i < 0 {
		return messenger.Members{}, false
	}
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, r.reached(next.Voters)
}

// silent reports whether a member has not answered this leadership for a time.
func (r *Replicator) silent(m messenger.Member, d time.Duration) bool {
	return m.Disk != r.cfg.Self.Disk && r.now >= max(r.peers[m.Disk].stamp, r.elected)+d
}

// dismiss removes a silent learner whose node has its voter's disk back.
func (r *Replicator) dismiss() (messenger.Members, bool) {
	for i, l := range r.members.Learners {
		if r.live(l) {
			continue
		}
		v := named(r.members.Voters, l.Node)
		if v < 0 && !r.cfg.Grow || v >= 0 && !r.live(r.members.Voters[v]) {
			continue
		}
		next := r.copied()
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return next, true
	}
	return messenger.Members{}, false
}

// move takes over the new address of a member.
func (r *Replicator) move() (messenger.Members, bool) {
	next := r.copied()
	for _, s := range r.absent {
		for _, members := range [][]messenger.Member{next.Voters, next.Learners} {
			if i := find(members, s.member.Disk); i >= 0 && members[i] != s.member {
				members[i] = s.member
				return next, true
			}
		}
	}
	return messenger.Members{}, false
}

// admit makes a new disk of a member's node a learner.
func (r *Replicator) admit() (messenger.Members, bool) {
	for _, s := range r.absent {
		if r.now > s.at+strangerTimeouts*r.cfg.Election || find(r.everyone(), s.member.Disk) >= 0 {
			continue
		}
		next := r.copied()
		v, l := named(next.Voters, s.member.Node), named(next.Learners, s.member.Node)
		if v < 0 && l < 0 && !r.cfg.Grow || v >= 0 && r.live(next.Voters[v]) {
			continue
		}
		return learn(next, s.member), true
	}
	return messenger.Members{}, false
}

// live reports whether a member answered within the election timeout.
func (r *Replicator) live(m messenger.Member) bool {
	return m.Disk == r.cfg.Self.Disk || r.peers[m.Disk].stamp+r.cfg.Election > r.now
}

// fresh reports whether a live member has synced all that is committed.
func (r *Replicator) fresh(m messenger.Member) bool {
	return r.live(m) && r.peers[m.Disk].match >= r.commit
}

// reached reports whether a majority of a voter set holds all that is committed.
func (r *Replicator) reached(voters []messenger.Member) bool {
	n := 0
	for _, m := range voters {
		if p := r.peers[m.Disk]; p != nil && r.fresh(m) {
			n++
		}
	}
	return n > len(voters)/2
}
