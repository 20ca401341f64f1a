package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
	"bramleyshunt/router"
)

// coldFleet is a number of entries before targets with a bound on their requests. No message
// passes between entries; each has a view of its own.
type coldFleet struct {
	entries int
	targets int
	slots   int           // of each target; zero if they report none
	load    float64       // requests per second and entry; zero for as many as its shares allow
	unsure  time.Duration // maximum time from the placement of a request until it is sent
	zone    int           // targets, first ones in number, that return cold at coldReturn
	secret  bool          // no view and no answer says that they are cold
	restart int           // entries that start anew at coldRestart, one each coldTick; none of those that are cut off
	cut     int           // entries whose views do not change from coldCut on, and which the others lose
	stale   bool          // those refuse requests coldStale later, and are lost coldLease later, as in the product
	added   int           // entries that join at coldRestart
	partial bool          // views lack entries at random
	blank   bool          // views of entries that have started list no others for coldBlank, as after a restart of the keepers

	now      time.Time
	rnd      *rand.Rand
	members  []*coldEntry
	events   []limitEvent
	arrivals map[string][]time.Time
	waits    []time.Duration // of the requests that were placed from coldReturn on
}

// coldEntry is one entry and its view.
type coldEntry struct {
	f        *coldFleet
	name     string
	r        *router.Router
	life     int // number of its process
	started  time.Time
	frozen   []string             // its view of the entries since it was cut off
	lacking  map[string]time.Time // entries that its views lack, until when
	waiting  []time.Time
	owed     float64
	isolated bool
}

const (
	coldTick    = 20 * time.Millisecond
	coldRunTime = 11 * time.Second
	coldReturn  = 5 * time.Second
	coldRestart = 6 * time.Second
	coldCut     = 2 * time.Second
	coldPeriod  = 3 * time.Second
	// coldViewLag is the age of what a view says of entries.
	coldViewLag = time.Second
	// coldStale and coldLease are watcher.DefaultStaleAfter and registrar.DefaultLease.
	coldStale  = 5 * time.Second
	coldBlank  = 2 * time.Second
	coldLease  = 3 * time.Second
	coldAnswer = 150 * time.Millisecond
)

// coldLimit is the bound of the deployment in Riga.
var coldLimit = ramper.Limit{Cold: 26, Bound: 44, ColdTime: coldPeriod}

func (f *coldFleet) elapsed() time.Duration { return f.now.Sub(time.Unix(0, 0)) }

func (f *coldFleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e limitEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	f.events = slices.Insert(f.events, i, limitEvent{at: at, do: do})
}

func (f *coldFleet) run() {
	f.now, f.rnd, f.arrivals = time.Unix(0, 0), rand.New(rand.NewPCG(3, 4)), map[string][]time.Time{}
	for i := range f.entries {
		e := &coldEntry{f: f, name: fmt.Sprint("10.0.1.", i), lacking: map[string]time.Time{}, started: f.now.Add(-time.Minute)}
		f.members = append(f.members, e)
	}
	for _, e := range f.members {
		e.start()
	}
	f.schedule()
	for f.elapsed() < coldRunTime {
		f.tick()
	}
}

// schedule sets the events of a run.
func (f *coldFleet) schedule() {
	for i := range f.restart {
		f.after(coldRestart+time.Duration(i)*coldTick, func() {
			e := f.members[(f.cut+i)%f.entries]
			e.started = f.now
			e.start()
		})
	}
	f.after(coldRestart, func() {
		for i := range f.added {
			e := &coldEntry{f: f, name: fmt.Sprint("10.0.2.", i), lacking: map[string]time.Time{}, started: f.now}
			f.members = append(f.members, e)
			e.start()
		}
	})
	f.after(coldCut, func() {
		for _, e := range f.members[:f.cut] {
			e.frozen = e.list()
		}
		for _, e := range f.members[:f.cut] {
			e.isolated = true
		}
	})
}

func (f *coldFleet) tick() {
	for len(f.events) > 0 && !f.events[0].at.After(f.now) {
		e := f.events[0]
		f.events = f.events[1:]
		e.do()
	}
	for _, e := range f.members {
		if f.elapsed()%(5*coldTick) == 0 {
			e.refresh()
		}
		e.offer()
	}
	f.now = f.now.Add(coldTick)
}

