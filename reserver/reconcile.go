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
	Used        int       // tokens that requests and holds take; zero if not told
	Speed       int       // prefill tokens a second; zero if not told
	Pace        int       // decode tokens a second and request; zero if not told
	Live        []string  // attempts that the engine runs or holds KV cache for
}

// Lost is an attempt that was running when the target's incarnation ended.
type Lost struct {
	Attempt     string
	Fingerprint uint64
	Incarnation uint64 // of the target
	Ended       time.Time
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
	r.extra = max(rep.Used-r.inside(), 0)
	r.meter.told, r.meter.toldFor = rep.Speed, rep.Pace
	out := Reconciled{Restarted: r.engine != 0 && rep.Incarnation != r.engine}
	r.engine = rep.Incarnation
	if out.Restarted {
		r.end()
		out.Lost = append(r.settle(now), r.missing(rep)...)
	}
	r.dead = false
	r.settle(rep.Asked)
	for _, id := range rep.Live {
		if rec := r.live[id]; rec == nil || rec.phase == Reserved {
			out.Free = append(out.Free, id)
		}
	}
	return out
}

// inside returns the tokens that the engine should have in use.
func (r *Reserver) inside() int {
	n := 0
	for _, rec := range r.live {
		if rec.phase != Reserved {
			n += rec.tokens
		}
	}
	return n
}

// Dead tells that the target refuses connections: its incarnation ends, and runs
// that have ended by a lost connection since the last report are returned. A run
// whose stream is still open goes on, as a target that shuts down gracefully
// refuses connections too. To be called again as long as the target is dead.
func (r *Reserver) Dead(now time.Time) []Lost {
	r.advance(now)
	r.end()
	r.dead = true
	return r.settle(now)
}

// end ends the target's incarnation, unless it is known to be dead already:
// reservations are withdrawn and holds are gone.
func (r *Reserver) end() {
	if r.dead {
		return
	}
	r.Incarnation++
	for _, rec := range r.sorted() {
		switch rec.phase {
		case Reserved:
			r.withdraw(rec, coder.WrongIncarnation)
		case Holding:
			r.drop(rec, Ended)
		}
	}
}

// missing returns the attempts that ran before the report and that the new
// engine does not have.
func (r *Reserver) missing(rep *Report) []Lost {
	var lost []Lost
	for _, rec := range r.sorted() {
		if rec.phase != Running || rec.lost || rec.started.After(rep.Asked) || slices.Contains(rep.Live, rec.attempt) {
			continue
		}
		rec.lost = true
		lost = append(lost, rec.suspect(r.now))
	}
	return lost
}

// settle takes the runs out of the open question whether the target had crashed,
// if they ended up to a time.
func (r *Reserver) settle(until time.Time) []Lost {
	n := 0
	for n < len(r.unsettled) && !r.unsettled[n].Ended.After(until) {
		n++
	}
	done := r.unsettled[:n:n]
	r.unsettled = r.unsettled[n:]
	return done
}

func (r *record) suspect(now time.Time) Lost {
	return Lost{Attempt: r.attempt, Fingerprint: r.fingerprint, Incarnation: r.incarnation, Ended: now}
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
