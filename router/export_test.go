package router

// RegionIndexes returns the number of region sets that the index of a service keeps.
func (r *Router) RegionIndexes(service string) int { return len(r.byName[service].byRegions) }
