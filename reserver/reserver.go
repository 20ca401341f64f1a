// Package reserver decides what one target may run: it is the only authority
// over the target's memory and slots, and knows of each attempt whether it
// started. A reservation holds memory and a slot under a short lease; a run
// starts it once; a void leaves a tombstone. The package is pure: time comes in.
package reserver

import (
	"container/heap"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// DefaultSlots is the number of requests at once when Reserver.Slots is zero.
	DefaultSlots = 64
	// DefaultLease ends an unused reservation when Reserver.Lease is zero.
	DefaultLease = 2 * time.Second
	// DefaultHold ends a gang member's KV hold that nobody renews when Reserver.Hold is zero.
	DefaultHold = 10 * time.Second
	// DefaultKept is the least time that a record outlives its attempt when
	// Reserver.Kept is zero. No frame is delayed longer: a connection on which
	// nothing arrives is given up within seconds.
	DefaultKept = 2 * time.Minute
	// DefaultShare of the memory is open to waiting long prompts when Reserver.Share is zero.
	DefaultShare = 0.5
	// MaxRecords bounds the records. Beyond it reservations are refused.
	MaxRecords = 1 << 17

	// maxLife bounds the time left that a message may claim.
	maxLife = 24 * time.Hour
	// maxStep bounds the time by which one call ages the kept records, so that a
	// process that was frozen doesn't drop tombstones before it has read the
	// frames that they are kept for.
	maxStep = 2 * time.Second
	// overdue is how long after its time a run that nobody has ended is given up.
	overdue = 10 * time.Second
	// slack is how far the predicted prefill may exceed the time left before an
	// attempt is refused. The entry has admitted it with better knowledge.
	slack = 2
)

// Reserver is the authority over one target. The zero value has no bound on
// memory and incarnation zero. Not safe for concurrent use.
type Reserver struct {
	Incarnation uint64        // of the target; rises when the engine restarts
	Memory      int           // tokens; zero for no bound
	Slots       int           // requests at once
	Lease       time.Duration // of an unused reservation
	Hold        time.Duration // of a gang member's KV after the run
	Kept        time.Duration // least time a record outlives its attempt
	Share       float64       // of Memory that waiting long prompts may take

	records   map[string]*record
	live      map[string]*record
	leases    []*record // in order of their end
	kept      kept
	forgot    bool // a record of an attempt that ran has been dropped
	leaving   bool
	used      int
	extra     int    // tokens that the engine uses beyond what is accounted for
	queued    int    // prompt tokens of live attempts not yet prefilled
	engine    uint64 // incarnation of the engine
	dead      bool   // the target refuses connections
	unsettled []Lost // ended by a lost connection; did the target crash?
	now       time.Time
	aged      time.Duration // time observed by calls
	meter     meter
	seq       uint64
}

// Reserve grants memory and a slot until the lease ends. A repeated message
// gets the first answer; that of a gang member renews its lease as well. Errors
// carry codes WrongIncarnation, Leaving, Busy, MemoryFull, Overloaded,
// DeadlineExceeded, Voided, LeaseExpired or AlreadyRan; all but the last say that
// the attempt did not run.
func (r *Reserver) Reserve(now time.Time, m *messenger.Reserve) (messenger.Reserved, error) {
	r.advance(now)
	if known := r.records[m.Attempt]; known != nil {
		return r.again(known)
	}
	if m.Incarnation != r.Incarnation {
		return messenger.Reserved{}, coder.Errorf(coder.WrongIncarnation, "incarnation %d, asked for %d", r.Incarnation, m.Incarnation)
	}
	if r.leaving {
		return messenger.Reserved{}, coder.Errorf(coder.Leaving, "attempt %s", m.Attempt)
	}
	if err := r.check(m); err != nil {
		return messenger.Reserved{}, err
	}
	life := min(m.Remaining, maxLife)
	rec := &record{
		attempt: m.Attempt, phase: Reserved, incarnation: m.Incarnation, fingerprint: m.Fingerprint,
		account: m.Account, key: m.Key, batch: m.Batch,
		prompt: m.Prompt, tokens: m.Prompt + m.Output, priority: m.Priority, gang: m.Gang,
		lease: now.Add(r.lease()), deadline: now.Add(life), life: life,
	}
	r.add(rec)
	return r.grant(rec), nil
}

