package configurer

import "slices"

// AllowedRegions returns the regions in which both lists allow a request to be served, sorted.
// An empty list allows every region. It returns no regions if there is no restriction, and
// false if the lists have no region in common.
func AllowedRegions(a, b []string) (regions []string, ok bool) {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil, true
	case len(a) == 0:
		regions = slices.Clone(b)
	default:
		regions = slices.Clone(a)
	}
	if len(a) > 0 && len(b) > 0 {
		regions = slices.DeleteFunc(regions, func(r string) bool { return !slices.Contains(b, r) })
	}
	slices.Sort(regions)
	return slices.Compact(regions), len(regions) > 0
}
