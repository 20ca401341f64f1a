package replicator_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/replicator"
)

// leader returns the node that leads with a valid lease, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.rep == nil {
			continue
		}
		if s := n.rep.Status(); s.Role == replicator.Leader && s.LeaseEnd > c.now {
			return n
		}
	}
	return nil
}

// cutOff cuts the node's outgoing links, its incoming links, or both.
func (c *cluster) cutOff(n *node, sends, receives bool) {
	for _, o := range c.nodes {
		c.cutLinks[[2]int{n.index, o.index}] = sends
		c.cutLinks[[2]int{o.index, n.index}] = receives
	}
}

func TestIsolatedReplicaDoesNotRaiseTerm(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "outgoing": {true, false}, "incoming": {false, true}} {
		for _, leads := range []bool{true, false} {
			role := map[bool]string{true: "leader", false: "follower"}[leads]
			t.Run(role+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				c := newCluster(5, 3, t.Fatalf)
				c.run(10 * election)
				n := c.leader()
				if !leads {
					n = c.nodes[(n.index+1)%3]
				}
				c.cutOff(n, cut[0], cut[1])
				c.run(30 * election)
				leader := c.leader()
				g.Expect(leader).NotTo(BeNil())
				g.Expect(leader == n).To(BeFalse(), "the isolated replica leads")
				term := leader.rep.Status().State.Term
				leader.propose()
				c.run(election)
				c.cutOff(n, false, false)
				c.run(10 * election)
				g.Expect(c.leader() == leader).To(BeTrue(), "another replica leads after the links are restored")
				g.Expect(leader.rep.Status().State.Term).To(Equal(term))
				g.Expect(n.applied).To(Equal(leader.applied))
			})
		}
	}
}

// A leader that loses contact with one follower keeps leading: the follower that both of
// them reach is in contact with the leader and refuses to vote.
func TestLinkFailureToOneFollowerKeepsLeader(t *testing.T) {
	for _, directions := range []int{1, 2} {
		g := NewWithT(t)
		c := newCluster(6, 3, t.Fatalf)
		c.run(10 * election)
		n := c.leader()
		o := c.nodes[(n.index+1)%3]
		term := n.rep.Status().State.Term
		c.cutLinks[[2]int{n.index, o.index}] = true
		c.cutLinks[[2]int{o.index, n.index}] = directions == 2
		c.run(30 * election)
		g.Expect(c.leader() == n).To(BeTrue())
		g.Expect(n.rep.Status().State.Term).To(Equal(term))
	}
}

// The leader is cut off while its lease is valid, and the other voters restart at once. The
// lease must end before they elect another leader; checkLeaders fails otherwise.
func TestRestartedVotersWaitForLeaseOfIsolatedLeader(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(seed, 3, t.Fatalf)
		c.run(10 * election)
		l := c.leader()
		for _, n := range c.nodes {
			if n != l {
				c.cutLinks[[2]int{n.index, l.index}], c.cutLinks[[2]int{l.index, n.index}] = true, true
				n.kill()
				n.start()
			}
		}
		c.run(10 * election)
		if now := c.leader(); now == nil || now == l {
			t.Fatalf("seed %d: the restarted voters elected no leader", seed)
		}
	}
}
