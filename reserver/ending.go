package reserver

import (
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Void withdraws an attempt and says whether it had started. After NotRun it
// never will. An attempt without a record is answered NotRun only as long as no
// record of an attempt that ran has been dropped; the tombstone stays in any case.
func (r *Reserver) Void(now time.Time, m *messenger.Void) messenger.Voided {
	r.advance(now)
	answer := messenger.Voided{Attempt: m.Attempt}
	rec := r.records[m.Attempt]
	switch {
	case rec == nil && m.Incarnation != r.Incarnation:
	case rec == nil:
		if r.placeTombstone(m.Attempt, coder.Voided, r.forgot) && !r.forgot {
			answer.Run = coder.NotRun
		}
	case rec.phase == Reserved:
		r.withdraw(rec, coder.Voided)
		answer.Run = coder.NotRun
	case rec.phase == Withdrawn:
		answer.Run = rec.past()
	default:
		answer.Run = coder.Ran
	}
	return answer
}

// placeTombstone leaves a tombstone for an attempt without a record. Unsure says that the
// attempt may have run before, in a time without record. It returns false if
// there is no room for a tombstone.
func (r *Reserver) placeTombstone(attempt string, c coder.Code, unsure bool) bool {
	if len(r.records) >= MaxRecords {
		return false
	}
	r.add(&record{attempt: attempt, phase: Withdrawn, code: c, unsure: unsure, incarnation: r.Incarnation})
	return true
}

// Release gives a reservation or a gang member's hold back. It returns true if
// the engine holds something to be freed. A running attempt is left alone.
func (r *Reserver) Release(now time.Time, attempt string) bool {
	r.advance(now)
	rec := r.live[attempt]
	if rec == nil || rec.phase == Running {
		return false
	}
	if rec.phase == Reserved {
		r.withdraw(rec, coder.Voided)
		return false
	}
	r.drop(rec, Ended)
	return true
}

// Cancel withdraws an attempt that has not started, leaving a tombstone for one
// not seen yet, and frees a hold. It returns true if the engine must be told; a
// running attempt holds its memory until End.
func (r *Reserver) Cancel(now time.Time, attempt string) bool {
	r.advance(now)
	rec := r.records[attempt]
	if rec == nil {
		// A Cancel doesn't say which incarnation it means.
		r.placeTombstone(attempt, coder.Cancelled, true)
		return false
	}
	switch rec.phase {
	case Reserved:
		r.withdraw(rec, coder.Cancelled)
		return false
	case Running:
		return true
	case Holding:
		r.drop(rec, Ended)
		return true
	default:
		return false
	}
}

// Matching returns the live attempts that a Cancel without an attempt means, in
// order of their ids.
func (r *Reserver) Matching(m *messenger.Cancel) []string {
	var ids []string
	for id, rec := range r.live {
		byKey := m.Key != "" && rec.key == m.Key
		byBatch := m.Batch != "" && rec.batch == m.Batch
		other := m.Except == "" || !strings.HasPrefix(id, m.Except)
		if rec.account == m.Account && other && (byKey || byBatch) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// First tells that the first piece of an answer has arrived: the prompt is prefilled.
func (r *Reserver) First(now time.Time, attempt string) {
	r.advance(now)
	rec := r.live[attempt]
	if rec == nil || rec.filled {
		return
	}
	r.queued -= rec.waiting()
	rec.filled = true
	rec.first = now
	r.meter.prefilled(rec.prompt)
}

// Outcome is how a run ended.
type Outcome struct {
	Usage messenger.Usage
	Hold  bool // the engine holds the KV cache for the next gang member
	Lost  bool // the engine was lost or unreachable
}

// End closes a running attempt. Its memory is free unless the outcome holds it.
func (r *Reserver) End(now time.Time, attempt string, o Outcome) {
	r.advance(now)
	rec := r.live[attempt]
	if rec == nil || rec.phase != Running {
		return
	}
	if rec.filled {
		r.meter.ended(o.Usage, rec.prompt, now.Sub(rec.first))
	}
	if o.Lost && !rec.lost && len(r.unsettled) < MaxRecords {
		r.unsettled = append(r.unsettled, rec.suspect(now))
	}
	if o.Hold && !o.Lost && !rec.lost {
		r.queued -= rec.waiting()
		rec.phase = Holding
		rec.lease = now.Add(r.hold())
		return
	}
	r.drop(rec, Ended)
}

// Renew extends a hold, though not beyond the time of its attempt.
func (r *Reserver) Renew(now time.Time, attempt string) {
	r.advance(now)
	if rec := r.live[attempt]; rec != nil && rec.phase == Holding {
		rec.lease = now.Add(r.hold())
	}
}

// Tick ends leases and returns the attempts, in order, that the engine must free:
// those whose hold has ended, and runs that nobody ended in their time.
func (r *Reserver) Tick(now time.Time) []string {
	r.advance(now)
	var free []string
	for _, rec := range r.sorted() {
		if rec.over(now) {
			r.drop(rec, Ended)
			free = append(free, rec.attempt)
		}
	}
	return free
}

func (r *record) over(now time.Time) bool {
	switch r.phase {
	case Holding:
		return !r.lease.After(now) || !r.deadline.After(now)
	case Running:
		return now.Sub(r.deadline) >= overdue
	default:
		return false
	}
}

// Leave refuses every new reservation from now on. Reservations already granted
// may still run within their lease.
func (r *Reserver) Leave() { r.leaving = true }

// Stay ends Leave.
func (r *Reserver) Stay() { r.leaving = false }

// Idle reports whether nothing is reserved, running or held.
func (r *Reserver) Idle(now time.Time) bool {
	r.advance(now)
	return len(r.live) == 0
}

func (r *Reserver) hold() time.Duration {
	if r.Hold > 0 {
		return r.Hold
	}
	return DefaultHold
}
