package conductor

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/watcher"
)

// Guards against capacity that counts targets of evacuated zones.
func TestCapacityCountsRemainingTargets(t *testing.T) {
	withHolds(t, Config{}, zoned(engineTargets()), func(b *holdBed) {
		c := b.cd.control
		capacity := func() (out router.Capacity) {
			c.do(func() {
				c.refreshView()
				out = c.scheduler.Router.Capacity("s", false)
			})
			return out
		}
		all := capacity()
		b.evacuate(zoneOf("t2"))
		half := capacity()
		b.Expect(half.Targets).To(Equal(1))
		b.Expect(2 * half.PrefillRate).To(Equal(all.PrefillRate))
		b.evacuate()
		b.Expect(capacity()).To(Equal(all))
	})
}

// zonedTargets returns a view of n targets in six zones of which one is evacuated.
func zonedTargets(n int) *watcher.View {
	v := twoTargets()
	v.Targets = nil
	for i := range n {
		v.Targets = append(v.Targets, messenger.Target{ID: fmt.Sprintf("t%04d", i), Service: "s", Zone: fmt.Sprint("z", i%6), Incarnation: 1, Slots: 4})
	}
	v.Evacuated = &messenger.Evacuated{Index: 1, Zones: []messenger.Evacuation{{Zone: "z3"}}}
	return v
}

// Guards against a check before each send that allocates, and against a mark of the targets that
// allocates for each of them.
func TestEvacuationAllocations(t *testing.T) {
	v := zonedTargets(850)
	cd := &Conductor{cfg: Config{View: func() *watcher.View { return v }}, meter: &meter{registry: metrics.NewRegistry()}}
	pick := router.Pick{Target: v.Targets[0], Helpers: v.Targets[6:8]}
	if n := testing.AllocsPerRun(100, func() { _ = cd.checkEvacuated(pick) }); n > 0 {
		t.Errorf("%v allocations in a check, want none", n)
	}
	c, targets := &control{}, make([]messenger.Target, len(v.Targets))
	if n := testing.AllocsPerRun(100, func() { c.withoutEvacuated(v, targets[:copy(targets, v.Targets)]) }); n > 8 {
		t.Errorf("%v allocations in the mark of 850 targets, want at most 8", n)
	}
}

func BenchmarkCheckEvacuated(b *testing.B) {
	v := zonedTargets(850)
	cd := &Conductor{cfg: Config{View: func() *watcher.View { return v }}, meter: &meter{registry: metrics.NewRegistry()}}
	pick := router.Pick{Target: v.Targets[0], Helpers: v.Targets[6:8]}
	for b.Loop() {
		_ = cd.checkEvacuated(pick)
	}
}

func BenchmarkMarkEvacuated(b *testing.B) {
	v, c := zonedTargets(850), &control{}
	targets := make([]messenger.Target, len(v.Targets))
	for b.Loop() {
		c.withoutEvacuated(v, targets[:copy(targets, v.Targets)])
	}
}
