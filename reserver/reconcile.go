package reserver

import (
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
)

// Report is what an engine says of itself.
type Report struct {
	Asked       time.Time // when the report was asked for
	Incarnation uint64    // of the engine
	Memory      int       // tokens; zero if not told
	Speed       int       // prefill tokens a second; zero if not told
	Pace        int       // decode tokens a second and request; zero if not told
	Live        []string  // attempts that the engine runs or holds KV cache for
}

// Lost is an attempt that was running when the target's incarnation ended.
type Lost struct {
	Attempt     string
	Fingerprint uint64
	Incarnation uint64 // of the target
}

// Reconciled is what must follow from a report.
type Reconciled struct {
	Restarted bool     // the engine is another than before
	Free      []string // attempts that the engine holds but no live record covers
	Lost      []Lost   // to be failed, and suspect of having crashed the engine
}

// Reconcile compares the engine's report with the records. If the engine has
// restarted, the target's incarnation rises, reservations are withdrawn, and
// what ran on the old engine is lost.
func (r *Reserver) Reconcile(now time.Time, rep *Report) Reconciled {
	r.advance(now)
	if rep.Memory > 0 {
		r.Memory = rep.Memory
	}
	r.meter.told, r.meter.toldFor = rep.Speed, rep.Pace
	out := Reconciled{Restarted: r.engine != 0 && rep.Incarnation != r.engine}
	r.engine = rep.Incarnation
	if out.Restarted {
		out.Lost = r.restart(rep.Asked, rep.Live)
	}
	r.unsettled = nil
	for _, id := range rep.Live {
		if rec := r.live[id]; rec == nil || rec.phase == Reserved {
			out.Free = append(out.Free, id)
		}
	}
	return out
}

// Crash tells that the engine can't be reached and must be taken for dead: the
// target's incarnation rises and everything that ran is lost.
func (r *Reserver) Crash(now time.Time) []Lost {
	r.advance(now)
	r.engine = 0
	lost := r.restart(now, nil)
	r.unsettled = nil
	return lost
}

// restart ends the target's incarnation. Attempts started since asked, and those
// that the new engine runs, stay.
func (r *Reserver) restart(asked time.Time, live []string) []Lost {
	r.Incarnation++
	lost := r.unsettled
	for _, rec := range r.sorted() {
		switch {
		case rec.phase == Reserved:
			r.withdraw(rec, coder.WrongIncarnation)
		case slices.Contains(live, rec.attempt):
		case rec.phase == Holding:
			r.drop(rec, Ended)
		case !rec.started.After(asked) && !rec.lost:
			rec.lost = true
			lost = append(lost, Lost{Attempt: rec.attempt, Fingerprint: rec.fingerprint, Incarnation: rec.incarnation})
		}
	}
	return lost
}

// sorted returns the live records in order of attempt.
func (r *Reserver) sorted() []*record {
	all := make([]*record, 0, len(r.live))
	for _, rec := range r.live {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b *record) int { return strings.Compare(a.attempt, b.attempt) })
	return all
}
