package scaler

import (
	"maps"
	"slices"

	"bramleyshunt/messenger"
)

// Samples sums up the targets by service and lane, in order of both. Targets that
// leave, and engines that have loaded nothing, do not count as active; a group of
// only such targets has a sample without load.
func Samples(targets []messenger.Target) []Sample {
	sums := map[Key]*Sample{}
	for i := range targets {
		t := &targets[i]
		k := Key{Service: t.Service, Lane: t.Lane}
		m := sums[k]
		if m == nil {
			m = &Sample{Key: k}
			sums[k] = m
		}
		if !t.Leaving && !t.Empty {
			m.add(&t.Load)
		}
	}
	out := make([]Sample, 0, len(sums))
	for _, k := range slices.SortedFunc(maps.Keys(sums), compare) {
		out = append(out, *sums[k])
	}
	return out
}

func (m *Sample) add(l *messenger.Load) {
	m.Active++
	m.Waiting += l.Waiting
	m.Used += l.Used
	m.Memory += l.Memory
	m.Running += l.Running
	m.Speed += l.Speed
}
