package conductor

import (
	"context"
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

// unreachableBackoff is how long no requests are placed on a target that cannot be
// reached.
const unreachableBackoff = time.Second

// prepareRetry waits before the next attempt, or returns the error to report to the
// caller. No attempt runs meanwhile.
func (x *execution) prepareRetry(ctx context.Context, a *attempt, err error) error {
	c := coder.Of(err)
	if ctx.Err() != nil || c.Code == coder.Quarantined || c.Code == coder.PartQuarantined {
		return err
	}
	if err := x.checkTargetLosses(c); err != nil { // of hedges
		return err
	}
	if c.Code == coder.Stale { // this process may not send, to whatever target
		return withRetryAfter(c, notReadyRetryAfter)
	}
	if isRefusal(c.Code) && c.Run == coder.NotRun && x.r.PathConfig == nil {
		return nil
	}
	pick := a.pick
	if held := x.checkPauses(a.blamedPick()); held != nil {
		if c.Run == coder.NotRun {
			return held
		}
		return err
	}
	k := x.retryCase(err)
	k.AnswerStarted = !x.r.Answer.Begin()
	delay, unused, err := x.cd.control.nextRetry(k)
	if err != nil {
		x.logNoRetry(pick, coder.Of(err), unused)
		return err
	}
	x.excludeTarget(a)
	x.cd.meter.count("retries")
	x.logRetry(a, c, delay, unused)
	if sleeper.Sleep(ctx, delay) != nil {
		return x.placementError(ctx, a.ticket)
	}
	return nil
}

func (x *execution) logRetry(a *attempt, c *coder.Error, delay time.Duration, unused float64) {
	pick := a.pick
	x.cd.cfg.Log.WithError(c).WithFields(logrus.Fields{
		"request": x.r.CallerID, "id": x.r.ID, "target": pick.Target.ID, "blamed": a.blamedPick().Target.ID, "code": int(c.Code),
		"run": c.Run.Header(), "tries": x.attempts, "helpers": len(pick.Helpers), "busy": pick.Running, "delay": delay.Milliseconds(),
		"service": x.r.Service, "budget": unused,
	}).Info("attempt failed, trying again")
}

// logNoRetry logs that the budget alone prevents a retry. Other reasons are the code of
// the request's own line.
func (x *execution) logNoRetry(pick router.Pick, c *coder.Error, unused float64) {
	if c.Code != coder.RetryBudget {
		return
	}
	x.cd.meter.count("retries-refused")
	x.cd.cfg.Log.WithFields(logrus.Fields{
		"request": x.r.CallerID, "id": x.r.ID, "target": pick.Target.ID, "tries": x.attempts, "service": x.r.Service, "budget": unused,
	}).Info("no retry: budget spent")
}

// retryCase describes a failed attempt to the retrier.
func (x *execution) retryCase(err error) retrier.Failure {
	return retrier.Failure{
		Service: x.r.Service, Err: err, NonIdempotent: x.r.NonIdempotent, Attempts: x.attempts, Remaining: x.remaining(),
		MaxAttempts: x.maxAttempts(),
	}
}

// maxAttempts returns how many targets the request's path allows the request to be
// sent to, zero for no bound. Refusals are not counted, as the request did not run.
func (x *execution) maxAttempts() int {
	if x.r.PathConfig == nil {
		return 0
	}
	return max(1, x.r.PathConfig.MaxAttempts) + x.refusals
}

// recordTargetLoss reports a request that was running when its target was lost. It
// returns an error once the request has lost as many targets as put it in quarantine:
// the decision of the keepers may arrive too late to keep the request from the next
// target.
func (x *execution) recordTargetLoss(a *attempt, c *coder.Error) error {
	if c.Code != coder.TargetLost || c.Run == coder.NotRun || a.targetAlive {
		return nil
	}
	parts := x.accusedParts(a)
	if x.goneOnAt(a) { // another request ended the target
		x.cd.reportBystander(x.r, a.pick.Target)
		return nil
	}
	x.cd.reportSuspect(x.r, a.pick.Target.ID, a.pick.Target.Incarnation, parts)
	x.targetsLost++
	return x.checkTargetLosses(c)
}

// checkTargetLosses returns an error with code Quarantined and the given cause if the request
// has lost too many targets to be sent to another one.
func (x *execution) checkTargetLosses(cause error) error {
	if x.targetsLost < maxCrashes(x.r.Config.Limits) {
		return nil
	}
	return &coder.Error{Code: coder.Quarantined, Cause: cause}
}

func maxCrashes(l configurer.Limits) int {
	if l.CrashLimit > 0 {
		return l.CrashLimit
	}
	return applier.DefaultCrashLimit
}

// reportSuspect notifies the keepers that a request was running when its target was
// lost, and of the parts that may be the cause.
func (cd *Conductor) reportSuspect(r *chainer.Request, target string, incarnation uint64, parts []uint64) {
	if cd.cfg.Call == nil {
		return
	}
	m := messenger.Suspect{Fingerprint: r.Fingerprint, Target: target, Incarnation: incarnation, Parts: parts}
	cd.meter.count("suspects")
	cd.sendSuspect(r, m)
}

// reportBystander notifies the keepers that a target was lost under a request that is not the
// cause. That tells parts of prompts apart that were running there.
func (cd *Conductor) reportBystander(r *chainer.Request, t messenger.Target) {
	if cd.cfg.Call != nil && len(r.Parts) > 0 {
		cd.sendSuspect(r, messenger.Suspect{Target: t.ID, Incarnation: t.Incarnation})
	}
}

func (cd *Conductor) sendSuspect(r *chainer.Request, m messenger.Suspect) {
	if len(r.Parts) > 0 {
		m.Node, m.Service, m.Sound = cd.cfg.Settings.Node, r.Service, cd.parts.sinceSound(cd.cfg.Now(), r.Service)
	}
	cd.retryInBackground(func(ctx context.Context) error {
		var out messenger.Proposed
		return cd.cfg.Call(ctx, messenger.KindSuspect, &m, &out)
	})
}

// isRefusal reports whether a code means that a target cannot accept the request at
// present. Such refusals cost no retry budget.
func isRefusal(c coder.Code) bool {
	return slices.Contains([]coder.Code{coder.Busy, coder.MemoryFull, coder.Leaving, coder.Overloaded, coder.NotReady}, c)
}

// targetBackoff returns how long no requests are placed on a target that did not run a
// request.
func targetBackoff(c *coder.Error) time.Duration {
	if c.Code == coder.TargetLost || c.Code == coder.Silent {
		return unreachableBackoff
	}
	return c.Retry
}
