package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
)

const (
	// maxRefusals is the number of consecutively refused connections after which the
	// target's incarnation counts as ended.
	maxRefusals = 2
	// reportTimeout bounds a single poll of the target.
	reportTimeout = time.Second
	// maxMisses is the number of consecutively missed reports after which the target
	// receives no new work.
	maxMisses = 3
	// maxSuspectAttempts bounds the calls made to report one suspect.
	maxSuspectAttempts = 5
)

// health is the state of the target as derived from its reports.
type health struct {
	down    bool // the target receives no new work
	misses  int  // consecutive reports missed
	refused int  // consecutive connections refused, counted in misses, too
}

// recordMiss counts a missed report and returns true if the target's incarnation counts
// as ended.
func (h *health) recordMiss(err error) bool {
	h.misses++
	h.refused++
	if coder.Of(err).Run != coder.NotRun {
		h.refused = 0
	}
	h.down = h.down || h.refused >= maxRefusals || h.misses >= maxMisses
	return h.refused >= maxRefusals
}

// requestReport makes watch poll the target without waiting for the next tick.
func (a *Agent) requestReport() {
	select {
	case a.reportNow <- struct{}{}:
	default:
	}
}

// watch polls the target and reconciles its reports with the agent's records.
func (a *Agent) watch() {
	t := time.NewTicker(a.cfg.ReportInterval)
	defer t.Stop()
	for {
		a.pollReport()
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		case <-a.reportNow:
		}
	}
}

func (a *Agent) pollReport() {
	requested := a.cfg.Now()
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	rep, err := a.engine.Report(ctx)
	var toFree []string
	_ = a.onControl(func(now time.Time) {
		if err != nil {
			a.handleMiss(now, err)
		} else {
			toFree = a.handleReport(now, requested, rep)
		}
		a.expire(now)
	})
	for _, id := range toFree {
		a.count("freed")
		a.freeEngine(id)
	}
}

// handleMiss records a failed poll. It runs on the control goroutine.
func (a *Agent) handleMiss(now time.Time, err error) {
	wasDown := a.health.down
	if a.health.recordMiss(err) {
		a.failLost(a.reserver.MarkDown(now))
	}
	if a.health.down && !wasDown {
		a.count("down")
		a.cfg.Log.WithError(err).Warn("target is unresponsive; refusing new work")
		a.announceNow()
	}
}

// handleReport reconciles a report with the records and returns the attempts that the
// engine must free. It runs on the control goroutine.
func (a *Agent) handleReport(now, requested time.Time, rep driver.Report) []string {
	if a.health.down {
		a.cfg.Log.Info("target is responsive again; accepting new work")
	}
	a.health = health{}
	a.lastReport = rep
	r := reserver.Report{Requested: requested, Incarnation: rep.Incarnation, Used: rep.Used, Speed: rep.PrefillRate, Pace: rep.DecodeRate, Live: rep.Live}
	if a.cfg.Settings.Target.Memory <= 0 {
		r.Memory = rep.Memory
	}
	out := a.reserver.Reconcile(now, &r)
	if out.Restarted {
		a.count("restarts")
		a.cfg.Log.WithField("incarnation", a.reserver.Incarnation).Warn("engine restarted")
		a.announceNow()
	}
	a.failLost(out.Lost)
	if a.isPlain() || !a.ownsTarget(now) {
		return nil
	}
	return out.Free
}

// expire ends lapsed leases and orphaned attempts and drops kept answers. It runs
// on the control goroutine.
func (a *Agent) expire(now time.Time) {
	for _, id := range a.reserver.Tick(now) {
		a.count("lapsed")
		a.freeInBackground(id)
	}
	for id, at := range a.attempts {
		if a.reserver.Phase(id) == reserver.Running && at.unreadFor(now) >= a.cfg.OrphanTimeout {
			a.count("orphaned")
			at.cancel(&coder.Error{Code: coder.Cancelled, Run: coder.Ran, Text: "no reader came back"})
		}
	}
	a.evictAnswers(now)
	a.updateGauges(a.reserver.Load(now))
}

func (a *Agent) updateGauges(l messenger.Load) {
	for name, n := range map[string]int{"waiting": l.Waiting, "running": l.Running, "used": l.Used, "memory": l.Memory} {
		metrics.GetOrRegisterGauge("agent."+name, a.cfg.Metrics).Update(int64(n))
	}
}

// failLost fails attempts that were running when the target's incarnation ended, and
// reports their requests as suspects.
func (a *Agent) failLost(lost []reserver.LostAttempt) {
	for _, l := range lost {
		a.count("lost")
		if at := a.attempts[l.Attempt]; at != nil {
			at.cancel(&coder.Error{Code: coder.TargetLost, Run: coder.Ran, Text: "the target's incarnation ended"})
		}
		if a.cfg.Call != nil && l.Fingerprint != 0 {
			a.wg.Go(func() { a.reportSuspect(l) })
		}
	}
}

// reportSuspect reports a request that may have crashed the target to the leading
// keeper.
func (a *Agent) reportSuspect(l reserver.LostAttempt) {
	m := &messenger.Suspect{Fingerprint: l.Fingerprint, Target: a.targetID(), Incarnation: l.Incarnation}
	for range maxSuspectAttempts {
		ctx, cancel := context.WithTimeout(a.ctx, a.cfg.ReportInterval)
		err := a.cfg.Call(ctx, messenger.KindSuspect, m, &messenger.Proposed{})
		if err == nil {
			a.count("suspects")
			cancel()
			return
		}
		<-ctx.Done()
		cancel()
	}
	a.count("suspects.unreported")
}
