package reserver

import (
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Void withdraws an attempt and reports whether it had started. After answering NotRun
// it never starts the attempt. An attempt without a record is answered NotRun only if
// no record of an attempt that ran has ever been dropped; a tombstone is left in both
// cases if there is room.
func (r *Reserver) Void(now time.Time, m *messenger.Void) messenger.Voided {
	r.advance(now)
	answer := messenger.Voided{Attempt: m.Attempt}
	rec := r.records[m.Attempt]
	switch {
	case rec == nil && m.Incarnation != r.Incarnation:
	case rec == nil:
		if r.placeTombstone(m.Attempt, coder.Voided, r.runRecordDropped) && !r.runRecordDropped {
			answer.Run = coder.NotRun
		}
	case rec.phase == Reserved:
		r.withdraw(rec, coder.Voided)
		answer.Run = coder.NotRun
	case rec.phase == Withdrawn:
		answer.Run = rec.execution()
	default:
		answer.Run = coder.Ran
	}
	return answer
}

// placeTombstone leaves a tombstone for an attempt without a record. The flag
// mayHaveRun states that the attempt may have run before, although it has no record.
// It returns false if there is no room for another record.
func (r *Reserver) placeTombstone(attempt string, c coder.Code, mayHaveRun bool) bool {
	if len(r.records) >= MaxRecords {
		return false
	}
	r.add(&record{attempt: attempt, phase: Withdrawn, code: c, mayHaveRun: mayHaveRun, incarnation: r.Incarnation})
	return true
}

// Release ends a reservation or the KV hold of a gang member. It returns true if the
// engine must free the held KV cache. A running attempt is not affected.
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
	r.closeRecord(rec, Ended)
	return true
}

// Cancel withdraws an attempt that has not started, leaves a tombstone for an unknown
// one, and ends a hold. It returns true if the engine must be notified; a running
// attempt holds its memory until End.
func (r *Reserver) Cancel(now time.Time, attempt string) bool {
	r.advance(now)
	rec := r.records[attempt]
	if rec == nil {
		// A Cancel does not name an incarnation, so the attempt may have run in an earlier one.
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
		r.closeRecord(rec, Ended)
		return true
	default:
		return false
	}
}

// Matching returns the live attempts that a Cancel without an attempt id applies to,
// sorted by id.
func (r *Reserver) Matching(m *messenger.Cancel) []string {
	var ids []string
	for id, rec := range r.live {
		byKey := m.Key != "" && rec.key == m.Key
		byBatch := m.Batch != "" && rec.batch == m.Batch
		notExcepted := m.Except == "" || !strings.HasPrefix(id, m.Except)
		if rec.account == m.Account && notExcepted && (byKey || byBatch) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// FirstToken records the arrival of the first chunk of an answer, which shows that the
// prompt is prefilled.
func (r *Reserver) FirstToken(now time.Time, attempt string) {
	r.advance(now)
	rec := r.live[attempt]
	if rec == nil || rec.prefilled {
		return
	}
	r.pendingPrefill -= rec.pendingTokens()
	rec.prefilled = true
	rec.firstToken = now
	r.meter.recordPrefill(rec.prompt)
}

// Outcome describes how a run ended.
type Outcome struct {
	Usage messenger.Usage
	Hold  bool // the engine holds the KV cache for the next gang member
	Lost  bool // the engine crashed or became unreachable
}

// End ends a running attempt. Its memory is freed unless the outcome holds the KV
// cache.
func (r *Reserver) End(now time.Time, attempt string, o Outcome) {
	r.advance(now)
	rec := r.live[attempt]
	if rec == nil || rec.phase != Running {
		return
	}
	if rec.prefilled {
		r.meter.recordEnd(o.Usage, rec.prompt, now.Sub(rec.firstToken))
	}
	if o.Lost && !rec.reportedLost && len(r.brokenRuns) < MaxRecords {
		r.brokenRuns = append(r.brokenRuns, rec.lostAttempt(now))
	}
	if o.Hold && !o.Lost && !rec.reportedLost {
		r.pendingPrefill -= rec.pendingTokens()
		rec.phase = Holding
		rec.lease = now.Add(r.hold())
		return
	}
	r.closeRecord(rec, Ended)
}

// Renew extends a hold. Tick ends the hold at the deadline of its attempt regardless.
func (r *Reserver) Renew(now time.Time, attempt string) {
	r.advance(now)
	if rec := r.live[attempt]; rec != nil && rec.phase == Holding {
		rec.lease = now.Add(r.hold())
	}
}

// Tick expires leases and returns, sorted, the attempts that the engine must free:
// those whose hold has expired and runs that exceeded their deadline by overrunLimit.
func (r *Reserver) Tick(now time.Time) []string {
	r.advance(now)
	var free []string
	for _, rec := range r.sortedLive() {
		if rec.expired(now) {
			r.closeRecord(rec, Ended)
			free = append(free, rec.attempt)
		}
	}
	return free
}

func (r *record) expired(now time.Time) bool {
	switch r.phase {
	case Holding:
		return !r.lease.After(now) || !r.deadline.After(now)
	case Running:
		return now.Sub(r.deadline) >= overrunLimit
	default:
		return false
	}
}

// Leave makes the target refuse all new reservations. Reservations already granted may
// still run within their lease.
func (r *Reserver) Leave() { r.leaving = true }

// CancelLeave makes the target accept reservations again after Leave.
func (r *Reserver) CancelLeave() { r.leaving = false }

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
