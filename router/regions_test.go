package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// regionSets are the restrictions of requests; the last one names a region without targets.
var regionSets = [][]string{nil, {"a"}, {"b"}, {"a", "b"}, {"a", "c"}, {"mars"}}

// regionFleet is an entry before targets in several regions, and in unknown ones.
type regionFleet struct {
	now     time.Time
	r       router.Router
	targets []messenger.Target
	marked  map[string]bool
	seq     uint64
}

// view puts a view with random targets in force. Targets keep their ids, but may change region.
func (f *regionFleet) view(t *rapid.T) {
	slots, lanes := rapid.Bool().Draw(t, "slots"), rapid.Bool().Draw(t, "lanes")
	f.targets = nil
	f.seq++
	for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
		x := messenger.Target{
			ID: fmt.Sprint("t", i), Service: "s", Incarnation: 1, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			Region: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "region"),
			Load:   messenger.Load{Seq: f.seq, Memory: rapid.SampledFrom([]int{0, 1000, 300000}).Draw(t, "memory"), Speed: 10000},
		}
		if slots {
			x.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		}
		if lanes {
			x.Lane = rapid.SampledFrom([]string{"", router.LaneShort, router.LaneLong}).Draw(t, "lane")
		}
		f.targets = append(f.targets, x)
	}
	f.r.Update(f.now, f.targets)
}

func (f *regionFleet) request(t *rapid.T) router.Request {
	req := router.Request{
		Service: "s", Prompt: rapid.SampledFrom([]int{10, 900, 40000, 200000}).Draw(t, "prompt"), Output: 100,
		Regions:      rapid.SampledFrom(regionSets).Draw(t, "regions"),
		PrefixHashes: []uint64{rapid.Uint64Range(1, 3).Draw(t, "prefix")}, PromptBytes: 4000,
	}
	if rapid.Bool().Draw(t, "predicted") {
		req.Prefill, req.PrefillTargets = time.Duration(req.Prompt)*time.Microsecond*10, rapid.IntRange(1, 6).Draw(t, "split")
		req.Objective, req.MaxGap, req.PassTime = 300*time.Millisecond, 200*time.Millisecond, 20*time.Millisecond
		req.QueueTime = time.Duration(rapid.IntRange(0, 1000).Draw(t, "queued")) * time.Millisecond
	}
	if len(f.targets) > 0 && rapid.Bool().Draw(t, "excluded") {
		req.Exclude = []string{rapid.SampledFrom(f.targets).Draw(t, "exclude").ID}
	}
	return req
}

// inside returns the targets in use that lie in the regions, as the test knows them.
func (f *regionFleet) inside(regions []string) (out []string) {
	for _, x := range f.targets {
		if !x.Leaving && !f.marked[x.ID] && (len(regions) == 0 || slices.Contains(regions, x.Region)) {
			out = append(out, x.ID)
		}
	}
	return out
}

// pick checks the targets picked for a request, and what is said of those that may serve it.
func (f *regionFleet) pick(t *rapid.T) {
	req := f.request(t)
	inside := f.inside(req.Regions)
	f.checkCounts(t, req, inside)
	p, ok := f.r.Pick(f.now, req)
	if !ok {
		return
	}
	for _, x := range append([]messenger.Target{p.Target}, p.Helpers...) {
		if !slices.Contains(inside, x.ID) {
			t.Fatalf("picked %q in region %q for %q, inside are %q", x.ID, x.Region, req.Regions, inside)
		}
	}
	if !p.InRegions(req.Regions) {
		t.Fatalf("pick counts as outside %q: %+v", req.Regions, p)
	}
	f.r.Sent(f.now, p, req)
	if rapid.Bool().Draw(t, "done") {
		f.r.PrefillDone(p, req)
		f.r.Ended(p, req)
	}
}

// checkCounts checks what is said of the targets that may serve a request, of which those inside
// its regions are given.
func (f *regionFleet) checkCounts(t *rapid.T, req router.Request, inside []string) {
	if got := f.r.HasTargets("s", req.Regions...); got != (len(inside) > 0) {
		t.Fatalf("has targets in %q: %v, want those of %q", req.Regions, got, inside)
	}
	for _, long := range []bool{false, true} {
		if n := f.r.Capacity("s", long, req.Regions...).Targets; n > len(inside) {
			t.Fatalf("capacity of %d targets in %q, want at most those of %q", n, req.Regions, inside)
		}
		besides := slices.DeleteFunc(slices.Clone(inside), func(id string) bool { return slices.Contains(req.Exclude, id) })
		if f.r.HasTargetsBesides("s", long, req.Exclude, req.Regions...) && len(besides) == 0 {
			t.Fatalf("a target in %q besides %q, want none", req.Regions, req.Exclude)
		}
		if _, ok := f.r.PromptPauseWait(f.now, "s", long, req.Exclude, req.Regions...); ok && len(besides) == 0 {
			t.Fatalf("a pause in %q, where no target is", req.Regions)
		}
	}
}

