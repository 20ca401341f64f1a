package conductor

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/router"
)

// errTargetHeld ends an attempt before its request is sent: its target has said that it
// leaves, or has asked for a pause, since it was picked.
var errTargetHeld = coder.Errorf(coder.Leaving, "target held before the request was sent")

// recordLeaving records that a target said in its answer to a request that it leaves.
func (c *control) recordLeaving(request string, pick router.Pick) {
	c.do(func() {
		if !c.scheduler.Router.MarkLeaving(c.cfg.Now(), pick.Target) {
			return
		}
		c.holdBegan(request, pick).Info("target leaves")
		c.deliverPlacements()
	})
}

// recordPause records that a target asked in its answer to a request that this process send
// it no others for d.
func (c *control) recordPause(request string, pick router.Pick, d time.Duration) {
	c.do(func() {
		until, extended := c.scheduler.Router.Pause(c.cfg.Now(), pick.Target, d)
		if !extended {
			return
		}
		c.holdBegan(request, pick).WithFields(logrus.Fields{"asked": d.String(), "until": until}).Info("target asked for a pause")
		c.deliverPlacements()
	})
}

// holdBegan counts a hold and returns the log entry for it.
func (c *control) holdBegan(request string, pick router.Pick) *logrus.Entry {
	(&meter{registry: c.cfg.Metrics}).count("holds")
	return c.cfg.Log.WithFields(logrus.Fields{
		"target": pick.Target.ID, "incarnation": pick.Target.Incarnation, "service": pick.Target.Service, "request": request,
	})
}

// logEndedHolds logs the holds that have ended since the last call.
func (c *control) logEndedHolds(now time.Time) {
	for _, h := range c.scheduler.Router.EndedHolds(now) {
		c.cfg.Log.WithFields(logrus.Fields{
			"target": h.Target, "leaving": h.Leaving, "until": h.Until, "age": h.Until.Sub(h.Since).Milliseconds(),
		}).Info("hold on target ended")
	}
}

// checkPauses returns the error to refuse a request with if all targets pause to which it
// could be sent after an attempt at the picked one.
func (x *execution) checkPauses(pick router.Pick) (err error) {
	c, t := x.cd.control, newTicket(x.r, append(slices.Clone(x.exclude), pick.Target.ID))
	c.do(func() { err = c.scheduler.CheckPauses(c.cfg.Now(), t) })
	return err
}

// checkHolds returns errTargetHeld if a target of a pick takes no requests any more.
func (c *control) checkHolds(pick router.Pick) (err error) {
	c.do(func() {
		now := c.cfg.Now()
		held := c.scheduler.Router.Held(now, pick.Target)
		for _, t := range pick.Helpers {
			held = held || c.scheduler.Router.Held(now, t)
		}
		if held {
			err = errTargetHeld
		}
	})
	return err
}
