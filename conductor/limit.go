package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// Limits returns the rate limits of targets that this process has observed.
func (cd *Conductor) Limits() (out []messenger.Limit) {
	c := cd.control
	c.do(func() { out = c.scheduler.Router.Limits(c.cfg.Now()) })
	return out
}

// RecordLimits records the rate limits of targets that other entries have observed.
func (cd *Conductor) RecordLimits(limits []messenger.Limit) {
	if len(limits) == 0 {
		return
	}
	c := cd.control
	c.do(func() {
		c.scheduler.Router.RecordPeerLimits(c.cfg.Now(), limits, c.limitChanged)
	})
}

// recordLimit records the rate limit that a target named in its answer to a request sent
// at the given time.
func (c *control) recordLimit(sent time.Time, pick router.Pick, rate float64) {
	c.do(func() {
		if from, to := c.scheduler.Router.RecordLimit(c.cfg.Now(), sent, pick, rate); from != to {
			c.limitChanged(pick.Target.ID, c.cfg.Settings.Node, from, to)
		}
	})
}

// limitChanged logs a rate limit that has changed, as the given entry observed.
func (c *control) limitChanged(target, observer string, from, to float64) {
	c.cfg.Log.WithFields(logrus.Fields{"target": target, "observer": observer, "from": from, "to": to, "entries": len(c.entries())}).Info("target limit changed")
	c.notifySendsChanged()
}

// entries returns the live entries in the view.
func (c *control) entries() []string {
	if c.cfg.Entries == nil || c.view == nil {
		return nil
	}
	return c.cfg.Entries(c.view)
}
