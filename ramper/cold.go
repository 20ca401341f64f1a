package ramper

import (
	"cmp"
	"slices"
	"time"
)

// A cold target is recognised by its heartbeats, by its answers, by its start and by a lost
// request. What is believed only lowers the load below the bound, which is kept in any case.

const (
	// MaxCold bounds the time for which one statement makes a target cold.
	MaxCold = 10 * time.Minute
	// absenceTime is how long a target has been in no view before it counts as started anew.
	// Views lose targets for seconds while keepers fail.
	absenceTime = 10 * time.Second
	// retention is how long a target is kept that is in no view.
	retention = time.Minute
	// rampStart is the number of requests without an answer that an entry has at a target
	// when its ramp begins. Each answer raises it by one, so it doubles with each round.
	rampStart = 1
	// rampEnd is the number at which the ramp of a warm target ends.
	rampEnd = 16
	// rampTime is how long after the cold time the ramp ends in any case.
	rampTime = 10 * time.Second
	// rampWait is the assumed wait for an answer of a target that is ramped up.
	rampWait = 50 * time.Millisecond
	// maxChanges bounds the changes that are kept until Changes returns them.
	maxChanges = 4096
)

// Source says from what a target is believed to be cold.
type Source uint8

//go:generate go tool -modfile=../tools/go.mod stringer -type=Source -linecomment

// Sources.
const (
	SourceHeartbeat Source = iota // heartbeat
	SourceAnswer                  // answer
	SourceStart                   // start
	SourceLoss                    // loss
)

// Change is a target that has become cold or warm.
type Change struct {
	Target string
	Cold   bool
	Source Source        // of the last statement
	For    time.Duration // how long a cold target is expected to stay so, or a warm one was cold
	Age    time.Duration // since the last statement
}

// Announcement is what a view says of a target.
type Announcement struct {
	ID          string
	Incarnation uint64
	Seq         uint64        // of the heartbeat
	Cold        time.Duration // remaining, as of the heartbeat
	Limit       Limit
}

// state is what is believed of a target's temperature.
type state struct {
	view        uint64    // Ramper.views when it was last in the view
	goneAt      time.Time // when it was first missing from the view; zero if it is there
	incarnation uint64
	seq         uint64
	announced   time.Duration // Announcement.Cold of the last view

	coldSince time.Time
	coldUntil time.Time
	statedAt  time.Time // when coldUntil was set
	source    Source

	ramping    bool
	room       int // requests without an answer that the ramp allows
	unanswered int // requests of this entry without an answer
}

func (s *state) coldAt(now time.Time) bool { return now.Before(s.coldUntil) }

// rampRoom returns how many more requests without an answer a target may have.
func (s *state) rampRoom(now time.Time) int {
	if s.ramping && !s.coldAt(now) && (s.room >= rampEnd || !now.Before(s.coldUntil.Add(rampTime))) {
		s.ramping = false
	}
	if !s.ramping {
		return int(^uint(0) >> 1)
	}
	return s.room - s.unanswered
}

// SetTargets records the bounded targets of a view. A target that is new since the last view,
// has a new incarnation or was missing for absenceTime counts as started now.
func (r *Ramper) SetTargets(now time.Time, view []Announcement) {
	r.views++
	for _, a := range view {
		r.announce(now, a)
	}
	for id, t := range r.targets {
		switch {
		case t.view == r.views:
		case t.goneAt.IsZero():
			t.goneAt = now
		case now.Sub(t.goneAt) >= retention && t.reserved == 0 && t.unanswered == 0:
			delete(r.targets, id)
			delete(r.cold, id)
		}
	}
}

func (r *Ramper) announce(now time.Time, a Announcement) {
	t := r.Target(a.ID)
	first := t.view == 0
	started := first && r.views > 1 || !first && t.incarnation != a.Incarnation || !t.goneAt.IsZero() && now.Sub(t.goneAt) >= absenceTime
	renewed := first || t.incarnation != a.Incarnation || t.seq != a.Seq || t.announced != a.Cold
	t.view, t.goneAt, t.incarnation, t.seq, t.announced = r.views, time.Time{}, a.Incarnation, a.Seq, a.Cold
	if started && a.Limit.ColdTime > 0 {
		r.believe(now, t, a.Limit.ColdTime, SourceStart)
	}
	switch {
	case !renewed || a.Cold <= 0 && (first || started || !t.coldAt(now) || t.source != SourceHeartbeat):
	case t.coldAt(now) && t.source != SourceHeartbeat && t.source != SourceStart && now.Add(a.Cold).Before(t.coldUntil):
		// An answer or a loss may be newer than the heartbeat.
	default:
		r.believe(now, t, a.Cold, SourceHeartbeat)
	}
}

// RecordAnswer records how long a target stays cold by its answer; zero if it is warm.
func (r *Ramper) RecordAnswer(now time.Time, t *Target, cold time.Duration) {
	if cold > 0 || t.coldAt(now) {
		r.believe(now, t, cold, SourceAnswer)
	}
}

// RecordLoss records that a target broke off a request. It may have started anew.
func (r *Ramper) RecordLoss(now time.Time, t *Target, l Limit) {
	if !now.Add(l.ColdTime).Before(t.coldUntil) {
		r.believe(now, t, l.ColdTime, SourceLoss)
	}
	t.ramping, t.room = true, rampStart
}

// Answered records the first part of the answer to a request.
func (r *Ramper) Answered(t *Target) {
	r.Ended(t)
	t.room++
}

// believe sets how long a target stays cold.
func (r *Ramper) believe(now time.Time, t *Target, d time.Duration, source Source) {
	was := t.coldAt(now)
	if d = min(d, MaxCold); d <= 0 && !was {
		return
	}
	t.coldUntil, t.statedAt, t.source = now.Add(max(0, d)), now, source
	if was || d <= 0 {
		return
	}
	if r.cold == nil {
		r.cold = map[string]*Target{}
	}
	if _, logged := r.cold[t.id]; !logged {
		r.cold[t.id], t.coldSince = t, now
		r.addChange(Change{Target: t.id, Cold: true, Source: source, For: d})
	}
	t.ramping, t.room = true, rampStart
}

func (r *Ramper) addChange(c Change) {
	if len(r.changes) < maxChanges {
		r.changes = append(r.changes, c)
	}
}

// Cold returns the number of targets that are believed to be cold.
func (r *Ramper) Cold() int { return len(r.cold) }

// Changes returns the targets that have become cold or warm since the last call.
func (r *Ramper) Changes(now time.Time) []Change {
	for id, t := range r.cold {
		if !t.coldAt(now) {
			delete(r.cold, id)
			r.addChange(Change{Target: id, Source: t.source, For: t.coldUntil.Sub(t.coldSince), Age: now.Sub(t.statedAt)})
		}
	}
	out := r.changes
	r.changes = nil
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