// start begins a new process of an entry.
func (e *coldEntry) start() {
	e.life++
	e.r = &router.Router{Seed: e.f.rnd.Uint64(), ColdBound: map[string]ramper.Limit{"s": coldLimit}}
	e.waiting = nil
	if e.started.Before(time.Unix(0, 0)) { // it has run for long
		var all []string
		for _, o := range e.f.members {
			all = append(all, o.name)
		}
		e.r.RecordEntries(e.started, e.name, all)
		e.r.RecordEntries(e.f.now, e.name, all)
	}
	e.refresh()
}

// list returns the entries in the view of an entry: those that were there coldViewLag ago. It
// lacks those that are cut off, and with partial others at random for seconds.
func (e *coldEntry) list() []string {
	if e.isolated {
		return e.frozen
	}
	if e.f.blank && e.f.now.Sub(e.started) < coldBlank {
		return []string{e.name}
	}
	var out []string
	for _, o := range e.f.members {
		if e.f.now.Sub(o.started) < coldViewLag && o.life == 1 || o.isolated && (!e.f.stale || e.f.elapsed() >= coldCut+coldLease) {
			continue
		}
		if !e.lacks(o) {
			out = append(out, o.name)
		}
	}
	return out
}

// lacks reports whether the view of an entry lacks another one, which it has seen before.
func (e *coldEntry) lacks(o *coldEntry) bool {
	epoch := time.Unix(0, 0)
	if !e.f.partial || o == e || !o.started.Before(epoch) || !e.started.Before(epoch) {
		return false
	}
	if e.f.rnd.Float64() < 0.02 {
		e.lacking[o.name] = e.f.now.Add(time.Duration(e.f.rnd.IntN(20)) * time.Second)
	}
	return e.f.now.Before(e.lacking[o.name])
}

// refresh gives an entry a new view.
func (e *coldEntry) refresh() {
	f := e.f
	var targets []messenger.Target
	for i := range f.targets {
		t := messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: f.slots, Incarnation: 1, Seq: 1}
		if i < f.zone && f.elapsed() >= coldReturn {
			if !f.secret {
				t.Cold, t.Seq, t.Incarnation = coldPeriod, 2, 2
			}
		} else if i < f.zone && !f.secret && f.elapsed() >= coldCut {
			continue // the zone is gone
		}
		targets = append(targets, t)
	}
	e.r.Update(f.now, targets)
	list := e.list()
	e.r.SetEntries(e.name, list)
	e.r.RecordEntries(f.now, e.name, list)
}

// offer places the requests of an entry that its targets may get now.
func (e *coldEntry) offer() {
	f := e.f
	if e.isolated && f.stale && f.elapsed() >= coldCut+coldStale {
		return
	}
	req := router.Request{Service: "s", Prompt: 1}
	if f.load == 0 {
		for e.place(req, f.now) {
		}
		return
	}
	for e.owed += f.load * coldTick.Seconds(); e.owed >= 1; e.owed-- {
		e.waiting = append(e.waiting, f.now)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(since time.Time) bool { return e.place(req, since) })
}

// place places a request and lets it be sent and answered later.
func (e *coldEntry) place(req router.Request, since time.Time) bool {
	f, r, life := e.f, e.r, e.life
	p, ok := r.Pick(f.now, req)
	if !ok {
		return false
	}
	r.Sent(f.now, p, req)
	if f.elapsed() >= coldReturn {
		f.waits = append(f.waits, f.now.Sub(since))
	}
	delay := time.Duration(0)
	if f.unsure > 0 {
		delay = time.Duration(f.rnd.Int64N(int64(f.unsure)))
	}
	f.after(delay, func() {
		if e.life != life { // the process has ended
			return
		}
		if !r.MaySend(f.now, p) || f.unsure > 0 && f.rnd.IntN(10) == 0 {
			r.PrefillDone(p, req)
			r.Ended(p, req)
			r.Unsent(p)
			return
		}
		r.Sending(f.now, p)
		f.arrivals[p.Target.ID] = append(f.arrivals[p.Target.ID], f.now)
		f.after(coldAnswer, func() {
			r.PrefillDone(p, req)
			r.Answered(p)
			r.Ended(p, req)
		})
	})
	return true
}

