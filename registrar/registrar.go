// Package registrar keeps the leases of targets that announce themselves. A
// higher incarnation replaces a lower one permanently; a lease that is not renewed
// ends. The caller passes the time; the package does no I/O and reads no clock.
package registrar

import (
	"cmp"
	"math/bits"
	"reflect"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// DefaultLease is the length of a lease if the announcement states none.
	DefaultLease = 3 * time.Second
	// MaxLease is the longest lease that an announcement may request.
	MaxLease = 30 * time.Second
	// IncarnationRetention is how long the incarnation of a target is recorded after
	// its lease ended or it deregistered. Lower ones are refused until then.
	IncarnationRetention = time.Hour
	// MaxTargets is the largest number of live targets.
	MaxTargets = 16384

	// maxExpireGap is the longest time between two calls of Expire. After a longer
	// one the process is assumed to have been frozen.
	maxExpireGap = 2 * time.Second

	loadStepsPerDoubling = 8 // steps of a load value between two powers of two

	// coldTolerance is the difference between the announced and the expected remaining cold
	// time that watchers are told of. They count down themselves, so that a target that
	// becomes warm as announced causes one update.
	coldTolerance = 500 * time.Millisecond
)

// Lease is the lease of one live target.
type Lease struct {
	Target  messenger.Target
	Since   time.Time // first announcement of this incarnation
	Until   time.Time // end of the lease
	Rev     uint64    // revision of the last change, other than of the load
	LoadRev uint64    // revision of the last change of the load that watchers need

	coldUntil time.Time // end of the cold time that watchers were told of
}

// EndedLease is a target whose lease ended at At.
type EndedLease struct {
	ID          string
	Incarnation uint64
	Seq         uint64 // of its last announcement
	At          time.Time
	Rev         uint64
}

// outdates reports whether t was announced before the last announcement of the lease, as
// its sequence number shows. It may be received after the lease ended.
func (e EndedLease) outdates(t messenger.Target) bool { return t.Seq > 0 && t.Seq < e.Seq }

// Registrar holds the leases. The zero value is ready for use. It is not safe for
// concurrent use.
type Registrar struct {
	// Exclusive states that two live targets never share an address. Of two targets
	// that announce the same address, the one that started later keeps it.
	Exclusive bool

	rev          uint64
	lastExpire   time.Time // time of the last Expire
	live         map[string]*Lease
	ended        map[string]EndedLease
	deregistered map[string]EndedLease // highest deregistered incarnation by target
}

// Announce grants or renews a lease. The error carries WrongIncarnation for an
// incarnation below the highest one received, for an announcement that was sent before
// the last one of an ended lease, or if another target has taken over the address,
// Malformed for a target without id or incarnation, and Overloaded if MaxTargets are
// live.
func (r *Registrar) Announce(now time.Time, a messenger.Announce) (Lease, error) {
	t := a.Target
	if t.ID == "" || t.Incarnation == 0 {
		return Lease{}, coder.Errorf(coder.Malformed, "a target needs an id and an incarnation")
	}
	if seen := r.highestIncarnation(t.ID); t.Incarnation < seen {
		return Lease{}, coder.Errorf(coder.WrongIncarnation, "target %q: %d is below %d", t.ID, t.Incarnation, seen)
	}
	if e := r.ended[t.ID]; t.Incarnation == e.Incarnation && e.outdates(t) {
		return Lease{}, coder.Errorf(coder.WrongIncarnation, "target %q: lease ended after announcement %d, this is %d", t.ID, e.Seq, t.Seq)
	}
	if err := r.resolveAddress(now, t); err != nil {
		return Lease{}, err
	}
	l := r.live[t.ID]
	if l != nil && l.Target.Incarnation == t.Incarnation && t.Seq < l.Target.Seq {
		return *l, nil // a later announcement was received before this one
	}
	t.Leaving = t.Leaving || !t.MayReturn && t.Incarnation <= r.deregistered[t.ID].Incarnation
	if l == nil && len(r.live) >= MaxTargets {
		return Lease{}, coder.Errorf(coder.Overloaded, "%d targets are announced", len(r.live))
	}
	if l == nil || l.Target.Incarnation < t.Incarnation {
		l = r.addLease(now, t.ID)
	}
	r.update(now, l, t)
	l.Until = now.Add(leaseDuration(a.Lease))
	return *l, nil
}

