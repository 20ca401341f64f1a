package checker

import "strconv"

// maxRegions bounds the regions that a path or an account lists.
const maxRegions = 64

// checkRegions checks a list of region names.
func (c *Checker) checkRegions(regions []string, at ...string) {
	if len(regions) > maxRegions {
		c.fault(at, "%d regions, at most %d are allowed", len(regions), maxRegions)
	}
	for i, r := range regions {
		if !nameRE.MatchString(r) {
			c.fault(append(at[:len(at):len(at)], strconv.Itoa(i)), "%.64q is no region: a name is a letter or digit and up to 62 letters, digits, '.', '_' or '-'", r)
		}
	}
}
