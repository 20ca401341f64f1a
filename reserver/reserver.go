// Package reserver admits attempts to one target. It is the sole authority over the
// target's memory and slots and records for every attempt whether it has started. A
// reservation holds memory and a slot under a short lease, a run message starts it at
// most once, and a withdrawn attempt leaves a tombstone so that delayed frames cannot
// start it. The package does no I/O and reads no clock: callers pass the current time.
package reserver

import (
	"container/heap"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// DefaultSlots is the number of concurrent attempts if Reserver.Slots is zero.
	DefaultSlots = 64
	// DefaultLease is how long an unused reservation is valid if Reserver.Lease is
	// zero.
	DefaultLease = 2 * time.Second
	// DefaultHold is how long a gang member's KV cache is held without a renewal if
	// Reserver.Hold is zero.
	DefaultHold = 10 * time.Second
	// DefaultRetention is the minimum time for which a record outlives its attempt if
	// Reserver.Retention is zero. No frame is delayed longer, because a connection
	// that receives nothing is closed within seconds.
	DefaultRetention = 2 * time.Minute
	// DefaultLongPromptShare is the fraction of the memory that long prompts awaiting
	// prefill may use if Reserver.LongPromptShare is zero.
	DefaultLongPromptShare = 0.5
	// MaxRecords bounds the number of records. Reservations beyond it are refused.
	MaxRecords = 1 << 17

	// maxRemaining caps the remaining time that a message may state.
	maxRemaining = 24 * time.Hour
	// maxAgingStep caps the time by which one call ages the retained records, so that
	// a process that was frozen does not drop tombstones before it has read the
	// delayed frames that they guard against.
	maxAgingStep = 2 * time.Second
	// overrunLimit is how long a run may exceed its deadline before it is treated as
	// ended.
	overrunLimit = 10 * time.Second
	// prefillSlack is the factor by which the predicted prefill time may exceed the
	// remaining time before an attempt is refused. It is lenient because the entry has
	// admitted the attempt with better information.
	prefillSlack = 2
)

// Reserver is the authority over one target. The zero value has unbounded memory and
// incarnation zero. It is not safe for concurrent use.
type Reserver struct {
	Incarnation     uint64        // of the target; incremented when the engine restarts
	Memory          int           // tokens; unbounded if zero
	Slots           int           // concurrent attempts
	MaxBodies       int           // bytes that the bodies of live attempts may have together; unbounded if zero
	Lease           time.Duration // validity of an unused reservation
	Hold            time.Duration // how long a gang member's KV cache is held after its run, without a renewal
	Retention       time.Duration // minimum time for which a record outlives its attempt
	LongPromptShare float64       // fraction of Memory for long prompts awaiting prefill

	records           map[string]*record
	live              map[string]*record
	leases            []*record // sorted by expiry
	retained          retentionHeap
	runRecordDropped  bool // the record of an attempt that ran has been dropped
	leaving           bool
	usedTokens        int
	unaccounted       int // tokens that the engine uses beyond the reserved ones
	usedBytes         int // of the bodies of live attempts
	pendingPrefill    int // prompt tokens of live attempts that await prefill
	engineIncarnation uint64
	down              bool          // the target refuses connections
	brokenRuns        []LostAttempt // ended by a lost connection, not yet attributed to a crash or cleared
	now               time.Time
	elapsed           time.Duration // time observed by calls, at most maxAgingStep each
	meter             meter
	seq               uint64
}