// Restore grants a lease to a target that was live when an earlier process last recorded
// it, unless the target or another one at its address has been announced since. A target
// that was leaving stays so until its next incarnation, unless it was on standby or
// announces that it may return.
func (r *Registrar) Restore(now time.Time, t messenger.Target) error {
	for id, l := range r.live {
		if id == t.ID || r.Exclusive && l.Target.Address == t.Address {
			return nil
		}
	}
	if _, err := r.Announce(now, messenger.Announce{Target: t}); err != nil {
		return err
	}
	if t.Leaving && !t.Standby {
		r.Leave(now, t.ID, t.Incarnation)
	}
	return nil
}

// update stores the announced target and raises the revisions if it changed.
func (r *Registrar) update(now time.Time, l *Lease, t messenger.Target) {
	if l.Rev == 0 || targetChanged(l.Target, t) || coldChanged(l, now, t.Cold) {
		r.rev++
		l.Rev, l.LoadRev, l.Target = r.rev, r.rev, t
		l.coldUntil = now.Add(t.Cold)
	}
	if quantizeLoad(l.Target.Load) != quantizeLoad(t.Load) {
		r.rev++
		l.LoadRev, l.Target = r.rev, t
	}
	l.Target.Seq, l.Target.Cold = t.Seq, t.Cold
}

// AssignIncarnation returns the incarnation of a target that doesn't report when it
// started. Such a target uses a new id for each start, so a live or deregistered id
// keeps its incarnation, and so does an ended one whose announcement was received late.
// Any other target is assumed to have started now, after the target that holds its
// address. Of two targets that announce the same address, the one that continues to
// announce itself therefore keeps it.
func (r *Registrar) AssignIncarnation(now time.Time, t messenger.Target) uint64 {
	if l := r.live[t.ID]; l != nil {
		return l.Target.Incarnation
	}
	if d, ok := r.deregistered[t.ID]; ok {
		return d.Incarnation
	}
	if e := r.ended[t.ID]; e.outdates(t) {
		return e.Incarnation
	}
	incarnation := max(uint64(now.UnixMilli()), r.ended[t.ID].Incarnation+1)
	for _, l := range r.live {
		if l.Target.Address == t.Address {
			incarnation = max(incarnation, l.Target.Incarnation+1)
		}
	}
	return incarnation
}

// Reassign raises the incarnation that AssignIncarnation gave to a live target, after
// another registrar refused it for a higher one of the same start.
func (r *Registrar) Reassign(now time.Time, id string, incarnation uint64) {
	l := r.live[id]
	if _, left := r.deregistered[id]; left || l == nil || l.Target.Incarnation != incarnation {
		return
	}
	r.rev++
	l.Target.Incarnation = max(uint64(now.UnixMilli()), incarnation+1)
	l.Rev, l.LoadRev = r.rev, r.rev
}

// Leave marks a target as leaving until the given incarnation ends, or the current one
// if it is zero. Later announcements of that incarnation do not undo it, unless the target
// may return.
func (r *Registrar) Leave(now time.Time, id string, incarnation uint64) {
	if incarnation == 0 {
		incarnation = r.highestIncarnation(id)
	}
	if r.deregistered == nil {
		r.deregistered = map[string]EndedLease{}
	}
	if incarnation > r.deregistered[id].Incarnation {
		r.deregistered[id] = EndedLease{ID: id, Incarnation: incarnation, At: now}
	}
	l := r.live[id]
	if l == nil || l.Target.Incarnation > incarnation || l.Target.Leaving {
		return
	}
	r.rev++
	l.Rev, l.Target.Leaving = r.rev, true
}

// resolveAddress ends the leases of other targets at the address of t, or returns an
// error if one of them started later than t.
func (r *Registrar) resolveAddress(now time.Time, t messenger.Target) error {
	if !r.Exclusive || t.Address == "" {
		return nil
	}
	for id, l := range r.live {
		switch {
		case id == t.ID || l.Target.Address != t.Address:
		case l.Target.Incarnation > t.Incarnation:
			return coder.Errorf(coder.WrongIncarnation, "target %q: %q has taken over %s", t.ID, id, t.Address)
		default:
			r.end(now, id)
		}
	}
	return nil
}

