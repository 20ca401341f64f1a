package reserver

import (
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
)

// Report is an engine's report on its own state.
type Report struct {
	Requested   time.Time // when the report was requested
	Incarnation uint64    // of the engine
	Memory      int       // tokens; zero if not reported
	Used        int       // tokens used by requests and holds; zero if not reported
	Speed       int       // prefill tokens per second; zero if not reported
	Pace        int       // decode tokens per second and request; zero if not reported
	Live        []string  // attempts that the engine runs or holds KV cache for
}

// LostAttempt is an attempt that was running when the target's incarnation ended.
type LostAttempt struct {
	Attempt     string
	Fingerprint uint64
	Incarnation uint64 // of the target
	Ended       time.Time
}

// Reconciled states what the caller must do after a report.
type Reconciled struct {
	Restarted bool          // the engine incarnation has changed
	Free      []string      // attempts that the engine holds without a live record
	Lost      []LostAttempt // to be failed; each is suspected of having crashed the engine
}

// Reconcile compares the engine's report with the records. If the engine has
// restarted, the target's incarnation is incremented, reservations are withdrawn, and
// attempts that ran on the old engine are returned as lost.
func (r *Reserver) Reconcile(now time.Time, rep *Report) Reconciled {
	r.advance(now)
	if rep.Memory > 0 {
		r.Memory = rep.Memory
	}
	r.unaccounted = max(rep.Used-r.expectedUsage(), 0)
	r.meter.reportedSpeed, r.meter.reportedPace = rep.Speed, rep.Pace
	out := Reconciled{Restarted: r.engineIncarnation != 0 && rep.Incarnation != r.engineIncarnation}
	r.engineIncarnation = rep.Incarnation
	if out.Restarted {
		r.endIncarnation()
		out.Lost = append(r.takeBrokenRuns(now), r.missingRuns(rep)...)
	}
	r.down = false
	r.takeBrokenRuns(rep.Requested)
	for _, id := range rep.Live {
		if rec := r.live[id]; rec == nil || rec.phase == Reserved {
			out.Free = append(out.Free, id)
		}
	}
	return out
}

// expectedUsage returns the tokens that the engine should have in use according to the
// records.
func (r *Reserver) expectedUsage() int {
	n := 0
	for _, rec := range r.live {
		if rec.phase != Reserved {
			n += rec.tokens
		}
	}
	return n
}

// MarkDown records that the target refuses connections. It ends the target's
// incarnation and returns the runs that ended with a lost connection since the last
// report. A run whose stream is still open continues, because a target that shuts down
// gracefully refuses connections, too. Call it repeatedly while the target is down.
func (r *Reserver) MarkDown(now time.Time) []LostAttempt {
	r.advance(now)
	r.endIncarnation()
	r.down = true
	return r.takeBrokenRuns(now)
}

// endIncarnation ends the target's incarnation unless the target is already marked
// down: reservations are withdrawn and holds end.
func (r *Reserver) endIncarnation() {
	if r.down {
		return
	}
	r.Incarnation++
	for _, rec := range r.sortedLive() {
		switch rec.phase {
		case Reserved:
			r.withdraw(rec, coder.WrongIncarnation)
		case Holding:
			r.closeRecord(rec, Ended)
		}
	}
}

// missingRuns returns the attempts that started before the report was requested and
// are missing from the new engine.
func (r *Reserver) missingRuns(rep *Report) []LostAttempt {
	var lost []LostAttempt
	for _, rec := range r.sortedLive() {
		if rec.phase != Running || rec.reportedLost || rec.started.After(rep.Requested) || slices.Contains(rep.Live, rec.attempt) {
			continue
		}
		rec.reportedLost = true
		lost = append(lost, rec.lostAttempt(r.now))
	}
	return lost
}

// takeBrokenRuns removes and returns the runs that ended with a lost connection at or
// before the given time. Callers take them once it is known whether a crash of the
// target ended them.
func (r *Reserver) takeBrokenRuns(until time.Time) []LostAttempt {
	n := 0
	for n < len(r.brokenRuns) && !r.brokenRuns[n].Ended.After(until) {
		n++
	}
	done := r.brokenRuns[:n:n]
	r.brokenRuns = r.brokenRuns[n:]
	return done
}

func (r *record) lostAttempt(now time.Time) LostAttempt {
	return LostAttempt{Attempt: r.attempt, Fingerprint: r.fingerprint, Incarnation: r.incarnation, Ended: now}
}

// sortedLive returns the live records sorted by attempt.
func (r *Reserver) sortedLive() []*record {
	all := make([]*record, 0, len(r.live))
	for _, rec := range r.live {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b *record) int { return strings.Compare(a.attempt, b.attempt) })
	return all
}
