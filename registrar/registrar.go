// Package registrar keeps the leases of targets that announce themselves. A
// higher incarnation replaces a lower one for good; a lease that is not renewed
// ends. It is a pure decider: time comes in.
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
	// DefaultLease is used when an announcement names no lease.
	DefaultLease = 3 * time.Second
	// MaxLease bounds what an announcement may ask for.
	MaxLease = 30 * time.Second
	// Remembered is how long the incarnation of a target that has gone still
	// bars lower ones.
	Remembered = time.Hour
	// MaxTargets bounds the targets held at once.
	MaxTargets = 16384

	// frozenAfter is the time between two calls of Expire after which the process
	// is taken to have been frozen.
	frozenAfter = 2 * time.Second

	loadSteps = 8 // steps of a load figure between two powers of two
)

// Entry is one live target.
type Entry struct {
	Target messenger.Target
	Since  time.Time // first announcement of this incarnation
	Until  time.Time // end of the lease
	Rev    uint64    // of the last change but those of the load
	Loaded uint64    // rev of the last change of the load that watchers should see
}

// Gone is a target whose lease ended.
type Gone struct {
	ID          string
	Incarnation uint64
	At          time.Time
	Rev         uint64
}

// Registrar holds the leases. The zero value is ready.
type Registrar struct {
	// Exclusive says that two live targets never share an address: the one that
	// started later has taken it over.
	Exclusive bool

	rev  uint64
	last time.Time // of the last Expire
	live map[string]*Entry
	gone map[string]Gone
	left map[string]Gone // targets that said that they leave for good
}

// Announce renews a lease. The error carries WrongIncarnation for an incarnation
// lower than one seen, Malformed for a target without id or incarnation, and
// Overloaded when there are too many targets.
func (r *Registrar) Announce(now time.Time, a messenger.Announce) (Entry, error) {
	t := a.Target
	if t.ID == "" || t.Incarnation == 0 {
		return Entry{}, coder.Errorf(coder.Malformed, "a target needs an id and an incarnation")
	}
	if seen := r.seen(t.ID); t.Incarnation < seen {
		return Entry{}, coder.Errorf(coder.WrongIncarnation, "target %q: %d is below %d", t.ID, t.Incarnation, seen)
	}
	if err := r.settle(now, t); err != nil {
		return Entry{}, err
	}
	e := r.live[t.ID]
	if e != nil && e.Target.Incarnation == t.Incarnation && t.Seq < e.Target.Seq {
		return *e, nil // overtaken by a later announcement
	}
	t.Leaving = t.Leaving || t.Incarnation <= r.left[t.ID].Incarnation
	if e == nil && len(r.live) >= MaxTargets {
		return Entry{}, coder.Errorf(coder.Overloaded, "%d targets are announced", len(r.live))
	}
	if e == nil || e.Target.Incarnation < t.Incarnation {
		e = r.add(now, t.ID)
	}
	r.note(e, t)
	e.Until = now.Add(lease(a.Lease))
	return *e, nil
}

// note takes over what a target announced.
func (r *Registrar) note(e *Entry, t messenger.Target) {
	if e.Rev == 0 || differs(e.Target, t) {
		r.rev++
		e.Rev, e.Loaded, e.Target = r.rev, r.rev, t
	}
	if step(e.Target.Load) != step(t.Load) {
		r.rev++
		e.Loaded, e.Target = r.rev, t
	}
	e.Target.Seq = t.Seq
}

// Date returns the incarnation of a target that doesn't tell when it started. Such
// a target has an id of its own for each start, so that one which is live or has
// deregistered keeps the incarnation it has. Any other counts as started now,
// after the one that holds its address: of two that claim an address, the one that
// goes on announcing itself has it in the end.
func (r *Registrar) Date(now time.Time, t messenger.Target) uint64 {
	if e := r.live[t.ID]; e != nil {
		return e.Target.Incarnation
	}
	if l, gone := r.left[t.ID]; gone {
		return l.Incarnation
	}
	at := max(uint64(now.UnixMilli()), r.gone[t.ID].Incarnation+1)
	for _, e := range r.live {
		if e.Target.Address == t.Address {
			at = max(at, e.Target.Incarnation+1)
		}
	}
	return at
}

