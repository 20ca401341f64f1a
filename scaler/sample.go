package scaler

import (
	"maps"
	"slices"

	"bramleyshunt/messenger"
)

// Samples sums up the load of the targets by service and lane, ordered by both. It
// does not count targets that are leaving, nor engines without a loaded model; a group
// of only such targets has a sample with no active target and no load.
func Samples(targets []messenger.Target) []Sample {
	sums := map[Key]*Sample{}
	for i := range targets {
		t := &targets[i]
		k := Key{Service: t.Service, Lane: t.Lane}
		s := sums[k]
		if s == nil {
			s = &Sample{Key: k}
			sums[k] = s
		}
		if !t.Leaving && !t.Empty {
			s.add(&t.Load)
		}
	}
	out := make([]Sample, 0, len(sums))
	for _, k := range slices.SortedFunc(maps.Keys(sums), compareKeys) {
		out = append(out, *sums[k])
	}
	return out
}

func (s *Sample) add(l *messenger.Load) {
	s.Active++
	s.Waiting += l.Waiting
	s.Used += l.Used
	s.Memory += l.Memory
	s.Running += l.Running
	s.Speed += l.Speed
}
