package conductor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/watcher"
)

// needsEvacuation reports whether the evacuated zones of a view differ from the adopted ones.
func (c *control) needsEvacuation(v *watcher.View) bool {
	switch {
	case v == nil:
		return false
	case c.view == nil:
		return v.Evacuated != nil && len(v.Evacuated.Zones) > 0
	default:
		return v.Evacuated != c.view.Evacuated
	}
}

// adoptEvacuated adopts the current view if its evacuated zones differ, without waiting for a
// request or for viewRefreshInterval.
func (c *control) adoptEvacuated() {
	if c.needsEvacuation(c.cfg.View()) {
		c.refreshView()
		c.deliverPlacements()
	}
}

// withoutEvacuated marks the targets of a view that are in evacuated zones as leaving, and
// returns the slice. Router and ganger get targets through it only.
func (c *control) withoutEvacuated(v *watcher.View, targets []messenger.Target) []messenger.Target {
	c.evacuated = nil
	if v.Evacuated == nil || len(v.Evacuated.Zones) == 0 {
		return targets
	}
	c.evacuated = map[string][]string{}
	for i := range targets {
		t := &targets[i]
		if !t.Leaving && v.Evacuated.Find(t.Zone) != nil && !slices.Contains(c.evacuated[t.Service], t.Zone) {
			c.evacuated[t.Service] = append(c.evacuated[t.Service], t.Zone)
		}
	}
	return v.Evacuated.Mark(targets)
}

// whyNoTarget states that all targets of a service are in evacuated zones. It returns an empty
// string if that is not so.
func (c *control) whyNoTarget(service string) string {
	zones := c.evacuated[service]
	if len(zones) == 0 || c.scheduler.Router.HasTargets(service) {
		return ""
	}
	return fmt.Sprintf("all targets are in evacuated availability zones (%s)", strings.Join(slices.Sorted(slices.Values(zones)), ", "))
}

// logEvacuated logs the zones that are evacuated, and those that have returned, with a view in
// place of another one.
func (c *control) logEvacuated(old, v *watcher.View) {
	var before *messenger.Evacuated
	if old != nil {
		before = old.Evacuated
	}
	if v.Evacuated == before {
		return
	}
	for _, z := range zonesWithout(v.Evacuated, before) {
		c.zoneLog(v, z).Warn("zone evacuated")
	}
	for _, z := range zonesWithout(before, v.Evacuated) {
		c.zoneLog(v, z).Info("zone returned")
	}
	n := 0
	if v.Evacuated != nil {
		n = len(v.Evacuated.Zones)
	}
	metrics.GetOrRegisterGauge("entry.evacuated", c.cfg.Metrics).Update(int64(n))
}

// zonesWithout returns the evacuations of a whose zones b does not have.
func zonesWithout(a, b *messenger.Evacuated) []messenger.Evacuation {
	if a == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.Zones), func(z messenger.Evacuation) bool { return b.Find(z.Zone) != nil })
}

// zoneLog returns the log entry for a zone: its targets that serve requests, and the time since
// the evacuation was ordered by the clock of the leading keeper.
func (c *control) zoneLog(v *watcher.View, z messenger.Evacuation) *logrus.Entry {
	n := 0
	for i := range v.Targets {
		t := &v.Targets[i]
		if _, serves := v.Config.Services[t.Service]; serves && t.Zone == z.Zone {
			n++
		}
	}
	return c.cfg.Log.WithFields(logrus.Fields{
		"zone": z.Zone, "operator": z.Operator, "targets": n, "age": c.cfg.Now().Sub(time.Unix(0, z.Since)).Milliseconds(),
	})
}

// isEvacuated reports whether the zone of a target is evacuated by the latest view, which the
// control goroutine may not have adopted yet.
func (cd *Conductor) isEvacuated(t messenger.Target) bool {
	v := cd.cfg.View()
	return v != nil && v.Evacuated.Find(t.Zone) != nil
}

// checkEvacuated returns errTargetHeld if nothing may be sent to a target of a pick because its
// zone was evacuated after the pick. The next placement adopts the view first, so it picks
// other targets.
func (cd *Conductor) checkEvacuated(pick router.Pick) error {
	held := cd.isEvacuated(pick.Target)
	for _, t := range pick.Helpers {
		held = held || cd.isEvacuated(t)
	}
	if !held {
		return nil
	}
	cd.meter.count("evacuated.held")
	return errTargetHeld
}

// beforeRun records the start of a request at a target with an agent. Reservation and record take
// time, in which the target's zone may be evacuated.
func (x *execution) beforeRun(ctx context.Context, t messenger.Target) error {
	if err := x.claim(ctx, t.ID); err != nil {
		return err
	}
	return x.cd.checkEvacuated(router.Pick{Target: t})
}

// checkMember returns errTargetHeld if the zone of a gang's member is evacuated. The ganger gets
// the remaining targets before it replaces the member.
func (g *gang) checkMember(s *segment) error {
	if !g.cd.isEvacuated(messenger.Target{Zone: s.zone}) {
		return nil
	}
	g.cd.meter.count("evacuated.held")
	g.cd.control.do(func() {
		g.cd.control.refreshView()
		g.cd.control.offerCandidates(g.r.Service, g.r.Model)
	})
	return errTargetHeld
}
