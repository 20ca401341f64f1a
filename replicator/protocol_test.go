package replicator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const group = 9

// harness drives one replica, with disk 1 of a group of the disks 1, 2 and 3.
type harness struct {
	Gomega
	rep *replicator.Replicator
	now time.Duration
}

func member(disk uint64) messenger.Member {
	node := string(rune('a' + disk%10 - 1))
	return messenger.Member{Node: node, Address: node, Disk: disk}
}

func voters() *messenger.Members {
	return &messenger.Members{Group: group, Voters: []messenger.Member{member(1), member(2), member(3)}}
}

func newHarness(t *testing.T, saved replicator.Saved) *harness {
	return &harness{Gomega: NewWithT(t), rep: replicator.New(0, replicator.Config{
		Self: member(1), Peers: voters().Voters, HeartbeatInterval: heartbeat, ElectionTimeout: election,
	}, saved)}
}

// savedLog returns a log whose first entry founds the group and whose others have the given
// terms.
func savedLog(terms ...uint64) replicator.Saved {
	s := replicator.Saved{State: replicator.HardState{Group: group, Term: 1}}
	s.Entries = []messenger.Entry{{Index: 1, Term: 1, Members: voters()}}
	for i, t := range terms {
		s.State.Term = t
		s.Entries = append(s.Entries, messenger.Entry{Index: uint64(i) + 2, Term: t, Data: []byte("x")})
	}
	return s
}

func (h *harness) step(ev replicator.Event) replicator.Actions {
	actions := h.rep.Step(h.now, ev)
	for _, s := range actions.SendAfterSync {
		if s.To.Disk == 1 {
			h.rep.Step(h.now, replicator.Event{Message: s.Body})
		}
	}
	return actions
}

func (h *harness) routeFrom(disk uint64) messenger.Route {
	return messenger.Route{From: member(disk), To: 1, Group: group, Term: h.rep.Status().State.Term}
}

// becomeLeader has the replica elected by the vote of disk 2.
func (h *harness) becomeLeader() {
	h.now += 2 * election
	h.step(replicator.Event{})
	pre := h.routeFrom(2)
	pre.Term++
	h.step(replicator.Event{Message: &messenger.Voted{Route: pre, Pre: true, Granted: true}})
	h.step(replicator.Event{Message: &messenger.Voted{Route: h.routeFrom(2), Granted: true}})
	h.Expect(h.rep.Status().Role).To(Equal(replicator.Leader))
}

// acknowledge has a disk confirm the log up to match in answer to a message sent at stamp.
func (h *harness) acknowledge(disk, match uint64, stamp time.Duration) replicator.Actions {
	return h.step(replicator.Event{Message: &messenger.Appended{Route: h.routeFrom(disk), Granted: true, Match: match, Stamp: stamp}})
}

func TestEntriesOfEarlierTermsCommitWithOneOfCurrentTerm(t *testing.T) {
	h := newHarness(t, savedLog(2))
	h.becomeLeader()
	h.acknowledge(2, 2, h.now)
	h.Expect(h.rep.Status().Commit).To(BeZero())
	h.acknowledge(2, 3, h.now)
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(3))
}

func TestReadWaitsForAcknowledgementOfLaterMessage(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	electedAt := h.now
	h.acknowledge(2, 2, electedAt)
	h.now += tick
	h.Expect(h.step(replicator.Event{ReadBarrier: 1}).Reads).To(BeEmpty())
	h.Expect(h.acknowledge(2, 2, electedAt).Reads).To(BeEmpty())
	h.Expect(h.acknowledge(2, 2, h.now).Reads).To(Equal([]replicator.Read{{ID: 1, Index: 2, OK: true}}))
}

func TestLeaseStartsWhenAcknowledgedMessageWasSent(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	sent := h.now
	h.now += election / 2
	h.acknowledge(2, 2, sent)
	h.Expect(h.rep.Status().LeaseEnd).To(BeNumerically("<", sent+election))
	h.now = sent + election
	actions := h.step(replicator.Event{Proposals: []replicator.Proposal{{ID: 1, Data: []byte("x")}}})
	h.Expect(actions.LeadershipLost).To(BeTrue())
	h.Expect(actions.Refused).To(Equal([]uint64{1}))
}

func TestVoterWithRecentLeaderContactRefusesVote(t *testing.T) {
	h := newHarness(t, savedLog())
	vote := &messenger.Vote{Route: h.routeFrom(2), Last: 5, LastTerm: 5}
	vote.Term = 7
	h.now = election - tick
	h.Expect(h.step(replicator.Event{Message: vote}).SendAfterSync).To(BeEmpty())
	h.Expect(h.rep.Status().State.Term).To(BeEquivalentTo(1))
	h.now = election
	actions := h.step(replicator.Event{Message: vote})
	h.Expect(actions.Send).To(BeEmpty(), "a vote must be sent only after it is saved")
	h.Expect(actions.State.Vote).To(BeEquivalentTo(2))
	h.Expect(actions.SendAfterSync).To(HaveLen(1))
}

