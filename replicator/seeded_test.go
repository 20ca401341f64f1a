package replicator_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/replicator"
)

// replaceNode removes a node permanently and starts another one with an empty disk.
func (c *cluster) replaceNode(n *node) *node {
	n.kill()
	n.removed = true
	return c.addNode()
}

// addNode starts another node, whose peers are only the seeds.
func (c *cluster) addNode() *node {
	n := &node{c: c, index: len(c.nodes), name: fmt.Sprintf("n%d", len(c.nodes)), joins: true}
	c.nodes = append(c.nodes, n)
	n.replaceDisk()
	n.start()
	return n
}

// remaining returns the nodes that were not removed permanently.
func (c *cluster) remaining() []*node {
	var out []*node
	for _, n := range c.nodes {
		if !n.removed {
			out = append(out, n)
		}
	}
	return out
}

// allNodesVote reports whether a leader has exactly the remaining nodes as voters, each with
// all committed entries.
func (c *cluster) allNodesVote() bool {
	all := c.remaining()
	for _, n := range all {
		if n.rep == nil || n.frozen {
			return false
		}
	}
	n := c.leader()
	if n == nil {
		return false
	}
	s := n.rep.Status()
	if !s.Repaired || len(s.Members.Voters) != len(all) {
		return false
	}
	for _, m := range s.Members.Voters {
		found := false
		for _, o := range all {
			found = found || o.disk == m.Disk
		}
		if !found {
			return false
		}
	}
	return true
}

// expectAllNodesVote checks that all remaining nodes become voters once faults end.
func (c *cluster) expectAllNodesVote() {
	c.heal()
	for range 60 {
		if c.allNodesVote() {
			break
		}
		c.run(election)
	}
	if !c.allNodesVote() {
		c.fail("not all nodes became voters after all faults ended")
	}
	before := c.maxAcked
	for range 3 { // the first round may meet a leader that is transferring its leadership
		for _, n := range c.remaining() {
			n.propose()
		}
		c.run(4 * election)
	}
	if c.maxAcked <= before {
		c.fail("no proposal accepted after all faults ended")
	}
}

// Nodes start in any order with three seeds, one of which may be delayed or cut off.
func TestSeededFoundingFormsOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSeededCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), 3, t.Fatalf)
		t.Repeat(actions(c))
		c.expectAllNodesVote()
	})
}

// addMemberActions adds nodes that start, leave permanently, join or lose their disks, the
// latter three only while all nodes are voters.
func addMemberActions(c *cluster, all map[string]func(*rapid.T)) {
	all["start"] = func(t *rapid.T) {
		if n := drawNode(t, c); n.rep == nil && !n.removed {
			n.start()
		}
	}
	all["replace"] = func(t *rapid.T) {
		if n := drawNode(t, c); c.allNodesVote() && !n.removed && len(c.nodes) < 9 {
			c.replaceNode(n)
		}
	}
	all["join"] = func(*rapid.T) {
		if c.allNodesVote() && len(c.remaining()) < 6 {
			c.addNode()
		}
	}
	all["wipe"] = func(t *rapid.T) {
		if n := drawNode(t, c); c.allNodesVote() && !n.removed {
			n.joins = true
			n.replaceDisk()
			n.start()
		}
	}
}

// Any node, seeds included, may be replaced by an empty one at another address, and nodes
// may be added, while processes are killed and links are cut.
func TestSeededGroupKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSeededCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "nodes"), 3, t.Fatalf)
		c.run(20 * election)
		all := actions(c)
		addMemberActions(c, all)
		t.Repeat(all)
		c.expectAllNodesVote()
	})
}

func TestAllSeedsCanBeReplacedInTurn(t *testing.T) {
	g := NewWithT(t)
	c := newSeededCluster(3, 3, 3, t.Fatalf)
	c.run(20 * election)
	g.Expect(c.allNodesVote()).To(BeTrue())
	for i := range 2 {
		c.replaceNode(c.nodes[i])
		c.expectAllNodesVote()
	}
	c.replaceNode(c.nodes[2])
	c.run(20 * election)
	g.Expect(c.leader().rep.Status().Members.Voters).To(HaveLen(3))
	g.Expect(c.leader().rep.Status().Role).To(Equal(replicator.Leader))
}
