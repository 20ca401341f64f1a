package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/retrier"
)

// nextRetry returns the delay before another attempt, or the error to report if none
// may follow, and the retries that the service has left.
func (c *control) nextRetry(k retrier.Failure) (delay time.Duration, unused float64, err error) {
	c.do(func() {
		now := c.cfg.Now()
		c.updateRetryBudget(now)
		delay, err = c.retrier.Retry(now, k)
		unused = c.retrier.Unused(now, k.Service)
	})
	return delay, unused, err
}

// checkRetry returns an error if reserveRetry would refuse.
func (c *control) checkRetry(k retrier.Failure) (err error) {
	c.do(func() {
		now := c.cfg.Now()
		c.updateRetryBudget(now)
		err = c.retrier.Check(now, k)
	})
	return err
}

// reserveRetry reports whether an attempt may start before another one has failed, and
// charges it to the retry budget.
func (c *control) reserveRetry(k retrier.Failure) (ok bool) {
	c.do(func() {
		now := c.cfg.Now()
		c.updateRetryBudget(now)
		ok = c.retrier.Reserve(now, k)
	})
	return ok
}

// updateRetryBudget sets this entry's part of the retries that all entries together
// may accumulate.
func (c *control) updateRetryBudget(now time.Time) {
	if c.cfg.MaxRetryBudget == nil {
		return
	}
	from := c.retrier.MaxBudget()
	c.retrier.SetMaxBudget(now, c.cfg.MaxRetryBudget(c.view))
	if to := c.retrier.MaxBudget(); to != from {
		c.cfg.Log.WithFields(logrus.Fields{"from": from, "to": to, "entries": len(c.entries())}).Info("retry budget limit changed")
	}
}
