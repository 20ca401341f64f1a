package replicator_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/replicator"
)

// replace removes a node for good and starts another one with an empty disk.
func (w *world) replace(n *node) *node {
	n.kill()
	n.gone = true
	return w.join()
}

// join starts one more node, which knows the seeds alone.
func (w *world) join() *node {
	n := &node{w: w, at: len(w.nodes), name: fmt.Sprintf("n%d", len(w.nodes)), joins: true}
	w.nodes = append(w.nodes, n)
	n.wipe()
	n.start()
	return n
}

// present returns the nodes that are not gone for good.
func (w *world) present() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.gone {
			out = append(out, n)
		}
	}
	return out
}

// grown reports whether a leader has all nodes that are there as voters and no
// others, each with all that is committed.
func (w *world) grown() bool {
	all := w.present()
	for _, n := range all {
		if n.rep == nil || n.frozen {
			return false
		}
	}
	n := w.leader()
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

// expectGrown has all nodes that are there become the voters once faults end.
func (w *world) expectGrown() {
	w.heal()
	for range 60 {
		if w.grown() {
			break
		}
		w.run(election)
	}
	if !w.grown() {
		w.fail("the group did not take in all nodes after all faults ended")
	}
	before := w.acked
	for range 3 { // the first may meet a leader that is handing over
		for _, n := range w.present() {
			n.propose()
		}
		w.run(4 * election)
	}
	if w.acked <= before {
		w.fail("no proposal accepted after all faults ended")
	}
}

// Nodes start in any order from three seeds, one of which may be late or cut off.
func TestGrownFoundingMakesOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSeededWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), 3, t.Fatalf)
		t.Repeat(actions(w))
		w.expectGrown()
	})
}

// members lets nodes come, go for good and lose their disks, when the group has all.
func members(w *world, all map[string]func(*rapid.T)) {
	all["start"] = func(t *rapid.T) {
		if n := anyNode(t, w); n.rep == nil && !n.gone {
			n.start()
		}
	}
	all["replace"] = func(t *rapid.T) {
		if n := anyNode(t, w); w.grown() && !n.gone && len(w.nodes) < 9 {
			w.replace(n)
		}
	}
	all["join"] = func(*rapid.T) {
		if w.grown() && len(w.present()) < 6 {
			w.join()
		}
	}
	all["wipe"] = func(t *rapid.T) {
		if n := anyNode(t, w); w.grown() && !n.gone {
			n.joins = true
			n.wipe()
			n.start()
		}
	}
}

// A node may be replaced by an empty one at another address, the seeds too, and
// nodes may be added, while processes are killed and links cut.
func TestGrownGroupKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSeededWorld(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "nodes"), 3, t.Fatalf)
		w.run(20 * election)
		all := actions(w)
		members(w, all)
		t.Repeat(all)
		w.expectGrown()
	})
}

func TestSeedsMayAllBeReplacedInTurn(t *testing.T) {
	g := NewWithT(t)
	w := newSeededWorld(3, 3, 3, t.Fatalf)
	w.run(20 * election)
	g.Expect(w.grown()).To(BeTrue())
	for i := range 2 {
		w.replace(w.nodes[i])
		w.expectGrown()
	}
	w.replace(w.nodes[2])
	w.run(20 * election)
	g.Expect(w.leader().rep.Status().Members.Voters).To(HaveLen(3))
	g.Expect(w.leader().rep.Status().Role).To(Equal(replicator.Leader))
}
