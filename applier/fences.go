package applier

import (
	"cmp"
	"maps"
	"slices"
)

// MaxFences is the number of targets whose own number is remembered.
const MaxFences = 16384

// fences is the highest fencing number issued for each target. A number is the
// index of its log entry, so numbers rise over all targets and leaders.
type fences struct {
	issued map[string]uint64
	floor  uint64 // highest number of a target that was forgotten
}

func (f *fences) issue(target string, index uint64) {
	if f.issued == nil {
		f.issued = map[string]uint64{}
	}
	f.issued[target] = index
	if len(f.issued) > MaxFences {
		f.forget(len(f.issued) - MaxFences + MaxFences/8)
	}
}

// forget drops the n lowest numbers and raises the floor to the highest of them.
func (f *fences) forget(n int) {
	targets := slices.SortedFunc(maps.Keys(f.issued), func(a, b string) int {
		return cmp.Compare(f.issued[a], f.issued[b])
	})
	for _, t := range targets[:n] {
		f.floor = f.issued[t]
		delete(f.issued, t)
	}
}

// highest returns a number that is at least the highest issued for the target
// and below any that will be issued.
func (f *fences) highest(target string) uint64 { return max(f.floor, f.issued[target]) }
