package scheduler

import (
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// RecordCached records the cached tokens of a complete answer. It reports whether these were
// fewer than the pick expected. The answer must have a usage.
func (s *Scheduler) RecordCached(now time.Time, p router.Pick, u messenger.Usage) (wrong bool) {
	return s.Router.RecordCached(now, p, u)
}
