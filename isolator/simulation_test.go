package isolator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// contact is the time within which what one node knows reaches all others in the rule that
// the simulation checks.
const contact = 3 * time.Second

// allowedSends is the number of requests with a bad part that may reach targets later than
// contact after its fifth crash.
const allowedSends = 3

// warmup is the time from the start of the fleet to the first request with a bad part.
const warmup = 2 * time.Second

// fleet simulates entries and targets. Targets crash when they begin an answer to a request
// with a bad part, and return under a new incarnation.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	isolator isolator.Isolator
	entries  []*entry
	targets  []*target
	bad      map[uint64]*badPart
	common   bool          // part 1 is in every request
	prefix   int           // position of the bad part
	delay    time.Duration // longest delay of a message
	rate     time.Duration // between two requests with a bad part
	outage   time.Duration // when a third of the targets fails together
	nextID   uint64

	served, refused int // sound requests
	refusedLate     int // of refused, those that arrived later than twice contact after the last crash
	lastCrash       time.Duration
}

type badPart struct {
	crashes int
	fifth   time.Duration
	late    int // sends later than contact after the fifth crash
}

type entry struct {
	sound    map[uint64]time.Duration
	service  time.Duration // last sound answer; negative for none
	name     string
	list     *messenger.Isolated
	listed   time.Duration // when list was published
	reported map[uint64]time.Duration
	claiming map[uint64]bool // a request waits for the grant of a trial, by the first part of the group
}

type target struct {
	incarnation uint64
	up          bool
	running     []*request
}

