package router

import (
	"slices"
	"strings"

	"bramleyshunt/messenger"
)

// maxRegionIndexes bounds the region sets for which the index of a service keeps the targets.
// Sets come from the configuration, but also from other entries.
const maxRegionIndexes = 256

// InRegions reports whether a target lies in one of the regions. Without regions every target
// does. A target of unknown region lies in none.
func InRegions(t messenger.Target, regions []string) bool {
	return len(regions) == 0 || t.Region != "" && slices.Contains(regions, t.Region)
}

// InRegions reports whether all targets of a pick lie in the regions.
func (p Pick) InRegions(regions []string) bool {
	if !InRegions(p.Target, regions) {
		return false
	}
	return !slices.ContainsFunc(p.Helpers, func(t messenger.Target) bool { return !InRegions(t, regions) })
}

// RegionKey identifies a set of regions that is sorted.
func RegionKey(regions []string) string { return strings.Join(regions, ",") }

// index returns the targets of a service that lie in the regions, nil if there are none. Every
// decision on a request is made on this index, so that none uses a target outside. It is kept
// until the targets of the service change.
func (r *Router) index(service string, regions []string) *serviceIndex {
	x := r.byName[service]
	if x == nil || len(regions) == 0 {
		return x
	}
	key := RegionKey(regions)
	if within, ok := x.byRegions[key]; ok {
		return within
	}
	if x.byRegions == nil || len(x.byRegions) >= maxRegionIndexes {
		x.byRegions = map[string]*serviceIndex{}
	}
	within := x.within(regions)
	x.byRegions[key] = within
	return within
}

// within returns the index of the targets in the regions, nil if there are none.
func (x *serviceIndex) within(regions []string) *serviceIndex {
	out := &serviceIndex{}
	for _, s := range x.all {
		if InRegions(s.target, regions) {
			out.add(s)
		}
	}
	if len(out.all) == 0 {
		return nil
	}
	if !x.bySlots {
		out.complete()
		return out
	}
	out.capacities, out.bySlots = [2]Capacity{capacityOf(out.short), capacityOf(out.long)}, true
	for _, s := range x.ranked { // sorted already
		if InRegions(s.target, regions) {
			out.ranked = append(out.ranked, s)
		}
	}
	return out
}
