package replicator_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/replicator"
)

// leader returns the node that leads with a lease; nil for none.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.rep == nil {
			continue
		}
		if s := n.rep.Status(); s.Role == replicator.Leader && s.Lease > w.now {
			return n
		}
	}
	return nil
}

// sever cuts what the node sends, what it receives, or both.
func (w *world) sever(n *node, sends, receives bool) {
	for _, o := range w.nodes {
		w.cut[[2]int{n.at, o.at}] = sends
		w.cut[[2]int{o.at, n.at}] = receives
	}
}

func TestCutOffReplicaLeavesTheTermAlone(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "mute": {true, false}, "deaf": {false, true}} {
		for _, leads := range []bool{true, false} {
			role := map[bool]string{true: "leader", false: "follower"}[leads]
			t.Run(role+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				w := newWorld(5, 3, t.Fatalf)
				w.run(10 * election)
				n := w.leader()
				if !leads {
					n = w.nodes[(n.at+1)%3]
				}
				w.sever(n, cut[0], cut[1])
				w.run(30 * election)
				now := w.leader()
				g.Expect(now).NotTo(BeNil())
				g.Expect(now == n).To(BeFalse(), "the severed replica leads")
				term := now.rep.Status().State.Term
				now.propose()
				w.run(election)
				w.sever(n, false, false)
				w.run(10 * election)
				g.Expect(w.leader() == now).To(BeTrue(), "another replica leads after the return")
				g.Expect(now.rep.Status().State.Term).To(Equal(term))
				g.Expect(n.applied).To(Equal(now.applied))
			})
		}
	}
}

// A leader that lost one follower keeps leading: the follower that both reach
// has heard it and gives no vote.
func TestCutBetweenLeaderAndOneFollowerChangesNothing(t *testing.T) {
	for _, ways := range []int{1, 2} {
		g := NewWithT(t)
		w := newWorld(6, 3, t.Fatalf)
		w.run(10 * election)
		n := w.leader()
		o := w.nodes[(n.at+1)%3]
		term := n.rep.Status().State.Term
		w.cut[[2]int{n.at, o.at}] = true
		w.cut[[2]int{o.at, n.at}] = ways == 2
		w.run(30 * election)
		g.Expect(w.leader() == n).To(BeTrue())
		g.Expect(n.rep.Status().State.Term).To(Equal(term))
	}
}