// forcedFlags returns the Forced flag of each vote request in actions.
func forcedFlags(actions replicator.Actions) []bool {
	var forced []bool
	for _, s := range actions.SendAfterSync {
		if v, ok := s.Body.(*messenger.Vote); ok {
			forced = append(forced, v.Forced)
		}
	}
	return forced
}

func TestOnlyLeadershipTransferForcesVotes(t *testing.T) {
	h := newHarness(t, savedLog())
	stale := &messenger.Stand{Route: h.routeFrom(2)}
	stale.Term--
	h.Expect(forcedFlags(h.step(replicator.Event{Message: stale}))).To(BeEmpty())
	transfer := &messenger.Stand{Route: h.routeFrom(2)}
	h.Expect(forcedFlags(h.step(replicator.Event{Message: transfer}))).To(Equal([]bool{true, true}))
	h.now += 2 * election
	h.step(replicator.Event{})
	pre := h.routeFrom(2)
	pre.Term++
	actions := h.step(replicator.Event{Message: &messenger.Voted{Route: pre, Pre: true, Granted: true}})
	h.Expect(forcedFlags(actions)).To(Equal([]bool{false, false}))
}

func TestDelayedSnapshotKeepsLaterEntries(t *testing.T) {
	h := newHarness(t, savedLog(1, 1, 1))
	actions := h.step(replicator.Event{Message: &messenger.Install{Route: h.routeFrom(2), Index: 3, IndexTerm: 1, Members: *voters()}})
	h.Expect(actions.Install).To(BeNil())
	h.Expect(actions.SendAfterSync[0].Body).To(HaveField("Done", true))
	h.Expect(h.rep.Status().Last).To(BeEquivalentTo(4))
}

func TestDelayedFoundIsRefused(t *testing.T) {
	h := newHarness(t, replicator.Saved{})
	probe := func(disk uint64) uint64 {
		actions := h.step(replicator.Event{Message: &messenger.Probe{Route: messenger.Route{From: member(disk)}}})
		return actions.Send[len(actions.Send)-1].Body.(*messenger.Probed).Token
	}
	found := func(token uint64) replicator.Role {
		h.step(replicator.Event{Message: &messenger.Found{
			Route: messenger.Route{From: member(11), To: 1, Group: group}, Token: token,
			Entry: messenger.Entry{Index: 1, Term: 1, Members: voters()},
		}})
		return h.rep.Status().Role
	}
	staleToken := probe(1)
	currentToken := probe(11) // the node's disk was lost and replaced
	h.Expect(found(staleToken)).To(Equal(replicator.Outside))
	h.Expect(found(currentToken)).To(Equal(replicator.Follower))
}

func TestOutsiderJoinsOnlyGroupThatHasCommitted(t *testing.T) {
	h := newHarness(t, replicator.Saved{})
	msg := &messenger.Append{Route: messenger.Route{From: member(2), To: 1, Group: group, Term: 1}}
	h.step(replicator.Event{Message: msg})
	h.Expect(h.rep.Status().State.Group).To(BeZero())
	msg.Commit = 1
	h.step(replicator.Event{Message: msg})
	h.Expect(h.rep.Status().State.Group).To(BeEquivalentTo(group))
}

func TestLostVoterIsRemovedBeforeReplacementVotes(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	h.acknowledge(2, 2, h.now)
	nextHeartbeat := func() replicator.Actions {
		h.now += heartbeat
		actions := h.step(replicator.Event{})
		h.acknowledge(2, h.rep.Status().Last, h.now)
		return actions
	}
	h.step(replicator.Event{Message: &messenger.Probe{Route: messenger.Route{From: member(13)}}})
	nextHeartbeat()
	h.Expect(h.rep.Status().Members.Learners).To(Equal([]messenger.Member{member(13)}))
	nextHeartbeat()
	h.Expect(h.rep.Status().Members.Voters).To(Equal(voters().Voters), "the learner holds no entries yet")
	h.acknowledge(13, h.rep.Status().Last, h.now)
	nextHeartbeat()
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2)}))
	h.acknowledge(13, h.rep.Status().Last, h.now)
	nextHeartbeat()
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2), member(13)}))
}

