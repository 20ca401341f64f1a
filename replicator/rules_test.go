package replicator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const group = 9

// hand drives the replica with disk 1 of a group of the disks 1, 2 and 3.
type hand struct {
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

func newHand(t *testing.T, saved replicator.Saved) *hand {
	return &hand{Gomega: NewWithT(t), rep: replicator.New(0, replicator.Config{
		Self: member(1), Peers: voters().Voters, Heartbeat: heartbeat, Election: election,
	}, saved)}
}

// formed is a saved log whose first entry founds the group; the others have the given terms.
func formed(terms ...uint64) replicator.Saved {
	s := replicator.Saved{State: replicator.State{Group: group, Term: 1}}
	s.Entries = []messenger.Entry{{Index: 1, Term: 1, Members: voters()}}
	for i, t := range terms {
		s.State.Term = t
		s.Entries = append(s.Entries, messenger.Entry{Index: uint64(i) + 2, Term: t, Data: []byte("x")})
	}
	return s
}

func (h *hand) step(ev replicator.Event) replicator.Actions {
	act := h.rep.Step(h.now, ev)
	for _, s := range act.After {
		if s.To.Disk == 1 {
			h.rep.Step(h.now, replicator.Event{Message: s.Body})
		}
	}
	return act
}

func (h *hand) from(disk uint64) messenger.Route {
	return messenger.Route{From: member(disk), To: 1, Group: group, Term: h.rep.Status().State.Term}
}

// lead has the replica elected by disk 2.
func (h *hand) lead() {
	h.now += 2 * election
	h.step(replicator.Event{})
	pre := h.from(2)
	pre.Term++
	h.step(replicator.Event{Message: &messenger.Voted{Route: pre, Pre: true, Granted: true}})
	h.step(replicator.Event{Message: &messenger.Voted{Route: h.from(2), Granted: true}})
	h.Expect(h.rep.Status().Role).To(Equal(replicator.Leader))
}

// answer has a disk confirm the log up to match, to a message sent at stamp.
func (h *hand) answer(disk, match uint64, stamp time.Duration) replicator.Actions {
	return h.step(replicator.Event{Message: &messenger.Appended{Route: h.from(disk), Granted: true, Match: match, Stamp: stamp}})
}

func TestEntriesOfEarlierTermsCommitUnderOneOfThisTerm(t *testing.T) {
	h := newHand(t, formed(2))
	h.lead()
	h.answer(2, 2, h.now)
	h.Expect(h.rep.Status().Commit).To(BeZero())
	h.answer(2, 3, h.now)
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(3))
}

func TestReadWaitsForAnswersToLaterMessages(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	early := h.now
	h.answer(2, 2, early)
	h.now += tick
	h.Expect(h.step(replicator.Event{Confirm: 1}).Reads).To(BeEmpty())
	h.Expect(h.answer(2, 2, early).Reads).To(BeEmpty())
	h.Expect(h.answer(2, 2, h.now).Reads).To(Equal([]replicator.Read{{ID: 1, Index: 2, OK: true}}))
}

func TestLeaseCountsFromTheMessageAnswered(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	sent := h.now
	h.now += election / 2
	h.answer(2, 2, sent)
	h.Expect(h.rep.Status().Lease).To(BeNumerically("<", sent+election))
	h.now = sent + election
	act := h.step(replicator.Event{Proposals: []replicator.Proposal{{ID: 1, Data: []byte("x")}}})
	h.Expect(act.Lost).To(BeTrue())
	h.Expect(act.Refused).To(Equal([]uint64{1}))
}

func TestVoterThatMayHaveHeardALeaderKeepsItsVote(t *testing.T) {
	h := newHand(t, formed())
	vote := &messenger.Vote{Route: h.from(2), Last: 5, LastTerm: 5}
	vote.Term = 7
	h.now = election - tick
	h.Expect(h.step(replicator.Event{Message: vote}).After).To(BeEmpty())
	h.Expect(h.rep.Status().State.Term).To(BeEquivalentTo(1))
	h.now = election
	act := h.step(replicator.Event{Message: vote})
	h.Expect(act.Send).To(BeEmpty(), "a vote goes out only after it is saved")
	h.Expect(act.State.Vote).To(BeEquivalentTo(2))
	h.Expect(act.After).To(HaveLen(1))
}

// ballots returns the votes that actions ask for.
func ballots(act replicator.Actions) []bool {
	var forced []bool
	for _, s := range act.After {
		if v, ok := s.Body.(*messenger.Vote); ok {
			forced = append(forced, v.Forced)
		}
	}
	return forced
}

