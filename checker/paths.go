package checker

import (
	"slices"
	"strconv"
	"strings"

	"bramleyshunt/configurer"
)

const (
	maxTries  = 16
	maxWeight = 1 << 20
)

var kinds = []string{configurer.KindSafe, configurer.KindUnsafe, configurer.KindStream}

// paths checks each path, and that no two have the same host and prefix.
func (c *Checker) paths() {
	type key struct{ host, prefix string }
	seen := map[key]int{}
	for i, p := range c.merged.Config.Paths {
		c.path(p, "paths", strconv.Itoa(i))
		k := key{strings.ToLower(p.Host), p.Prefix}
		if other, used := seen[k]; used {
			c.fault([]string{"paths", strconv.Itoa(i)}, "host and prefix are those of path %d too", other)
		}
		seen[k] = i
	}
}

func (c *Checker) path(p configurer.Path, at ...string) {
	under := func(name ...string) []string { return slices.Concat(at, name) }
	if !strings.HasPrefix(p.Prefix, "/") || !strings.HasSuffix(p.Prefix, "/") {
		c.fault(under("prefix"), "%q does not begin and end with /", p.Prefix)
	}
	if !slices.Contains(kinds, p.Kind) {
		c.fault(under("kind"), "want one of %q, found %q", kinds, p.Kind)
	}
	if p.Timeout <= 0 {
		c.fault(under("timeout"), "must be above 0")
	}
	c.in(p.Timeout, 0, maxSeconds, under("timeout")...)
	c.in(p.Objective, 0, maxSeconds, under("aim")...)
	c.in(p.Gap, 0, maxSeconds, under("gap")...)
	c.in(float64(p.MaxAttempts), 0, maxTries, under("tries")...)
	c.in(float64(p.Priority), -maxPriority, maxPriority, under("priority")...)
	sum := 0
	for i, s := range p.Split {
		c.in(float64(s.Weight), 0, maxWeight, under("split", strconv.Itoa(i), "weight")...)
		sum += s.Weight
		if _, known := c.merged.Config.Services[s.Service]; !known {
			c.fault(under("split", strconv.Itoa(i), "service"), "service %q is not in services", s.Service)
		}
	}
	if sum <= 0 {
		c.fault(under("split"), "the weights add up to 0")
	}
}
