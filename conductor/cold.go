package conductor

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/ganger"
	"bramleyshunt/ramper"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

// coldBounds returns the bounds on the requests to the targets of each service that declares
// what its cold targets tolerate.
func (c *control) coldBounds(cfg *configurer.Configurer) map[string]ramper.Limit {
	if cfg == nil {
		return nil
	}
	var out map[string]ramper.Limit
	for name, s := range cfg.Services {
		if s.Cold <= 0 {
			continue
		}
		if out == nil {
			out = map[string]ramper.Limit{}
		}
		out[name] = ramper.Limit{
			Cold: s.Cold, Bound: s.Cold*max(1, c.cfg.ColdOverage) + max(0, c.cfg.ColdSlack), ColdTime: seconds(s.ColdTime, 0),
		}
	}
	return out
}

// updateShares passes the entries in the view to the router, which divide the bounds on
// requests to targets. It is called without requests too: how long this process has been in
// the view decides on its share.
func (c *control) updateShares(now time.Time) {
	v := c.cfg.View()
	if v == nil {
		return
	}
	entries := []string{c.cfg.Settings.Node}
	if c.cfg.Entries != nil {
		entries = c.cfg.Entries(v)
	}
	c.scheduler.Router.RecordEntries(now, c.cfg.Settings.Node, entries)
	c.logColdChanges(now)
}

// logColdChanges logs the targets that have become cold or warm, and updates the metrics.
func (c *control) logColdChanges(now time.Time) {
	if n := c.scheduler.Deferred; n > 0 {
		c.scheduler.Deferred = 0
		metrics.GetOrRegisterCounter("entry.cold.deferred", c.cfg.Metrics).Inc(int64(n))
	}
	r := &c.scheduler.Router
	changes := r.ColdChanges(now)
	if len(changes) == 0 {
		return
	}
	metrics.GetOrRegisterGauge("entry.cold.targets", c.cfg.Metrics).Update(int64(r.ColdTargets()))
	for _, x := range changes {
		t := r.Target(x.Target)
		log := c.cfg.Log.WithFields(logrus.Fields{
			"target": x.Target, "zone": t.Zone, "service": t.Service, "source": x.Source.String(), "for": x.For.Milliseconds(),
			"age": x.Age.Milliseconds(), "entries": r.KnownEntries(),
		})
		if x.Cold {
			log.Info("target cold")
		} else {
			log.Info("target warm")
		}
	}
}

// checkShare returns errTargetHeld if this entry's share of the target has shrunk since the
// request was placed. Without a Config.Exchange, the request is sent right after this.
func (a *attempt) checkShare() (err error) {
	if !a.ticket.Bounded() {
		return nil
	}
	c := a.x.cd.control
	c.do(func() {
		now := c.cfg.Now()
		switch {
		case !c.scheduler.MaySend(now, a.ticket, a.pick):
			err = errTargetHeld
		case c.cfg.Exchange == nil:
			c.scheduler.Sending(now, a.ticket, a.pick)
		}
	})
	return err
}

// reportCold sets the functions of an attempt that keep the bound on requests to its target.
func (a *attempt) reportCold(out *Attempt) {
	if !a.ticket.Bounded() {
		return
	}
	c, t, pick := a.x.cd.control, a.ticket, a.pick
	out.ReportSent = func() { c.do(func() { c.scheduler.Sending(c.cfg.Now(), t, pick) }) }
	out.ReportCold = func(d time.Duration) { c.do(func() { c.scheduler.Router.RecordCold(c.cfg.Now(), pick, d) }) }
}

// recordLoss records that a target broke off a request.
func (c *control) recordLoss(pick router.Pick) {
	c.do(func() { c.scheduler.Router.Lost(c.cfg.Now(), pick) })
}

// unavailable returns the targets that the relay must not pick for a ticket, and false if it
// must not be asked.
func (c *control) unavailable(t *scheduler.Ticket, pick router.Pick) (ids []string, ok bool) {
	c.do(func() { ids, ok = c.scheduler.Unavailable(c.cfg.Now(), t, pick) })
	return ids, ok
}

// segmentShare is the request of a segment at a target with a bound. It belongs to the control
// goroutine.
type segmentShare struct {
	pick     router.Pick
	reserved bool // not sent yet
	bounded  bool
}

// reserveShare counts the request of a segment at its target. It fails if the bound on
// requests leaves nothing for it now.
func (g *gang) reserveShare(s *segment, a ganger.Action) (err error) {
	c := g.cd.control
	c.do(func() {
		pick, ok := c.scheduler.Router.PickTarget(c.cfg.Now(), a.Target)
		if !ok {
			err = &coder.Error{Code: coder.Busy, Run: coder.NotRun, Text: "the target has got the requests that this entry may send it now"}
			return
		}
		bounded := pick.Target.ID != "" && c.scheduler.Router.Bounded(pick)
		s.share = segmentShare{pick: pick, reserved: bounded, bounded: bounded}
	})
	return err
}

// spendShare records that the request of a segment is sent.
func (g *gang) spendShare(s *segment) {
	c := g.cd.control
	c.do(func() {
		if s.share.reserved {
			s.share.reserved = false
			c.scheduler.Router.Sending(c.cfg.Now(), s.share.pick)
		}
	})
}

// releaseShare gives back what the request of a segment that is over holds.
func (g *gang) releaseShare(s *segment) {
	c := g.cd.control
	c.do(func() {
		switch {
		case !s.share.bounded:
		case s.share.reserved:
			c.scheduler.Router.Unsent(s.share.pick)
		default:
			c.scheduler.Router.Unanswered(s.share.pick)
		}
		s.share = segmentShare{}
	})
}
