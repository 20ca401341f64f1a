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
	// deadRefusals is how many connections in a row a target must refuse before
	// its incarnation is taken for ended.
	deadRefusals = 2
	// reportTimeout bounds the wait for one report.
	reportTimeout = time.Second
	// downMisses is how many reports in a row may be missed before the target
	// gets no new work.
	downMisses = 3
	// suspectTries bounds how often a suspect is reported.
	suspectTries = 5
)

// health is what the reports say of the target.
type health struct {
	down    bool // no new work
	misses  int  // reports missed in a row
	refused int  // of them, connections refused in a row
}

// miss counts a missed report and returns true if the target must be taken for dead.
func (h *health) miss(err error) bool {
	h.misses++
	h.refused++
	if coder.Of(err).Run != coder.NotRun {
		h.refused = 0
	}
	h.down = h.down || h.refused >= deadRefusals || h.misses >= downMisses
	return h.refused >= deadRefusals
}

// requestReport asks for a report at once.
func (a *Agent) requestReport() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// watch asks the target for reports and reconciles them with the records.
func (a *Agent) watch() {
	t := time.NewTicker(a.cfg.Every)
	defer t.Stop()
	for {
		a.look()
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		case <-a.urgent:
		}
	}
}

func (a *Agent) look() {
	asked := a.cfg.Now()
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	rep, err := a.engine.Report(ctx)
	var free []string
	_ = a.step(func(now time.Time) {
		if err != nil {
			a.missed(now, err)
		} else {
			free = a.reported(now, asked, rep)
		}
		a.tidy(now)
	})
	for _, id := range free {
		a.count("freed")
		a.freeEngine(id)
	}
}

// missed takes a failed report, on the control goroutine.
func (a *Agent) missed(now time.Time, err error) {
	was := a.health.down
	if a.health.miss(err) {
		a.lost(a.reserver.MarkDown(now))
	}
	if a.health.down && !was {
		a.count("down")
		a.cfg.Log.WithError(err).Warn("target doesn't answer; refusing new work")
		a.kick()
	}
}

// reported takes a report, on the control goroutine, and returns the attempts
// that the engine must free.
func (a *Agent) reported(now, asked time.Time, rep driver.Report) []string {
	if a.health.down {
		a.cfg.Log.Info("target answers; taking work")
	}
	a.health = health{}
	a.report = rep
	r := reserver.Report{Requested: asked, Incarnation: rep.Incarnation, Used: rep.Used, Speed: rep.Speed, Pace: rep.Pace, Live: rep.Live}
	if a.cfg.Settings.Target.Memory <= 0 {
		r.Memory = rep.Memory
	}
	out := a.reserver.Reconcile(now, &r)
	if out.Restarted {
		a.count("restarts")
		a.cfg.Log.WithField("incarnation", a.reserver.Incarnation).Warn("engine restarted")
		a.kick()
	}
	a.lost(out.Lost)
	if a.plain() || !a.owner(now) {
		return nil
	}
	return out.Free
}

// tidy ends leases, orphans and kept answers, on the control goroutine.
func (a *Agent) tidy(now time.Time) {
	for _, id := range a.reserver.Tick(now) {
		a.count("lapsed")
		a.discard(id)
	}
	for id, at := range a.attempts {
		if a.reserver.Phase(id) == reserver.Running && at.orphan(now) >= a.cfg.Orphan {
			a.count("orphaned")
			at.stop(&coder.Error{Code: coder.Cancelled, Run: coder.Ran, Text: "no reader came back"})
		}
	}
	a.sweep(now)
	a.gauge(a.reserver.Load(now))
}

func (a *Agent) gauge(l messenger.Load) {
	for name, n := range map[string]int{"waiting": l.Waiting, "running": l.Running, "used": l.Used, "memory": l.Memory} {
		metrics.GetOrRegisterGauge("agent."+name, a.cfg.Metrics).Update(int64(n))
	}
}

// lost fails the attempts that ended with the target's incarnation and reports
// them as suspects.
func (a *Agent) lost(all []reserver.LostAttempt) {
	for _, l := range all {
		a.count("lost")
		if at := a.attempts[l.Attempt]; at != nil {
			at.stop(&coder.Error{Code: coder.TargetLost, Run: coder.Ran, Text: "the target's incarnation ended"})
		}
		if a.cfg.Call != nil && l.Fingerprint != 0 {
			a.wg.Go(func() { a.suspect(l) })
		}
	}
}

// suspect reports a request that may have crashed the target.
func (a *Agent) suspect(l reserver.LostAttempt) {
	target := a.cfg.Settings.Target.ID
	if target == "" {
		target = a.cfg.Settings.Node
	}
	m := &messenger.Suspect{Fingerprint: l.Fingerprint, Target: target, Incarnation: l.Incarnation}
	for range suspectTries {
		ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Every)
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