// Reserve grants memory and a slot until the lease expires. A repeated message gets
// the first answer; for a gang member it also renews the lease. Errors carry codes
// WrongIncarnation, Leaving, Busy, MemoryFull, Overloaded, DeadlineExceeded, Voided,
// LeaseExpired or AlreadyRan; all but the last state that the attempt did not run,
// unless it was withdrawn without a record of whether it had.
func (r *Reserver) Reserve(now time.Time, m *messenger.Reserve) (messenger.Reserved, error) {
	r.advance(now)
	if rec := r.records[m.Attempt]; rec != nil {
		return r.answerDuplicate(rec)
	}
	if m.Incarnation != r.Incarnation {
		return messenger.Reserved{}, coder.Errorf(coder.WrongIncarnation, "incarnation %d, asked for %d", r.Incarnation, m.Incarnation)
	}
	if r.leaving {
		return messenger.Reserved{}, coder.Errorf(coder.Leaving, "attempt %s", m.Attempt)
	}
	if err := r.checkAdmission(m); err != nil {
		return messenger.Reserved{}, err
	}
	remaining := min(m.Remaining, maxRemaining)
	rec := &record{
		attempt: m.Attempt, phase: Reserved, incarnation: m.Incarnation, fingerprint: m.Fingerprint,
		account: m.Account, key: m.Key, batch: m.Batch,
		prompt: m.Prompt, tokens: m.Prompt + m.Output, bytes: m.Bytes, priority: m.Priority, gang: m.Gang,
		lease: now.Add(r.lease()), deadline: now.Add(remaining), lifetime: remaining,
	}
	r.add(rec)
	return r.grant(rec), nil
}

// answerDuplicate answers a repeated Reserve.
func (r *Reserver) answerDuplicate(rec *record) (messenger.Reserved, error) {
	switch rec.phase {
	case Reserved:
		return r.renewReservation(rec)
	case Withdrawn:
		return messenger.Reserved{}, rec.refusal()
	default:
		return messenger.Reserved{}, coder.Errorf(coder.AlreadyRan, "attempt %s", rec.attempt)
	}
}

// renewReservation answers a repeated Reserve of an unused reservation.
func (r *Reserver) renewReservation(rec *record) (messenger.Reserved, error) {
	if !rec.gang {
		return r.grant(rec), nil
	}
	if !rec.deadline.After(r.now) {
		r.withdraw(rec, coder.DeadlineExceeded)
		return messenger.Reserved{}, rec.refusal()
	}
	r.extendLease(rec)
	return r.grant(rec), nil
}

// extendLease renews the lease of a gang member, which may wait long for its turn, but
// not beyond the deadline of the attempt. It keeps the leases sorted by expiry.
func (r *Reserver) extendLease(rec *record) {
	rec.lease = r.now.Add(r.lease())
	if rec.lease.After(rec.deadline) {
		rec.lease = rec.deadline
	}
	r.leases = slices.DeleteFunc(r.leases, func(x *record) bool { return x == rec })
	i, _ := slices.BinarySearchFunc(r.leases, rec, func(x, y *record) int { return x.lease.Compare(y.lease) })
	r.leases = slices.Insert(r.leases, i, rec)
}

func (r *Reserver) grant(rec *record) messenger.Reserved {
	return messenger.Reserved{
		Attempt: rec.attempt, Incarnation: rec.incarnation,
		Lease: rec.lease.Sub(r.now), Load: r.load(),
	}
}

// Run starts a reserved attempt. It returns true exactly once per attempt, and the
// caller then starts the engine. False without an error means that the attempt had
// already started. Errors carry codes WrongIncarnation or UnknownAttempt, which leave
// open whether the attempt ran, or the code of its withdrawal, after which it cannot
// have run unless the error says otherwise.
func (r *Reserver) Run(now time.Time, m *messenger.Run) (bool, error) {
	r.advance(now)
	rec := r.records[m.Attempt]
	if rec == nil {
		return false, r.unknownAttempt(m.Attempt, m.Incarnation)
	}
	switch rec.phase {
	case Withdrawn:
		return false, rec.refusal()
	case Reserved:
	default:
		return false, nil
	}
	if m.Incarnation != rec.incarnation {
		e := coder.Errorf(coder.WrongIncarnation, "incarnation %d, asked for %d", rec.incarnation, m.Incarnation)
		e.Run = coder.Unknown
		return false, e
	}
	if end := now.Add(m.Remaining); end.Before(rec.deadline) {
		rec.deadline = end
	}
	if !rec.deadline.After(now) {
		r.withdraw(rec, coder.DeadlineExceeded)
		return false, rec.refusal()
	}
	rec.phase = Running
	rec.started = now
	return true, nil
}