// Leave marks a target as leaving for the rest of an incarnation, the present one
// if it is zero. Announcements of it that arrive later change nothing.
func (r *Registrar) Leave(now time.Time, id string, incarnation uint64) {
	if incarnation == 0 {
		incarnation = r.seen(id)
	}
	if r.left == nil {
		r.left = map[string]Gone{}
	}
	if incarnation > r.left[id].Incarnation {
		r.left[id] = Gone{ID: id, Incarnation: incarnation, At: now}
	}
	e := r.live[id]
	if e == nil || e.Target.Incarnation > incarnation || e.Target.Leaving {
		return
	}
	r.rev++
	e.Rev, e.Target.Leaving = r.rev, true
}

// settle decides between two targets at one address.
func (r *Registrar) settle(now time.Time, t messenger.Target) error {
	if !r.Exclusive || t.Address == "" {
		return nil
	}
	for id, e := range r.live {
		switch {
		case id == t.ID || e.Target.Address != t.Address:
		case e.Target.Incarnation > t.Incarnation:
			return coder.Errorf(coder.WrongIncarnation, "target %q: %q has taken over %s", t.ID, id, t.Address)
		default:
			r.end(now, id)
		}
	}
	return nil
}

// end ends a lease.
func (r *Registrar) end(now time.Time, id string) {
	r.rev++
	r.gone[id] = Gone{ID: id, Incarnation: r.live[id].Target.Incarnation, At: now, Rev: r.rev}
	delete(r.live, id)
}

func lease(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultLease
	}
	return min(d, MaxLease)
}

// seen returns the highest incarnation of a target known, zero if none is.
func (r *Registrar) seen(id string) uint64 {
	if e := r.live[id]; e != nil {
		return e.Target.Incarnation
	}
	return r.gone[id].Incarnation
}

func (r *Registrar) add(now time.Time, id string) *Entry {
	if r.live == nil {
		r.live, r.gone = map[string]*Entry{}, map[string]Gone{}
	}
	delete(r.gone, id)
	e := &Entry{Since: now}
	r.live[id] = e
	return e
}

// differs reports any change but one of the load and of the configuration held.
func differs(old, t messenger.Target) bool {
	if old.Load.Memory != t.Load.Memory {
		return true
	}
	old.Load, t.Load = messenger.Load{}, messenger.Load{}
	old.Config, t.Config = 0, 0
	old.Seq, t.Seq = 0, 0
	return !reflect.DeepEqual(old, t)
}

// step maps each load figure that changes to its step.
func step(l messenger.Load) messenger.Load {
	return messenger.Load{
		Waiting: level(l.Waiting), Running: level(l.Running), Used: level(l.Used),
		Speed: level(l.Speed), Pace: level(l.Pace),
	}
}

// level numbers the steps: loadSteps of them between two powers of two.
func level(n int) int {
	if n < 2*loadSteps {
		return n
	}
	shift := bits.Len(uint(n)) - bits.Len(uint(loadSteps))
	return shift*loadSteps + n>>shift
}

// Expire ends the leases that are over and returns their targets' ids in order.
// It is called at least once a second. After a longer pause this process was
// frozen and heard no renewal, so every lease is longer by the pause.
func (r *Registrar) Expire(now time.Time) []string {
	if pause := now.Sub(r.last); !r.last.IsZero() && pause > frozenAfter {
		for _, e := range r.live {
			e.Until = e.Until.Add(pause)
		}
	}
	r.last = now
	var ended []string
	for id, e := range r.live {
		if !now.Before(e.Until) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		r.end(now, id)
	}
	r.forget(now)
	return ended
}

func (r *Registrar) forget(now time.Time) {
	for id, g := range r.gone {
		if now.Sub(g.At) >= Remembered {
			delete(r.gone, id)
		}
	}
	for id, g := range r.left {
		if now.Sub(g.At) >= Remembered {
			delete(r.left, id)
		}
	}
}

// Rev returns the number of the last change of any kind.
func (r *Registrar) Rev() uint64 { return r.rev }

// Live returns the live targets in order of their ids.
func (r *Registrar) Live() []Entry {
	out := make([]Entry, 0, len(r.live))
	for _, e := range r.live {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// Gone returns the targets that have gone and are remembered, in order of ids.
func (r *Registrar) Gone() []Gone {
	out := make([]Gone, 0, len(r.gone))
	for _, g := range r.gone {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b Gone) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