type request struct {
	id     uint64
	parts  []uint64
	entry  *entry
	sent   time.Duration
	tries  int
	goneOn bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (f *fleet) after(d time.Duration, do func()) {
	f.nextID++
	heap.Push(&f.events, event{f.now + d, int(f.nextID), do})
}

func (f *fleet) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

// message returns the delay of a message.
func (f *fleet) message() time.Duration { return f.random(f.delay/10, f.delay) }

func (f *fleet) random(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

func (f *fleet) start(entries, targets int) {
	for n := range entries {
		f.entries = append(f.entries, &entry{
			name: fmt.Sprint("entry-", n), sound: map[uint64]time.Duration{}, service: -1, reported: map[uint64]time.Duration{},
			claiming: map[uint64]bool{},
		})
	}
	for i := range targets {
		f.targets = append(f.targets, &target{incarnation: uint64(i + 1), up: true})
	}
	f.nextID = uint64(targets) + 1
}

// repeat calls do at random intervals around the given one.
func (f *fleet) repeat(interval time.Duration, do func()) {
	f.after(f.random(interval/2, 3*interval/2), func() {
		do()
		f.repeat(interval, do)
	})
}

func (f *fleet) run(length time.Duration) {
	f.repeat(50*time.Millisecond, func() { f.arrive(0) })
	for id := range f.bad {
		f.after(warmup, func() { f.repeat(f.rate, func() { f.arrive(id) }) })
	}
	if f.outage > 0 {
		f.after(f.outage, func() {
			for _, t := range f.targets[:len(f.targets)/3] {
				f.crash(t)
			}
		})
	}
	for len(f.events) > 0 && f.events[0].at < length {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// arrive sends a request; bad is zero for a sound one.
func (f *fleet) arrive(bad uint64) {
	f.nextID++
	r := &request{id: f.nextID, entry: f.entries[f.rng.IntN(len(f.entries))]}
	if f.common {
		r.parts = append(r.parts, 1)
	}
	r.parts = append(r.parts, 10+f.rng.Uint64N(4), 20+f.rng.Uint64N(40))
	if bad != 0 {
		r.parts = slices.Insert(r.parts, min(f.prefix, len(r.parts)), bad)
	}
	f.send(r)
}

func (f *fleet) send(r *request) {
	if groups := isolator.MatchAll(r.entry.list, r.parts); len(groups) > 0 {
		f.claim(r, groups)
		return
	}
	f.place(r)
}

// trialClaim is a request that waits for the grant of a trial.
type trialClaim struct {
	f     *fleet
	r     *request
	parts []uint64
	done  bool
}

// claim claims a trial of the group that holds a request back, and sends the request if the
// trial is granted in time.
func (f *fleet) claim(r *request, groups []*messenger.PartGroup) {
	c := &trialClaim{f: f, r: r, parts: groups[0].Parts}
	if len(groups) > 1 || r.entry.claiming[c.parts[0]] || !isolator.IsClaimable(groups[0], f.clock()) {
		f.refuse(f.badPart(r))
		return
	}
	r.entry.claiming[c.parts[0]] = true
	f.after(isolator.ClaimWait, func() { c.end(false) })
	f.after(f.message(), func() {
		granted := f.isolator.Claim(f.clock(), c.parts)
		if granted {
			f.publish()
		}
		f.after(f.message(), func() { c.end(granted) })
	})
}

// end sends the request, unless the claim was not granted or another group holds it back by now.
func (c *trialClaim) end(granted bool) {
	if c.done {
		return
	}
	c.done = true
	c.r.entry.claiming[c.parts[0]] = false
	others := slices.ContainsFunc(isolator.MatchAll(c.r.entry.list, c.r.parts), func(g *messenger.PartGroup) bool { return !slices.Equal(g.Parts, c.parts) })
	if !granted || others {
		c.f.refuse(c.f.badPart(c.r))
		return
	}
	c.f.place(c.r)
}

// place sends a request to a target.
func (f *fleet) place(r *request) {
	bad := f.badPart(r)
	up := slices.DeleteFunc(slices.Clone(f.targets), func(t *target) bool { return !t.up })
	if len(up) == 0 {
		return
	}
	if bad != nil && bad.crashes >= 5 && f.now > bad.fifth+contact {
		bad.late++
	}
	t := up[f.rng.IntN(len(up))]
	r.sent = f.now
	r.tries++
	t.running = append(t.running, r)
	incarnation := t.incarnation
	f.after(f.random(50*time.Millisecond, 400*time.Millisecond), func() {
		if t.incarnation == incarnation && t.up {
			f.begin(t, r)
		}
	})
}

func (f *fleet) badPart(r *request) *badPart {
	for _, id := range r.parts {
		if b := f.bad[id]; b != nil {
			return b
		}
	}
	return nil
}

func (f *fleet) refuse(bad *badPart) {
	if bad != nil {
		return
	}
	f.refused++
	if f.now > f.lastCrash+2*contact {
		f.refusedLate++
	}
}

// begin begins the answer to a request.
func (f *fleet) begin(t *target, r *request) {
	if b := f.badPart(r); b != nil {
		b.crashes++
		if b.crashes == 5 {
			b.fifth = f.now
		}
		f.crash(t)
		return
	}
	incarnation := t.incarnation
	f.after(100*time.Millisecond, func() {
		if t.incarnation == incarnation && t.up {
			f.goOn(r)
		}
	})
}

func (f *fleet) goOn(r *request) {
	r.goneOn = true
	f.served++
	r.entry.service = f.now
	for _, id := range r.parts {
		r.entry.sound[id] = f.now
	}
	f.reportSound(r.entry, r.parts)
}

// reportSound reports those of the parts that are listed and were answered.
func (f *fleet) reportSound(e *entry, parts []uint64) {
	for _, id := range parts {
		at, ok := e.sound[id]
		last, again := e.reported[id]
		if !ok || !listed(e.list, id) || again && f.now-last < 200*time.Millisecond {
			continue
		}
		e.reported[id] = f.now
		f.after(f.message(), func() {
			if f.isolator.Sound(f.clock(), id, f.now-at) {
				f.publish()
			}
		})
	}
}

func listed(v *messenger.Isolated, id uint64) bool {
	return v != nil && (slices.Contains(v.Suspected, id) ||
		slices.ContainsFunc(v.Groups, func(g messenger.PartGroup) bool { return slices.Contains(g.Parts, id) }))
}

// crash ends an incarnation. The entries report the requests that were running.
func (f *fleet) crash(t *target) {
	f.lastCrash = f.now
	incarnation, lost := t.incarnation, t.running
	t.up, t.running = false, nil
	f.after(f.random(2*time.Second, 5*time.Second), func() {
		f.nextID++
		t.incarnation, t.up = f.nextID, true
	})
	for _, r := range lost {
		if !r.goneOn {
			f.after(f.message(), func() { f.lose(r, incarnation) })
		}
	}
}

// lose reports a request whose target was lost, and tries it once more.
func (f *fleet) lose(r *request, incarnation uint64) {
	accused := slices.DeleteFunc(slices.Clone(r.parts), func(id uint64) bool {
		at, ok := r.entry.sound[id]
		return ok && at > r.sent
	})
	service := r.entry.service
	f.after(f.message(), func() {
		age := time.Duration(-1)
		if service >= 0 {
			age = f.now - service
		}
		if f.isolator.Report(f.clock(), time.Hour, isolator.Report{
			Node: r.entry.name, Service: "s", Parts: accused, Request: r.id, Target: "t", Incarnation: incarnation, Sound: age,
		}) {
			f.publish()
		}
		if f.isolator.Pending(f.clock()) {
			f.after(isolator.MinWait, f.settle)
		}
	})
	if r.tries < 2 {
		f.send(r)
	}
}

func (f *fleet) settle() {
	if f.isolator.Settle(f.clock(), time.Hour) {
		f.publish()
	}
}

// publish sends the listed parts to the entries.
func (f *fleet) publish() {
	v, at := f.isolator.Isolated(f.clock()), f.now
	for _, e := range f.entries {
		f.after(f.message(), func() {
			if e.listed > at {
				return
			}
			e.list, e.listed = v, at
			f.reportSound(e, append(slices.Clone(v.Suspected), groupParts(v)...))
		})
	}
}

func groupParts(v *messenger.Isolated) (out []uint64) {
	for _, g := range v.Groups {
		out = append(out, g.Parts...)
	}
	return out
}