// again answers a repeated Reserve.
func (r *Reserver) again(rec *record) (messenger.Reserved, error) {
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
	r.extend(rec)
	return r.grant(rec), nil
}

// extend renews the lease of a gang member, whose turn may come late, though not
// beyond the time of its attempt. It keeps the leases in order of their end.
func (r *Reserver) extend(rec *record) {
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

// Run starts a reserved attempt. It returns true exactly once per attempt: the
// caller then starts the engine. False without an error means that the attempt
// has started before. Errors carry codes WrongIncarnation or UnknownAttempt,
// which say nothing of execution, or the code of a withdrawal, which is certain.
func (r *Reserver) Run(now time.Time, m *messenger.Run) (bool, error) {
	r.advance(now)
	rec := r.records[m.Attempt]
	if rec == nil {
		return false, r.unknown(m.Attempt, m.Incarnation)
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

func (r *Reserver) unknown(attempt string, incarnation uint64) error {
	if incarnation == r.Incarnation {
		return coder.Errorf(coder.UnknownAttempt, "attempt %s", attempt)
	}
	e := coder.Errorf(coder.WrongIncarnation, "incarnation %d, asked for %d", r.Incarnation, incarnation)
	e.Run = coder.Unknown
	return e
}

// Deadline returns when the time of a live attempt ends; zero if it isn't live.
func (r *Reserver) Deadline(attempt string) time.Time {
	if rec := r.live[attempt]; rec != nil {
		return rec.deadline
	}
	return time.Time{}
}

// Phase returns what is known of an attempt.
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
		r.keep(rec)
		return
	}
	r.live[rec.attempt] = rec
	r.leases = append(r.leases, rec)
	r.used += rec.tokens
	r.queued += rec.waiting()
}

// drop frees what a live record holds and keeps the record as p.
func (r *Reserver) drop(rec *record, p Phase) {
	delete(r.live, rec.attempt)
	r.used -= rec.tokens
	r.queued -= rec.waiting()
	rec.phase = p
	r.keep(rec)
}

func (r *Reserver) withdraw(rec *record, c coder.Code) {
	rec.code = c
	r.drop(rec, Withdrawn)
}

func (r *Reserver) keep(rec *record) {
	rec.forget = r.aged + max(rec.life, r.keptFor())
	heap.Push(&r.kept, rec)
}

// advance moves the time on: unused leases end, old records are dropped.
func (r *Reserver) advance(now time.Time) {
	if !r.now.IsZero() {
		step := max(now.Sub(r.now), 0)
		r.aged += min(step, maxStep)
		r.meter.pass(step, r.queued > 0)
	}
	r.now = now
	for len(r.leases) > 0 && r.lapsed(r.leases[0]) {
		rec := r.leases[0]
		r.leases[0] = nil
		r.leases = r.leases[1:]
		if rec.phase == Reserved {
			r.withdraw(rec, coder.LeaseExpired)
		}
	}
	for len(r.kept) > 0 && r.kept[0].forget < r.aged {
		rec := heap.Pop(&r.kept).(*record)
		r.forgot = r.forgot || rec.phase == Ended
		delete(r.records, rec.attempt)
	}
}

// lapsed reports whether the lease needs no more watching.
func (r *Reserver) lapsed(rec *record) bool {
	return rec.phase != Reserved || !rec.lease.After(r.now)
}

func (r *Reserver) lease() time.Duration {
	if r.Lease > 0 {
		return r.Lease
	}
	return DefaultLease
}

func (r *Reserver) keptFor() time.Duration {
	if r.Kept > 0 {
		return r.Kept
	}
	return DefaultKept
}

func (r *Reserver) slots() int {
	if r.Slots > 0 {
		return r.Slots
	}
	return DefaultSlots
}

// Priority returns the priority of a live attempt.
func (r *Reserver) Priority(attempt string) int {
	if rec := r.live[attempt]; rec != nil {
		return rec.priority
	}
	return 0
}
