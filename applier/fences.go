package applier

import (
	"cmp"
	"maps"
	"slices"
)

// MaxFences is the number of targets whose own fencing token is recorded.
const MaxFences = 16384

// fences holds the highest fencing token issued for each target. A token is the index
// of its log entry, so tokens rise across all targets and leaders.
type fences struct {
	issued map[string]uint64
	floor  uint64 // highest token of the targets that were evicted
}

func (f *fences) issue(target string, index uint64) {
	if f.issued == nil {
		f.issued = map[string]uint64{}
	}
	f.issued[target] = index
	if len(f.issued) > MaxFences {
		f.evictLowest(len(f.issued) - MaxFences + MaxFences/8)
	}
}

// evictLowest drops the n lowest tokens and raises the floor to the highest of them.
func (f *fences) evictLowest(n int) {
	targets := slices.SortedFunc(maps.Keys(f.issued), func(a, b string) int {
		return cmp.Compare(f.issued[a], f.issued[b])
	})
	for _, t := range targets[:n] {
		f.floor = f.issued[t]
		delete(f.issued, t)
	}
}

// highest returns a token that is at least the highest one issued for the target and
// below any that will be issued.
func (f *fences) highest(target string) uint64 { return max(f.floor, f.issued[target]) }
