package router_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "150", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	// The platform's rule: from pauseGrace after an answer that names a time until the end of
	// this time, at most maxPausedArrivals requests of an entry arrive at the target.
	pauseGrace        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// The delays of an answer and of a request together are below pauseGrace.
	maxHop = 249 // ms
)

// pausedFleet is an entry before targets that pause, leave and start again, while views
// come late and in any order.
type pausedFleet struct {
	now    time.Time
	r      router.Router
	bySlot bool
	starts []uint64 // current incarnation of each target
	seq    uint64
	events []limitEvent // sorted by time
	ended  []func()     // of requests in flight, which end them

	viewed   map[pausedTarget]bool      // in the last view
	absent   map[pausedTarget]time.Time // since when in no view
	leaving  map[pausedTarget]time.Time // when it was marked
	heldTill map[pausedTarget]time.Time // end of the pauses that the entry knows
	answers  map[pausedTarget][]pauseAnswer
}

// pausedTarget is what a pause or mark binds.
type pausedTarget struct {
	id          string
	incarnation uint64 // zero if the id stands for one start
}

// pauseAnswer is an answer that asked for a pause.
type pauseAnswer struct {
	from, until time.Time
	arrivals    int
}

func (f *pausedFleet) key(t messenger.Target) pausedTarget {
	if f.r.IDPerStart {
		return pausedTarget{id: t.ID}
	}
	return pausedTarget{id: t.ID, incarnation: t.Incarnation}
}

// drawTarget returns any target, in its present incarnation or the one before.
func (f *pausedFleet) drawTarget(t *rapid.T) messenger.Target {
	return f.drawIncarnation(t, f.target(rapid.IntRange(0, len(f.starts)-1).Draw(t, "target")))
}

// drawIncarnation returns a target in its present incarnation or the one before.
func (f *pausedFleet) drawIncarnation(t *rapid.T, target messenger.Target) messenger.Target {
	target.Incarnation = rapid.Uint64Range(max(1, target.Incarnation-1), target.Incarnation).Draw(t, "incarnation")
	return target
}

func (f *pausedFleet) target(i int) messenger.Target {
	t := messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Address: "same:1", Incarnation: f.starts[i], Lane: []string{"", router.LaneShort, router.LaneLong}[i%3]}
	f.seq++
	t.Seq, t.Load = f.seq, messenger.Load{Seq: f.seq, Memory: 1 << 30, Speed: 1 << 30, Pace: 40}
	if f.bySlot {
		t.Slots = slotsPerTarget
	}
	return t
}

// announce passes a view to the entry with any of the targets, which may be late.
func (f *pausedFleet) announce(t *rapid.T) {
	var view []messenger.Target
	viewed := map[pausedTarget]bool{}
	for i := range f.starts {
		if rapid.IntRange(0, 3).Draw(t, "dropped") == 0 {
			continue
		}
		v := f.drawIncarnation(t, f.target(i))
		v.Leaving = rapid.IntRange(0, 7).Draw(t, "leaving") == 0
		view = append(view, v)
		viewed[f.key(v)] = true
	}
	for k := range f.viewed {
		if !viewed[k] {
			f.absent[k] = f.now
		}
	}
	for k := range viewed {
		delete(f.absent, k)
	}
	f.viewed = viewed
	f.r.Update(f.now, rapid.Permutation(view).Draw(t, "view"))
}

func (f *pausedFleet) restart(t *rapid.T) {
	f.starts[rapid.IntRange(0, len(f.starts)-1).Draw(t, "target")]++
}

// request sends one request, if a target is selected, to it and to its helpers.
func (f *pausedFleet) request(t *rapid.T) {
	req := rapid.SampledFrom([]router.Request{
		shortRequest, longRequest, plainRequest, {Service: "s", Prompt: 100000}, cachedRequest("a"), cachedRequest("b"),
		{Service: "s", Prompt: 210000, Prefill: time.Second, PrefillTargets: 3, MaxGap: time.Second, Objective: 3 * time.Second},
	}).Draw(t, "request")
	if rapid.Bool().Draw(t, "retry") {
		req.Exclude = []string{fmt.Sprint("t", rapid.IntRange(0, len(f.starts)-1).Draw(t, "excluded"))}
	}
	p, ok := f.r.Pick(f.now, req)
	if !ok {
		return
	}
	f.r.Sent(f.now, p, req)
	f.ended = append(f.ended, func() {
		f.r.PrefillDone(p, req)
		f.r.Ended(p, req)
	})
	for _, target := range append([]messenger.Target{p.Target}, p.Helpers...) {
		f.expectOpen(t, target)
		f.after(f.drawHop(t), func() { f.arrive(f.key(target)) })
	}
}