func TestOnlyTheWishOfTheLeaderForcesVotes(t *testing.T) {
	h := newHand(t, formed())
	late := &messenger.Stand{Route: h.from(2)}
	late.Term--
	h.Expect(ballots(h.step(replicator.Event{Message: late}))).To(BeEmpty())
	wish := &messenger.Stand{Route: h.from(2)}
	h.Expect(ballots(h.step(replicator.Event{Message: wish}))).To(Equal([]bool{true, true}))
	h.now += 2 * election
	h.step(replicator.Event{})
	pre := h.from(2)
	pre.Term++
	act := h.step(replicator.Event{Message: &messenger.Voted{Route: pre, Pre: true, Granted: true}})
	h.Expect(ballots(act)).To(Equal([]bool{false, false}))
}

func TestLateSnapshotKeepsEntriesAfterIt(t *testing.T) {
	h := newHand(t, formed(1, 1, 1))
	act := h.step(replicator.Event{Message: &messenger.Install{Route: h.from(2), Index: 3, IndexTerm: 1, Members: *voters()}})
	h.Expect(act.Install).To(BeNil())
	h.Expect(act.After[0].Body).To(HaveField("Done", true))
	h.Expect(h.rep.Status().Last).To(BeEquivalentTo(4))
}

func TestLateFoundIsRefused(t *testing.T) {
	h := newHand(t, replicator.Saved{})
	probe := func(disk uint64) uint64 {
		act := h.step(replicator.Event{Message: &messenger.Probe{Route: messenger.Route{From: member(disk)}}})
		return act.Send[len(act.Send)-1].Body.(*messenger.Probed).Token
	}
	found := func(token uint64) replicator.Role {
		h.step(replicator.Event{Message: &messenger.Found{
			Route: messenger.Route{From: member(11), To: 1, Group: group}, Token: token,
			Entry: messenger.Entry{Index: 1, Term: 1, Members: voters()},
		}})
		return h.rep.Status().Role
	}
	old := probe(1)
	last := probe(11) // the node's disk was lost and replaced
	h.Expect(found(old)).To(Equal(replicator.Outside))
	h.Expect(found(last)).To(Equal(replicator.Follower))
}

func TestOutsiderJoinsOnlyWhatHasCommitted(t *testing.T) {
	h := newHand(t, replicator.Saved{})
	msg := &messenger.Append{Route: messenger.Route{From: member(2), To: 1, Group: group, Term: 1}}
	h.step(replicator.Event{Message: msg})
	h.Expect(h.rep.Status().State.Group).To(BeZero())
	msg.Commit = 1
	h.step(replicator.Event{Message: msg})
	h.Expect(h.rep.Status().State.Group).To(BeEquivalentTo(group))
}

func TestLostVoterIsRemovedBeforeItsSuccessorVotes(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	h.answer(2, 2, h.now)
	wait := func() replicator.Actions {
		h.now += heartbeat
		act := h.step(replicator.Event{})
		h.answer(2, h.rep.Status().Last, h.now)
		return act
	}
	h.step(replicator.Event{Message: &messenger.Probe{Route: messenger.Route{From: member(13)}}})
	wait()
	h.Expect(h.rep.Status().Members.Learners).To(Equal([]messenger.Member{member(13)}))
	wait()
	h.Expect(h.rep.Status().Members.Voters).To(Equal(voters().Voters), "the learner holds nothing yet")
	h.answer(13, h.rep.Status().Last, h.now)
	wait()
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2)}))
	h.answer(13, h.rep.Status().Last, h.now)
	wait()
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2), member(13)}))
}

func TestMemberThatMovedIsFoundAtItsNewAddress(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	h.answer(2, 2, h.now)
	moved := member(3)
	moved.Address = "elsewhere"
	vote := &messenger.Vote{Route: h.from(3), Pre: true}
	vote.From = moved
	h.now += heartbeat
	h.step(replicator.Event{Message: vote})
	h.now += heartbeat
	h.answer(2, 2, h.now)
	h.Expect(h.rep.Status().Members.Voters).To(Equal([]messenger.Member{member(1), member(2), moved}))
}

func TestOwnEntriesCountOnlyOnceSynced(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	h.answer(2, 2, h.now)
	act := h.rep.Step(h.now, replicator.Event{Proposals: []replicator.Proposal{{ID: 1, Data: []byte("x")}}})
	h.answer(2, 3, h.now)
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(2))
	for _, s := range act.After {
		h.step(replicator.Event{Message: s.Body})
	}
	h.Expect(h.rep.Status().Commit).To(BeEquivalentTo(3))
}

func TestMembersChangeOneAtATime(t *testing.T) {
	h := newHand(t, formed())
	h.lead()
	h.answer(2, 2, h.now)
	h.answer(3, 2, h.now)
	change := func(id uint64, node string) replicator.Actions {
		return h.step(replicator.Event{Change: &replicator.Change{ID: id, Verb: replicator.Remove, Node: node}})
	}
	h.Expect(change(1, "c").Accepted).To(HaveLen(1))
	h.Expect(change(2, "b").Refused).To(Equal([]uint64{2}))
}
