package replicator_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/replicator"
)

// TestMain fixes the seed and the length of the random runs, so that results are
// reproducible. Longer runs set the flags on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "120", "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func drawNode(t *rapid.T, c *cluster) *node {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
}

func newRandomCluster(t *rapid.T) *cluster {
	n := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "nodes")
	return newCluster(rapid.Uint64().Draw(t, "seed"), n, t.Fatalf)
}

// actions returns the faults and the work that every random run draws from.
func actions(c *cluster) map[string]func(*rapid.T) {
	run := func(t *rapid.T) {
		c.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tick)
	}
	work := func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			drawNode(t, c).propose()
			drawNode(t, c).startRead()
			c.run(2 * tick)
		}
	}
	return map[string]func(*rapid.T){
		"run": run, "run2": run, "work": work, "work2": work,
		"faults": func(t *rapid.T) {
			c.faults = faults{
				drop: rapid.IntRange(0, 300).Draw(t, "drop"), duplicate: rapid.IntRange(0, 300).Draw(t, "duplicate"),
				skipSync: rapid.IntRange(0, 700).Draw(t, "skipSync"),
				crash:    rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "crash"),
				maxDelay: time.Duration(rapid.IntRange(0, 40).Draw(t, "delay")) * tick,
			}
		},
		"cut": func(t *rapid.T) { c.cutLinks[[2]int{drawNode(t, c).index, drawNode(t, c).index}] = true },
		"partition": func(t *rapid.T) {
			a, b := drawNode(t, c).index, drawNode(t, c).index
			c.cutLinks[[2]int{a, b}], c.cutLinks[[2]int{b, a}] = true, true
		},
		"isolate": func(t *rapid.T) {
			n := drawNode(t, c)
			for _, o := range c.nodes {
				c.cutLinks[[2]int{n.index, o.index}], c.cutLinks[[2]int{o.index, n.index}] = true, true
			}
		},
		"clear-faults": func(*rapid.T) {
			c.heal()
			c.run(5 * election)
		},
		"links-up": func(*rapid.T) { c.cutLinks = map[[2]int]bool{} },
		"kill":     func(t *rapid.T) { drawNode(t, c).kill() },
		"start": func(t *rapid.T) {
			if n := drawNode(t, c); n.rep == nil {
				n.start()
			}
		},
		"resign":   func(*rapid.T) { c.stepAll(replicator.Event{TransferLeadership: true}) },
		"freeze":   func(t *rapid.T) { drawNode(t, c).frozen = true },
		"unfreeze": func(t *rapid.T) { drawNode(t, c).frozen = false },
		"compact":  func(t *rapid.T) { drawNode(t, c).takeSnapshot() },
	}
}

// addDiskActions adds the loss of a disk and the removal of a node, once a leader has
// reported the group as repaired, and swaps between the disks of the node that lost one last.
func addDiskActions(c *cluster, all map[string]func(*rapid.T)) {
	all["wipe"] = func(t *rapid.T) {
		if c.removing == nil && c.isRepaired() {
			n := drawNode(t, c)
			n.replaceDisk()
			n.start()
		}
	}
	all["remove"] = func(t *rapid.T) {
		if c.removing == nil && c.isRepaired() {
			c.removing = drawNode(t, c)
			c.changeMembers(replicator.Remove, c.removing.name)
		}
	}
	all["add"] = func(*rapid.T) {
		if c.removing != nil {
			c.changeMembers(replicator.Add, c.removing.name)
		}
		if c.isRepaired() {
			c.removing = nil
		}
	}
	all["swap"] = func(t *rapid.T) {
		if n := c.nodes[c.lastWiped]; c.removing == nil && len(n.removedDisks) > 0 {
			n.swapDisk(rapid.IntRange(0, len(n.removedDisks)-1).Draw(t, "disk"))
			n.start()
		}
	}
}

func checkInvariants(t *testing.T, clocksStop bool) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRandomCluster(t)
		c.clocksStop = clocksStop
		c.run(10 * election)
		all := actions(c)
		addDiskActions(c, all)
		t.Repeat(all)
		c.expectProgress()
	})
}

func TestGroupKeepsInvariants(t *testing.T) { checkInvariants(t, false) }

// Stopped clocks invalidate leases, but must not violate any other invariant.
func TestGroupToleratesStoppedClocks(t *testing.T) { checkInvariants(t, true) }

func TestFoundingFormsOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRandomCluster(t)
		all := actions(c)
		all["wipe"] = func(t *rapid.T) {
			if len(c.groups) == 0 {
				n := drawNode(t, c)
				n.replaceDisk()
				n.start()
			}
		}
		t.Repeat(all)
	})
}
