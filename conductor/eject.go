package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// failedByTarget reports whether an attempt failed because its target broke it off. An answer of
// the target itself, of whatever status, is none of these failures, nor is an attempt that this
// process has ended.
func (x *execution) failedByTarget(a *attempt, c *coder.Error) bool {
	return c.Code == coder.TargetLost && !a.superseded && a.request.Err() == nil
}

// recordFailure records that a target broke off a request that was sent to it at the given
// time.
func (c *control) recordFailure(request string, pick router.Pick, sent time.Time) {
	c.do(func() {
		left := c.scheduler.Router.RecordFailure(c.cfg.Now(), sent, pick)
		if left == 0 {
			return
		}
		c.ejected(pick.Target.ID, c.cfg.Settings.Node, left, request)
		c.notifySendsChanged()
	})
}

func (c *control) ejected(target, observer string, left time.Duration, request string) {
	(&meter{registry: c.cfg.Metrics}).count("ejections")
	level := logrus.InfoLevel
	if observer != c.cfg.Settings.Node { // the observer logs it; one line an entry would be hundreds a second
		level = logrus.DebugLevel
	}
	c.cfg.Log.WithFields(logrus.Fields{"target": target, "observer": observer, "ms": left.Milliseconds(), "request": request}).Log(level, "target ejected")
}

// Ejections returns the ejections of targets that this process has decided on.
func (cd *Conductor) Ejections() (out []messenger.Ejection) {
	c := cd.control
	c.do(func() { out = c.scheduler.Router.Ejections(c.cfg.Now()) })
	return out
}

// RecordEjections adopts the ejections of targets that other entries have decided on.
func (cd *Conductor) RecordEjections(all []messenger.Ejection) {
	if len(all) == 0 {
		return
	}
	c := cd.control
	c.do(func() {
		c.scheduler.Router.RecordPeerEjections(c.cfg.Now(), all, func(target, observer string, left time.Duration) { c.ejected(target, observer, left, "") })
	})
}