func TestMemberAddressIsUpdated(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	h.acknowledge(2, 2, h.now)
	moved := member(3)
	moved.Address = "elsewhere"
	vote := &messenger.Vote{Route: h.routeFrom(3), Pre: true}
	vote.From = moved
	h.now += heartbeat
	h.step(replicator.Event{Message: vote})
	h.now += heartbeat
	h.acknowledge(2, 2, h.now)
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2), moved}))
}

func TestLeaderCountsOwnEntriesOnlyOnceSynced(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	h.acknowledge(2, 2, h.now)
	actions := h.rep.Step(h.now, replicator.Event{Proposals: []replicator.Proposal{{ID: 1, Data: []byte("x")}}})
	h.acknowledge(2, 3, h.now)
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(2))
	for _, s := range actions.SendAfterSync {
		h.step(replicator.Event{Message: s.Body})
	}
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(3))
}

func TestMembersChangeOneAtATime(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	h.acknowledge(2, 2, h.now)
	h.acknowledge(3, 2, h.now)
	change := func(id uint64, node string) replicator.Actions {
		return h.step(replicator.Event{Change: &replicator.Change{ID: id, Verb: replicator.Remove, Node: node}})
	}
	h.Expect(change(1, "c").Accepted).To(HaveLen(1))
	h.Expect(change(2, "b").Refused).To(Equal([]uint64{2}))
}

// followLeader has the replica acknowledge a message of disk 2, the leader of the present
// term, and returns the state that is saved before the acknowledgement.
func (h *harness) followLeader() replicator.HardState {
	actions := h.step(replicator.Event{Message: &messenger.Append{Route: h.routeFrom(2), Prev: 1, PrevTerm: 1, Stamp: h.now}})
	for _, s := range actions.Send {
		h.Expect(s.Body).NotTo(BeAssignableToTypeOf(&messenger.Appended{}), "the leader must be saved before it is acknowledged")
	}
	h.Expect(actions.SendAfterSync).To(HaveLen(1))
	h.Expect(actions.State).NotTo(BeNil())
	return *actions.State
}

func (h *harness) grantsVote(disk, term uint64) bool {
	vote := &messenger.Vote{Route: h.routeFrom(disk), Pre: true, Last: 5, LastTerm: 5}
	vote.Term = term
	for _, s := range h.step(replicator.Event{Message: vote}).SendAfterSync {
		if v, ok := s.Body.(*messenger.Voted); ok {
			return v.Granted
		}
	}
	return false
}

// Guards against a wait for a lease that has ended: the leader's own vote request shows that
// it has restarted. A delayed request of the election that it won shows nothing.
func TestVoteOfFormerLeaderIsGrantedDespiteRecentContact(t *testing.T) {
	for name, restarted := range map[string]bool{"following": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, savedLog())
			saved := savedLog()
			saved.State = h.followLeader()
			if restarted {
				h = newHarness(t, saved)
			}
			h.now += tick
			h.Expect(h.grantsVote(3, 2)).To(BeFalse(), "another voter knows nothing of the leader's end")
			h.Expect(h.grantsVote(2, 1)).To(BeFalse(), "a request of the leader's own term may be older than its lease")
			h.Expect(h.grantsVote(3, 2)).To(BeFalse(), "and does not end that lease")
			h.Expect(h.grantsVote(2, 2)).To(BeTrue())
			h.Expect(h.grantsVote(3, 2)).To(BeTrue(), "the lease that this voter supported has ended")
		})
	}
}

func TestFormerLeaderStandsAtOnceAfterRestart(t *testing.T) {
	h := newHarness(t, savedLog())
	h.becomeLeader()
	saved := savedLog()
	saved.State = h.rep.Status().State
	h.Expect(saved.State.Leader).To(BeEquivalentTo(1))
	h = newHarness(t, saved)
	preVotes := func(actions replicator.Actions) (n int) {
		for _, s := range actions.Send {
			if v, ok := s.Body.(*messenger.Vote); ok && v.Pre {
				n++
			}
		}
		return n
	}
	h.Expect(preVotes(h.step(replicator.Event{}))).To(Equal(2))
	probe := &messenger.Probe{Route: h.routeFrom(3)}
	h.Expect(preVotes(h.step(replicator.Event{Message: probe}))).To(Equal(2), "a voter that started later looks for a leader")
	probe.Group++
	h.Expect(preVotes(h.step(replicator.Event{Message: probe}))).To(BeZero())
}

// A voter without a record of a leader, as of a build that wrote none, waits for a whole
// election timeout.
func TestRestartedVoterWithoutRecordRefusesVotes(t *testing.T) {
	h := newHarness(t, savedLog())
	h.now = election - tick
	h.Expect(h.grantsVote(2, 2)).To(BeFalse())
	h.now = election
	h.Expect(h.grantsVote(2, 2)).To(BeTrue())
}