func (r *Reserver) unknownAttempt(attempt string, incarnation uint64) error {
	if incarnation == r.Incarnation {
		return coder.Errorf(coder.UnknownAttempt, "attempt %s", attempt)
	}
	e := coder.Errorf(coder.WrongIncarnation, "incarnation %d, asked for %d", r.Incarnation, incarnation)
	e.Run = coder.Unknown
	return e
}

// Deadline returns the deadline of a live attempt, or the zero time if the attempt is
// not live.
func (r *Reserver) Deadline(attempt string) time.Time {
	if rec := r.live[attempt]; rec != nil {
		return rec.deadline
	}
	return time.Time{}
}

// Phase returns the recorded phase of an attempt, or Unseen if there is no record.
func (r *Reserver) Phase(attempt string) Phase {
	if rec := r.records[attempt]; rec != nil {
		return rec.phase
	}
	return Unseen
}

func (r *Reserver) add(rec *record) {
	if r.records == nil {
		r.records = map[string]*record{}
		r.live = map[string]*record{}
	}
	r.records[rec.attempt] = rec
	if !rec.live() {
		r.retain(rec)
		return
	}
	r.live[rec.attempt] = rec
	r.leases = append(r.leases, rec)
	r.usedTokens += rec.tokens
	r.usedBytes += rec.bytes
	r.pendingPrefill += rec.pendingTokens()
}

// closeRecord frees the resources of a live record and retains it in phase p.
func (r *Reserver) closeRecord(rec *record, p Phase) {
	delete(r.live, rec.attempt)
	r.usedTokens -= rec.tokens
	r.usedBytes -= rec.bytes
	r.pendingPrefill -= rec.pendingTokens()
	rec.phase = p
	r.retain(rec)
}

func (r *Reserver) withdraw(rec *record, c coder.Code) {
	rec.code = c
	r.closeRecord(rec, Withdrawn)
}

func (r *Reserver) retain(rec *record) {
	rec.retainUntil = r.elapsed + max(rec.lifetime, r.retention())
	heap.Push(&r.retained, rec)
}

// advance sets the current time, expires unused leases and drops records past their
// retention.
func (r *Reserver) advance(now time.Time) {
	if !r.now.IsZero() {
		step := max(now.Sub(r.now), 0)
		r.elapsed += min(step, maxAgingStep)
		r.meter.advance(step, r.pendingPrefill > 0)
	}
	r.now = now
	for len(r.leases) > 0 && r.leaseSettled(r.leases[0]) {
		rec := r.leases[0]
		r.leases[0] = nil
		r.leases = r.leases[1:]
		if rec.phase == Reserved {
			r.withdraw(rec, coder.LeaseExpired)
		}
	}
	for len(r.retained) > 0 && r.retained[0].retainUntil < r.elapsed {
		rec := heap.Pop(&r.retained).(*record)
		r.runRecordDropped = r.runRecordDropped || rec.phase == Ended
		delete(r.records, rec.attempt)
	}
}

// leaseSettled reports whether the lease has expired or no longer matters because the
// attempt has left phase Reserved.
func (r *Reserver) leaseSettled(rec *record) bool {
	return rec.phase != Reserved || !rec.lease.After(r.now)
}

func (r *Reserver) lease() time.Duration {
	if r.Lease > 0 {
		return r.Lease
	}
	return DefaultLease
}

func (r *Reserver) retention() time.Duration {
	if r.Retention > 0 {
		return r.Retention
	}
	return DefaultRetention
}

func (r *Reserver) slots() int {
	if r.Slots > 0 {
		return r.Slots
	}
	return DefaultSlots
}

// Priority returns the priority of a live attempt, or zero if the attempt is not live.
func (r *Reserver) Priority(attempt string) int {
	if rec := r.live[attempt]; rec != nil {
		return rec.priority
	}
	return 0
}
