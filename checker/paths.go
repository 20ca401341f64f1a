package checker

import (
	"slices"
	"strconv"
	"strings"

	"bramleyshunt/configurer"
)

const (
	maxAttempts = 16
	maxWeight   = 1 << 20
)

var pathKinds = []string{configurer.KindSafe, configurer.KindUnsafe, configurer.KindStream}

// checkPaths checks each path and reports paths with the same host and prefix.
func (c *Checker) checkPaths() {
	type key struct{ host, prefix string }
	seen := map[key]int{}
	for i, p := range c.merged.Config.Paths {
		c.checkPath(p, "paths", strconv.Itoa(i))
		k := key{strings.ToLower(p.Host), p.Prefix}
		if other, used := seen[k]; used {
			c.fault([]string{"paths", strconv.Itoa(i)}, "host and prefix are those of path %d too", other)
		}
		seen[k] = i
	}
}

func (c *Checker) checkPath(p configurer.Path, at ...string) {
	subpath := func(name ...string) []string { return slices.Concat(at, name) }
	if !strings.HasPrefix(p.Prefix, "/") || !strings.HasSuffix(p.Prefix, "/") {
		c.fault(subpath("prefix"), "%q does not begin and end with /", p.Prefix)
	}
	if !slices.Contains(pathKinds, p.Kind) {
		c.fault(subpath("kind"), "want one of %q, found %q", pathKinds, p.Kind)
	}
	if p.Timeout <= 0 {
		c.fault(subpath("timeout"), "must be above 0")
	}
	c.checkRange(p.Timeout, 0, maxSeconds, subpath("timeout")...)
	c.checkRange(p.Objective, 0, maxSeconds, subpath("aim")...)
	c.checkRange(p.Gap, 0, maxSeconds, subpath("gap")...)
	c.checkRange(float64(p.MaxAttempts), 0, maxAttempts, subpath("tries")...)
	c.checkRange(float64(p.Priority), -maxPriority, maxPriority, subpath("priority")...)
	c.checkRegions(p.Regions, subpath("regions")...)
	totalWeight := 0
	for i, split := range p.Split {
		c.checkRange(float64(split.Weight), 0, maxWeight, subpath("split", strconv.Itoa(i), "weight")...)
		totalWeight += split.Weight
		if _, known := c.merged.Config.Services[split.Service]; !known {
			c.fault(subpath("split", strconv.Itoa(i), "service"), "service %q is not in services", split.Service)
		}
	}
	if totalWeight <= 0 {
		c.fault(subpath("split"), "the weights add up to 0")
	}
}
