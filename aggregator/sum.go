package aggregator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// Sum adds up counts by target. Targets are sorted, and those without any count are left
// out.
func Sum(all ...[]messenger.Sent) []messenger.Sent {
	sums := map[uint64]messenger.Sent{}
	for _, sends := range all {
		for _, s := range sends {
			sums[s.Target] = sums[s.Target].Plus(s)
		}
	}
	out := make([]messenger.Sent, 0, len(sums))
	for _, target := range slices.Sorted(maps.Keys(sums)) {
		s := sums[target]
		s.InFlight, s.PendingPrefill = max(0, s.InFlight), max(0, s.PendingPrefill)
		s.Memory, s.Unsplit = max(0, s.Memory), max(0, s.Unsplit)
		if !isZero(s) {
			out = append(out, s)
		}
	}
	return out
}

func isZero(s messenger.Sent) bool {
	return s.InFlight <= 0 && s.PendingPrefill <= 0 && s.Memory <= 0
}

// changedSums returns the sums of now that differ from before; a target that has none any
// more has zero counts. Both are sorted by target.
func changedSums(before, now []messenger.Sent) []messenger.Sent {
	var out []messenger.Sent
	for len(before) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(before) > 0 && before[0].Target < now[0].Target:
			out = append(out, messenger.Sent{Target: before[0].Target})
			before = before[1:]
		case len(before) == 0 || now[0].Target < before[0].Target:
			out = append(out, now[0])
			now = now[1:]
		default:
			if now[0] != before[0] {
				out = append(out, now[0])
			}
			before, now = before[1:], now[1:]
		}
	}
	return out
}

// sum adds up reports.
func (a *Aggregator) sum(now time.Time, scope messenger.Scope, reports []*report) messenger.Share {
	out := messenger.Share{Node: a.Node, Scope: scope}
	var sends [][]messenger.Sent
	limits, ejections := map[uint64]messenger.Limit{}, map[uint64]messenger.Ejection{}
	for _, r := range reports {
		sends = append(sends, r.Sends)
		age := int(now.Sub(r.at).Milliseconds())
		out.Oldest = max(out.Oldest, age+r.Oldest)
		if r.Scope == messenger.ScopeGroup || r.Scope == messenger.ScopeFleet {
			out.Entries += r.Entries
		} else if r.Node != "" {
			out.Entries++
		}
		mergeEjections(ejections, r, age)
		mergeLimits(limits, r, age)
	}
	for _, target := range slices.Sorted(maps.Keys(ejections)) {
		out.Ejections = append(out.Ejections, ejections[target])
	}
	out.Sends = Sum(sends...)
	for _, target := range slices.Sorted(maps.Keys(limits)) {
		out.Limits = append(out.Limits, limits[target])
	}
	return out
}

// mergeEjections adds the ejections of a report that was received some milliseconds ago and that
// have not ended.
func mergeEjections(all map[uint64]messenger.Ejection, r *report, age int) {
	for _, e := range r.Ejections {
		e.Left -= age
		e.Observer = cmp.Or(e.Observer, r.Node)
		if e.Left > all[e.Target].Left {
			all[e.Target] = e
		}
	}
}

// mergeLimits adds the limits of a report that was received some milliseconds ago, the ones
// observed last.
func mergeLimits(all map[uint64]messenger.Limit, r *report, age int) {
	for _, l := range r.Limits {
		l.Age += age
		l.Observer = cmp.Or(l.Observer, r.Node)
		if known, ok := all[l.Target]; !ok || known.Age > l.Age {
			all[l.Target] = l
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedReports returns reports in the order of their nodes.
func sortedReports(m map[string]*report) []*report {
	out := make([]*report, 0, len(m))
	for _, node := range sortedKeys(m) {
		out = append(out, m[node])
	}
	return out
}