// most returns the largest number of requests of a target in any one second of a part of the
// run, both ends of the second included.
func (f *coldFleet) most(id string, from, to time.Duration) (most int) {
	at := f.arrivals[id]
	for i, begin := range at {
		if d := begin.Sub(time.Unix(0, 0)); d < from || d >= to {
			continue
		}
		n := 0
		for i+n < len(at) && !at[i+n].After(begin.Add(time.Second)) {
			n++
		}
		most = max(most, n)
	}
	return most
}

func (f *coldFleet) expectBoundKept(t *testing.T) {
	t.Helper()
	for i := range f.targets {
		if n := f.most(limitTarget(i), 0, coldRunTime); n > int(coldLimit.Bound) {
			t.Errorf("%s got %d requests in one second, want at most %g", limitTarget(i), n, coldLimit.Bound)
		}
	}
}

// Guards against more requests to a target in some second than it bears when it is cold, for
// each pattern in which entries know less than they need for that. All entries send as many
// requests as their shares allow.
func TestColdBoundIsKeptByAllEntriesTogether(t *testing.T) {
	for _, n := range []int{4, 27, 31, 103} {
		for name, f := range map[string]*coldFleet{
			"a whole zone returns cold at once":          {zone: 3},
			"targets are cold again without notice":      {zone: 6, secret: true},
			"half of the entries restart meanwhile":      {zone: 3, restart: n / 2, unsure: 300 * time.Millisecond},
			"all entries restart meanwhile":              {zone: 3, restart: n},
			"all entries and keepers restart meanwhile":  {zone: 3, restart: n, blank: true},
			"entries join meanwhile":                     {zone: 3, added: 3},
			"a cut-off entry keeps sending":              {zone: 3, cut: 1},
			"half of the entries are cut off":            {zone: 3, cut: n / 2, restart: n / 4, stale: true},
			"lists of the entries are old and partial":   {zone: 3, partial: true, unsure: 300 * time.Millisecond},
			"entries join, others restart, partial ones": {zone: 3, partial: true, added: 3, restart: n / 2},
		} {
			for _, slots := range []int{0, 64} {
				if n > 100 && slots == 0 { // takes seconds a case, and n = 4 to 31 show the same
					continue
				}
				c := *f
				c.entries, c.targets, c.slots = n, 6, slots
				t.Run(fmt.Sprintf("%d entries/%s/slots=%d", n, name, slots), func(t *testing.T) {
					c.run()
					c.expectBoundKept(t)
				})
			}
		}
	}
}

// between returns the number of requests of a target in a part of the run.
func (f *coldFleet) between(id string, from, to time.Duration) (n int) {
	for _, at := range f.arrivals[id] {
		if d := at.Sub(time.Unix(0, 0)); d >= from && d < to {
			n++
		}
	}
	return n
}

// expectZoneUsed checks the targets of the zone that has returned.
func (f *coldFleet) expectZoneUsed(t *testing.T) {
	t.Helper()
	for i := range f.zone {
		id := limitTarget(i)
		if got := f.most(id, 0, coldReturn+coldPeriod-time.Second-coldTick); got > int(coldLimit.Cold) {
			t.Errorf("%s got %d requests in a second while it was cold, it bears %g", id, got, coldLimit.Cold)
		}
		if got := f.between(id, coldReturn+coldPeriod, coldReturn+coldPeriod+2*time.Second); got < 4 {
			t.Errorf("%s got %d requests in the two seconds after its cold time, want about its share of 10", id, got)
		}
	}
	late := 0
	for _, d := range f.waits {
		if d > 2*coldTick {
			late++
		}
	}
	if late > len(f.waits)/100 {
		t.Errorf("%d of %d requests waited, want none", late, len(f.waits))
	}
}

// Guards against a zone that stays unused after its return, or gets more than a cold target
// bears, and against requests that wait for its targets while others are free. The load is a
// small part of what the targets of the other zone can take.
func TestZoneThatReturnsTakesItsShareWithinSeconds(t *testing.T) {
	for _, n := range []int{4, 27, 31, 103} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			f := &coldFleet{entries: n, targets: 48, slots: 64, zone: 24, load: 240 / float64(n)}
			f.run()
			f.expectZoneUsed(t)
		})
	}
}