// expectOpen fails if the entry knew, when it selected a target, that this accepts nothing.
func (f *pausedFleet) expectOpen(t *rapid.T, target messenger.Target) {
	k := f.key(target)
	if _, ok := f.leaving[k]; ok {
		t.Fatalf("%v was selected after it has said that it leaves", k)
	}
	if f.now.Before(f.heldTill[k]) {
		t.Fatalf("%v was selected %s before the end of its pause", k, f.heldTill[k].Sub(f.now))
	}
	if f.r.Held(f.now, target) {
		t.Fatalf("%v was selected while held", k)
	}
}

func (f *pausedFleet) drawHop(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, maxHop).Draw(t, "hop")) * time.Millisecond
}

func (f *pausedFleet) arrive(k pausedTarget) {
	for i := range f.answers[k] {
		if a := &f.answers[k][i]; f.now.After(a.from) && f.now.Before(a.until) {
			a.arrivals++
		}
	}
}

// pause sends an answer of a target that asks for a pause.
func (f *pausedFleet) pause(t *rapid.T) {
	target, hop := f.drawTarget(t), f.drawHop(t)
	d := rapid.SampledFrom([]time.Duration{
		0, -1, -1 << 63, 1, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second, 10 * time.Second, time.Minute, testMaxPause, 2 * testMaxPause, 1<<63 - 1,
	}).Draw(t, "pause")
	k, bounded := f.key(target), min(d, testMaxPause)
	f.answers[k] = append(f.answers[k], pauseAnswer{from: f.now.Add(pauseGrace), until: f.now.Add(bounded)})
	f.after(hop, func() {
		until, _ := f.r.Pause(f.now, target, d)
		if end := f.now.Add(bounded); d > 0 && end.After(f.heldTill[k]) {
			f.heldTill[k] = end
		}
		if f.now.Before(f.heldTill[k]) && !until.Equal(f.heldTill[k]) {
			t.Fatalf("%v pauses until %s, want %s", k, until, f.heldTill[k])
		}
	})
}

func (f *pausedFleet) leave(t *rapid.T) {
	target := f.drawTarget(t)
	f.after(f.drawHop(t), func() {
		k := f.key(target)
		_, known := f.leaving[k]
		if f.r.MarkLeaving(f.now, target) && known {
			t.Fatalf("the mark of %v was lost", k)
		}
		if !known {
			f.leaving[k] = f.now
		}
	})
}

func (f *pausedFleet) endRequests(*rapid.T) {
	for _, end := range f.ended {
		end()
	}
	f.ended = nil
}

// pass lets time pass, in which what is on the wire arrives.
func (f *pausedFleet) pass(t *rapid.T) {
	end := f.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second, time.Minute, 70 * time.Minute,
	}).Draw(t, "time"))
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := f.events[0]
		f.events, f.now = f.events[1:], e.at
		e.do()
	}
	f.now = end
	for _, h := range f.r.EndedHolds(f.now) {
		if h.Until.After(f.now) {
			t.Fatalf("%+v has ended at %s", h, f.now)
		}
	}
	for k, at := range f.leaving {
		if !f.viewed[k] && f.now.Sub(at) >= testHoldTTL && f.now.Sub(f.absent[k]) >= testHoldTTL {
			delete(f.leaving, k)
		}
	}
}

// after schedules an event.
func (f *pausedFleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e limitEvent, at time.Time) int { return e.at.Compare(at) })
	for i < len(f.events) && f.events[i].at.Equal(at) {
		i++
	}
	f.events = slices.Insert(f.events, i, limitEvent{at: at, do: do})
}

func (f *pausedFleet) check(t *rapid.T) {
	for k, answers := range f.answers {
		for _, a := range answers {
			if a.arrivals > maxPausedArrivals {
				t.Fatalf("%d requests reached %v between %s and %s, want at most %d", a.arrivals, k, a.from, a.until, maxPausedArrivals)
			}
		}
	}
}

// Guards against requests to a target that pauses or leaves, whatever its views, answers
// and incarnations, and however many paths select it.
func TestAtMostTwoRequestsReachPausedTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &pausedFleet{
			now: time.Unix(0, 0), bySlot: rapid.Bool().Draw(t, "slots"), starts: slices.Repeat([]uint64{1}, rapid.IntRange(1, 5).Draw(t, "targets")),
			viewed: map[pausedTarget]bool{}, absent: map[pausedTarget]time.Time{}, leaving: map[pausedTarget]time.Time{},
			heldTill: map[pausedTarget]time.Time{}, answers: map[pausedTarget][]pauseAnswer{},
		}
		f.r.Seed, f.r.IDPerStart = rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "id per start")
		t.Repeat(map[string]func(*rapid.T){
			"": f.check, "request": f.request, "requests": f.request, "more requests": f.request, "pause": f.pause, "leave": f.leave, "view": f.announce,
			"restart": f.restart, "end": f.endRequests, "pass": f.pass, "pass more": f.pass,
		})
	})
}
