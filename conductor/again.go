package conductor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/sleeper"
)

// lostBackoff is how long a target that can't be reached is left alone.
const lostBackoff = time.Second

// again waits before the next attempt, or returns what the caller is told.
func (x *running) again(ctx context.Context, pick router.Pick, err error) error {
	c := coder.Of(err)
	x.cd.meter.count(fmt.Sprintf("attempt.%d", c.Code))
	if err := x.suspect(pick, c); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return err
	}
	if c.Run == coder.NotRun && c.Code != coder.Voided {
		x.refused++
		x.cd.control.refused(x.blamed(pick), aside(c))
	}
	if refusal(c.Code) && c.Run == coder.NotRun && x.r.Via == nil {
		return nil
	}
	k := x.failure(err)
	k.AnswerStarted, k.Reserved = !x.r.Answer.Begin(), x.paid.Swap(false)
	delay, err := x.cd.control.again(k)
	if err != nil {
		return err
	}
	x.exclude = append(x.exclude, x.blamed(pick).Target.ID)
	x.cd.meter.count("retries")
	x.note(pick, c, delay)
	if sleeper.Sleep(ctx, delay) != nil {
		return x.unplaced(ctx)
	}
	return nil
}

// note logs that another target is tried.
func (x *running) note(pick router.Pick, c *coder.Error, delay time.Duration) {
	x.cd.cfg.Log.WithError(c).WithFields(logrus.Fields{
		"request": x.r.Caller, "id": x.r.ID, "target": pick.Target.ID, "blamed": x.blamed(pick).Target.ID, "code": int(c.Code),
		"run": c.Run.Header(), "tries": x.tries, "helpers": len(pick.Helpers), "busy": pick.Running, "delay": delay.Milliseconds(),
	}).Info("attempt failed, trying again")
}

// failure is a failed attempt as the retrier sees it.
func (x *running) failure(err error) retrier.Failure {
	return retrier.Failure{
		Service: x.r.Service, Err: err, NotIdempotent: x.r.Once, Attempts: x.tries, Remaining: x.left(),
		RetryRatio: x.r.Config.Limits.Retries, MaxAttempts: x.most(),
	}
}

// blamed returns the target that a failed attempt is about: the one that was asked,
// unless its refusal names a helper.
func (x *running) blamed(pick router.Pick) router.Pick {
	for _, t := range pick.Helpers {
		if x.fault != "" && (t.ID == x.fault || t.Address == x.fault) {
			return router.Pick{Target: t}
		}
	}
	return pick
}

// most returns how many targets the request's path allows it to be sent to, zero
// for no bound of its own. A refusal does not count: the request did not run.
func (x *running) most() int {
	if x.r.Via == nil {
		return 0
	}
	return max(1, x.r.Via.Tries) + x.refused
}

// suspect reports a request that was running when its target was lost. It
// returns an error once that has happened as often as puts it in quarantine:
// the keepers' word may come too late to keep it from the next target.
func (x *running) suspect(pick router.Pick, c *coder.Error) error {
	if c.Code != coder.TargetLost || c.Run == coder.NotRun || x.alive {
		return nil
	}
	x.cd.report(x.r, pick.Target.ID, pick.Target.Incarnation)
	x.losses++
	if x.losses < crashes(x.r.Config.Limits) {
		return nil
	}
	return &coder.Error{Code: coder.Quarantined, Cause: c}
}

func crashes(l configurer.Limits) int {
	if l.Crashes > 0 {
		return l.Crashes
	}
	return applier.DefaultCrashLimit
}

// report tells the keepers that a request was running when its target was lost.
func (cd *Conductor) report(r *chainer.Request, target string, incarnation uint64) {
	if cd.cfg.Call == nil {
		return
	}
	m := messenger.Suspect{Fingerprint: r.Fingerprint, Target: target, Incarnation: incarnation}
	cd.meter.count("suspects")
	cd.later(func(ctx context.Context) error {
		var out messenger.Proposed
		return cd.cfg.Call(ctx, messenger.KindSuspect, &m, &out)
	})
}

// refusal reports whether a code is a target's answer that it can't take the
// request now, which costs no retry budget.
func refusal(c coder.Code) bool {
	return slices.Contains([]coder.Code{coder.Busy, coder.MemoryFull, coder.Leaving, coder.Overloaded, coder.NotReady}, c)
}

// aside returns how long a target is left alone that did not take a request.
func aside(c *coder.Error) time.Duration {
	if c.Code == coder.TargetLost || c.Code == coder.Silent {
		return lostBackoff
	}
	return c.Retry
}