// hold has a random target pause, leave, refuse or limit its rate.
func (f *regionFleet) hold(t *rapid.T) {
	if len(f.targets) == 0 {
		return
	}
	x := rapid.SampledFrom(f.targets).Draw(t, "held")
	switch rapid.IntRange(0, 5).Draw(t, "hold") {
	case 0:
		f.r.MarkLeaving(f.now, x)
		f.marked[x.ID] = true
	case 1:
		f.r.Pause(f.now, x, time.Second)
	case 2:
		f.r.Refused(x.ID, f.now.Add(time.Second))
	case 3:
		f.r.RecordLimit(f.now, f.now, router.Pick{Target: x}, 1)
	case 4:
		f.r.RecordPeers(f.now, router.Peers{Entries: 40, Sends: f.r.Counts(router.Pick{Target: x}, f.request(t))})
	default:
		f.r.SetEntries("e", []string{"e", "f", "g"})
	}
}

// Guards against a request that is sent, as a whole or in part, to a target outside the regions
// where it may be served, whatever the view, the load and the state of the targets: picks by
// load, by slots, by cached prefix and for several targets. Pattern: views that move targets
// between regions while requests of all restrictions come.
func TestNoPickIsOutsideTheRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &regionFleet{now: time.Unix(1000, 0), marked: map[string]bool{}}
		f.view(t)
		t.Repeat(map[string]func(*rapid.T){
			"view": f.view, "pick": f.pick, "again": f.pick, "hold": f.hold,
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against indexes of region sets that grow without bound: other entries send such sets.
func TestRegionSetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := &router.Router{}
	r.Update(now, []messenger.Target{{ID: "t", Service: "s", Slots: 1, Incarnation: 1, Region: "a"}})
	for i := range 100000 {
		g.Expect(r.HasTargets("s", fmt.Sprint("r", i))).To(BeFalse())
	}
	g.Expect(r.RegionIndexes("s")).To(BeNumerically("<=", 256))
	g.Expect(r.HasTargets("s", "a")).To(BeTrue())
}

// Guards against requests that may be served anywhere and are kept off targets of unknown
// region, and against restricted ones that are sent there.
func TestTargetOfUnknownRegionServesUnrestrictedRequestsOnly(t *testing.T) {
	g := NewWithT(t)
	r := &router.Router{}
	r.Update(now, []messenger.Target{{ID: "t", Service: "s", Slots: 1, Incarnation: 1}})
	for _, regions := range [][]string{{"a"}, {""}} {
		_, ok := r.Pick(now, router.Request{Service: "s", Prompt: 1, Regions: regions})
		g.Expect(ok).To(BeFalse())
	}
	_, ok := r.Pick(now, router.Request{Service: "s", Prompt: 1})
	g.Expect(ok).To(BeTrue())
}

// newRegionRouter returns a router before n targets that report their slots, in two regions.
func newRegionRouter(n int) (*router.Router, []messenger.Target) {
	r := &router.Router{Seed: 1}
	var targets []messenger.Target
	for i := range n {
		targets = append(targets, messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: slotsPerTarget, Incarnation: 1, Region: string(rune('a' + i%2))})
	}
	r.Update(now, targets)
	return r, targets
}

// Guards against an index of the targets in some regions that is built for each request.
func TestPickInRegionsAllocatesLittle(t *testing.T) {
	const maxAllocs = 2
	r, _ := newRegionRouter(850)
	req := shortRequest
	req.Regions = []string{"a"}
	if n := testing.AllocsPerRun(100, func() { r.Pick(now, req) }); n > maxAllocs {
		t.Errorf("%v allocations, want at most %d", n, maxAllocs)
	}
}

// BenchmarkPickInRegions selects among the targets of one of two regions.
func BenchmarkPickInRegions(b *testing.B) {
	for _, n := range []int{14, 850} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r, _ := newRegionRouter(n)
			req := shortRequest
			req.Regions = []string{"a"}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(now, req)
			}
		})
	}
}

// BenchmarkRegionIndex adopts a view and builds the index of one region, as happens ten times a
// second for each set of regions in use; without regions it adopts the view alone.
func BenchmarkRegionIndex(b *testing.B) {
	for name, regions := range map[string][]string{"none": nil, "one": {"a"}} {
		b.Run("targets=850/regions="+name, func(b *testing.B) {
			r, targets := newRegionRouter(850)
			for b.Loop() {
				r.Update(now, targets)
				r.HasTargets("s", regions...)
			}
		})
	}
}
