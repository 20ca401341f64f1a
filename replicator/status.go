package replicator

import (
	"time"

	"bramleyshunt/messenger"
)

// Status is a point-in-time view of a replica.
type Status struct {
	State    HardState
	Role     Role
	Leader   messenger.Member // zero if unknown
	Last     uint64           // index of the last log entry
	Commit   uint64
	Snapshot uint64 // index of the latest snapshot
	Members  messenger.Members
	Waiting  []messenger.Member // leader: senders of recent messages that are not members
	Repaired bool               // leader: every voter holds all committed entries, and no change or repair of the members is open
	LeaseEnd time.Duration      // leader: no other replica leads before; zero for other roles
}

// Status returns the present state.
func (r *Replicator) Status() Status {
	s := Status{
		State: r.state, Role: r.role, Leader: r.leader,
		Last: r.log.lastIndex(), Commit: r.commitIndex, Snapshot: r.snapshot.Index, Members: r.members,
	}
	if r.role != Leader {
		return s
	}
	s.LeaseEnd = r.leaseEnd()
	s.Repaired = r.membersMayChange() && len(r.members.Learners) == 0
	for _, m := range r.members.Voters {
		s.Repaired = s.Repaired && r.caughtUp(m)
	}
	for _, n := range r.nonmembers {
		if r.now <= n.seenAt+nonmemberTimeouts*r.cfg.ElectionTimeout && !r.isMember(n.member) {
			s.Waiting = append(s.Waiting, n.member)
			s.Repaired = s.Repaired && findNode(r.members.Voters, n.member.Node) < 0
		}
	}
	return s
}
