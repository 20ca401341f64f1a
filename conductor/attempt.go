package conductor

import (
	"fmt"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// newAttempt returns the next attempt, at a target picked at the given time. started is called
// with the time from then to each chunk.
func (x *execution) newAttempt(pick router.Pick, placed time.Time, started func(time.Duration)) *Attempt {
	events := x.events()
	a := &Attempt{
		ID: fmt.Sprintf("%s-%d", x.r.ID, x.placements), Request: x.r, Target: pick.Target, Helpers: pick.Helpers,
		Remaining: x.remaining(), LastEventID: x.r.LastEventID, Repeated: slices.Contains(x.addresses, pick.Target.Address),
		Emit: func(c messenger.Chunk) error {
			if !x.gotChunk {
				x.r.Trace.Wait = x.cd.cfg.Now().Sub(placed)
			}
			x.answering.Store(true)
			started(x.cd.cfg.Now().Sub(placed))
			x.observeChunk()
			if c.Status != 0 {
				x.status = c.Status
			}
			err := x.r.Answer.Chunk(c)
			x.recordEvents(events)
			return err
		},
		ReportLoad:  func(l messenger.Load) { x.cd.control.recordLoad(pick, l) },
		ReportLimit: func(rate float64) { x.cd.control.recordLimit(placed, pick, rate) },

		ReportLeaving: func() { x.cd.control.recordLeaving(x.r.CallerID, pick) },
		ReportPause:   func(d time.Duration) { x.cd.control.recordPause(x.r.CallerID, pick, d) },
		ReserveRetry: func(err error) bool {
			ok := x.checkPauses(pick) == nil && x.cd.control.reserveRetry(x.retryCase(err))
			x.retryReserved.Store(ok)
			return ok
		},
	}
	x.addresses = append(x.addresses, pick.Target.Address)
	a.FirstTimeout, a.IdleTimeout = x.timeouts()
	if x.r.Answer.LastEventID != nil && x.r.Answer.LastEventID() != "" {
		a.LastEventID = x.r.Answer.LastEventID()
	}
	x.blamedHelper, x.targetAlive = nil, false
	x.answering.Store(false)
	return a
}
