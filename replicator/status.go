package replicator

import (
	"time"

	"bramleyshunt/messenger"
)

// Status is a view of a replica.
type Status struct {
	State    State
	Role     Role
	Leader   messenger.Member // zero if unknown
	Last     uint64           // last index of the log
	Commit   uint64
	Snapshot uint64 // index of the latest snapshot
	Members  messenger.Members
	Waiting  []messenger.Member // leader: disks heard of that are no members
	Repaired bool               // leader: every voter holds all that is committed, and nobody waits
	Lease    time.Duration      // leader: no other leads before; zero for none
}

// Status returns the present view.
func (r *Replicator) Status() Status {
	s := Status{
		State: r.state, Role: r.role, Leader: r.leader,
		Last: r.log.last(), Commit: r.commit, Snapshot: r.snapshot.Index, Members: r.members,
	}
	if r.role != Leader {
		return s
	}
	s.Lease = r.leaseEnd()
	s.Repaired = r.settled() && len(r.members.Learners) == 0
	for _, m := range r.members.Voters {
		s.Repaired = s.Repaired && r.fresh(m)
	}
	for _, a := range r.absent {
		if r.now <= a.at+strangerTimeouts*r.cfg.Election && !r.known(a.member) {
			s.Waiting = append(s.Waiting, a.member)
			s.Repaired = s.Repaired && named(r.members.Voters, a.member.Node) < 0
		}
	}
	return s
}
