package replicator_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/replicator"
)

// TestMain fixes the seed and the length of the random runs, so that the verdict
// is the same each time. A long run sets the flags on the command line.
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

func anyNode(t *rapid.T, w *world) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

func newRandomWorld(t *rapid.T) *world {
	n := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "nodes")
	return newWorld(rapid.Uint64().Draw(t, "seed"), n, t.Fatalf)
}

// actions are the faults and the work that every random run draws from.
func actions(w *world) map[string]func(*rapid.T) {
	run := func(t *rapid.T) {
		w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tick)
	}
	work := func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			anyNode(t, w).propose()
			anyNode(t, w).confirm()
			w.run(2 * tick)
		}
	}
	return map[string]func(*rapid.T){
		"run": run, "run2": run, "work": work, "work2": work,
		"faults": func(t *rapid.T) {
			w.faults = faults{
				lose: rapid.IntRange(0, 300).Draw(t, "lose"), double: rapid.IntRange(0, 300).Draw(t, "double"),
				unsynced: rapid.IntRange(0, 700).Draw(t, "unsynced"),
				crash:    rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "crash"),
				delay:    time.Duration(rapid.IntRange(0, 40).Draw(t, "delay")) * tick,
			}
		},
		"cut": func(t *rapid.T) { w.cut[[2]int{anyNode(t, w).at, anyNode(t, w).at}] = true },
		"part": func(t *rapid.T) {
			a, b := anyNode(t, w).at, anyNode(t, w).at
			w.cut[[2]int{a, b}], w.cut[[2]int{b, a}] = true, true
		},
		"isolate": func(t *rapid.T) {
			n := anyNode(t, w)
			for _, o := range w.nodes {
				w.cut[[2]int{n.at, o.at}], w.cut[[2]int{o.at, n.at}] = true, true
			}
		},
		"calm": func(*rapid.T) {
			w.heal()
			w.run(5 * election)
		},
		"mend": func(*rapid.T) { w.cut = map[[2]int]bool{} },
		"kill": func(t *rapid.T) { anyNode(t, w).kill() },
		"start": func(t *rapid.T) {
			if n := anyNode(t, w); n.rep == nil {
				n.start()
			}
		},
		"retire":  func(*rapid.T) { w.step(replicator.Event{Retire: true}) },
		"freeze":  func(t *rapid.T) { anyNode(t, w).frozen = true },
		"thaw":    func(t *rapid.T) { anyNode(t, w).frozen = false },
		"compact": func(t *rapid.T) { anyNode(t, w).compact() },
	}
}

// disks lets a node lose its disk, or be removed, when a leader has reported all
// repaired, and the node that lost its disk last change between its disks.
func disks(w *world, all map[string]func(*rapid.T)) {
	all["wipe"] = func(t *rapid.T) {
		if w.out == nil && w.repaired() {
			n := anyNode(t, w)
			n.wipe()
			n.start()
		}
	}
	all["remove"] = func(t *rapid.T) {
		if w.out == nil && w.repaired() {
			w.out = anyNode(t, w)
			w.change(replicator.Remove, w.out.name)
		}
	}
	all["add"] = func(*rapid.T) {
		if w.out != nil {
			w.change(replicator.Add, w.out.name)
		}
		if w.repaired() {
			w.out = nil
		}
	}
	all["swap"] = func(t *rapid.T) {
		if n := w.nodes[w.lost]; w.out == nil && len(n.drawer) > 0 {
			n.swap(rapid.IntRange(0, len(n.drawer)-1).Draw(t, "disk"))
			n.start()
		}
	}
}

func checkGroup(t *testing.T, stopped bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomWorld(t)
		w.stopped = stopped
		w.run(10 * election)
		all := actions(w)
		disks(w, all)
		t.Repeat(all)
		w.expectProgress()
	})
}

func TestGroupKeepsItsPromises(t *testing.T) { checkGroup(t, false) }

// Clocks that stop break leases, and must break nothing else.
func TestGroupOutlivesStoppedClocks(t *testing.T) { checkGroup(t, true) }

func TestFoundingMakesOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomWorld(t)
		all := actions(w)
		all["wipe"] = func(t *rapid.T) {
			if len(w.groups) == 0 {
				n := anyNode(t, w)
				n.wipe()
				n.start()
			}
		}
		t.Repeat(all)
	})
}
