package conductor

import (
	"slices"

	"bramleyshunt/router"
)

// excludeSuspectTargets adds to the excluded targets those that run a suspect request,
// so that one suspect cannot take down the others with its target. It returns exclude
// unchanged if no target of the service, in the regions if there are any, would be left.
func (c *control) excludeSuspectTargets(service string, exclude []string, regions ...string) []string {
	if c.view == nil {
		return exclude
	}
	all := slices.Clone(exclude)
	for _, target := range c.suspects {
		if target != "" && !slices.Contains(all, target) {
			all = append(all, target)
		}
	}
	now := c.cfg.Now()
	for _, t := range c.view.ByService[service] {
		if router.InRegions(t, regions) && !slices.Contains(all, t.ID) && !c.scheduler.Router.Held(now, t) && c.view.Evacuated.Find(t.Zone) == nil {
			return all
		}
	}
	return exclude
}