// end removes a live target and records its incarnation.
func (r *Registrar) end(now time.Time, id string) {
	r.rev++
	t := r.live[id].Target
	r.ended[id] = EndedLease{ID: id, Incarnation: t.Incarnation, Seq: t.Seq, At: now, Rev: r.rev}
	delete(r.live, id)
}

func leaseDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultLease
	}
	return min(d, MaxLease)
}

// highestIncarnation returns the highest incarnation received of a target, or zero if
// none is recorded.
func (r *Registrar) highestIncarnation(id string) uint64 {
	if l := r.live[id]; l != nil {
		return l.Target.Incarnation
	}
	return r.ended[id].Incarnation
}

func (r *Registrar) addLease(now time.Time, id string) *Lease {
	if r.live == nil {
		r.live, r.ended = map[string]*Lease{}, map[string]EndedLease{}
	}
	delete(r.ended, id)
	l := &Lease{Since: now}
	r.live[id] = l
	return l
}

// targetChanged reports whether the target differs in anything but its load (other
// than memory), configuration version, sequence number and remaining cold time.
func targetChanged(old, t messenger.Target) bool {
	if old.Load.Memory != t.Load.Memory {
		return true
	}
	old.Load, t.Load = messenger.Load{}, messenger.Load{}
	old.Config, t.Config = 0, 0
	old.Seq, t.Seq = 0, 0
	old.Cold, t.Cold = 0, 0
	return !reflect.DeepEqual(old, t)
}

// coldChanged reports whether the remaining cold time differs from what watchers expect.
func coldChanged(l *Lease, now time.Time, cold time.Duration) bool {
	return (cold - max(0, l.coldUntil.Sub(now))).Abs() > coldTolerance
}

// quantizeLoad maps each varying load value to its step, so that small changes of the
// load are not sent to watchers.
func quantizeLoad(l messenger.Load) messenger.Load {
	return messenger.Load{
		Waiting: quantize(l.Waiting), Running: quantize(l.Running), Used: quantize(l.Used),
		Speed: quantize(l.Speed), Pace: quantize(l.Pace),
	}
}

// quantize returns the number of the step that holds n. There are
// loadStepsPerDoubling steps between two powers of two.
func quantize(n int) int {
	if n < 2*loadStepsPerDoubling {
		return n
	}
	shift := bits.Len(uint(n)) - bits.Len(uint(loadStepsPerDoubling))
	return shift*loadStepsPerDoubling + n>>shift
}

// Expire ends the leases that have run out and returns the ids of their targets in
// ascending order. It must be called at least once a second. A pause longer than
// maxExpireGap means that this process was frozen and received no renewals, so every
// lease is extended by the pause.
func (r *Registrar) Expire(now time.Time) []string {
	if pause := now.Sub(r.lastExpire); !r.lastExpire.IsZero() && pause > maxExpireGap {
		for _, l := range r.live {
			l.Until = l.Until.Add(pause)
		}
	}
	r.lastExpire = now
	var ended []string
	for id, l := range r.live {
		if !now.Before(l.Until) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		r.end(now, id)
	}
	r.dropOldRecords(now)
	return ended
}

// dropOldRecords drops ended and deregistered incarnations after IncarnationRetention.
func (r *Registrar) dropOldRecords(now time.Time) {
	for id, e := range r.ended {
		if now.Sub(e.At) >= IncarnationRetention {
			delete(r.ended, id)
		}
	}
	for id, e := range r.deregistered {
		if now.Sub(e.At) >= IncarnationRetention {
			delete(r.deregistered, id)
		}
	}
}

// Rev returns the revision of the last change of any kind.
func (r *Registrar) Rev() uint64 { return r.rev }

// Live returns the leases of live targets in ascending order of target ids.
func (r *Registrar) Live() []Lease {
	out := make([]Lease, 0, len(r.live))
	for _, l := range r.live {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Lease) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// Ended returns the ended leases that are still recorded, in ascending order of
// target ids.
func (r *Registrar) Ended() []EndedLease {
	out := make([]EndedLease, 0, len(r.ended))
	for _, e := range r.ended {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b EndedLease) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
