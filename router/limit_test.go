package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// limitedFleet is a number of entries before targets of which some name a rate limit from
// limitedFrom to limitedUntil.
type limitedFleet struct {
	entries    int
	targets    int
	limited    int           // targets that name the limit, first ones in number
	limit      float64       // requests per second
	load       float64       // requests per second, of all entries together
	shareEvery time.Duration // between two reports of an entry to the others
	leave      int           // entries that stop at limitedLeave, which the other ones learn one by one

	names    []string
	now      time.Time
	rnd      *rand.Rand
	routers  []*router.Router
	told     []map[string]time.Time // when each entry received the first answer with a limit, by target
	events   []limitEvent           // sorted by time
	waiting  []waitingRequest
	arrivals map[string][]limitArrival // by target
}

const (
	limitTick      = 10 * time.Millisecond
	limitedFrom    = 5 * time.Second
	limitedUntil   = 25 * time.Second
	limitedLeave   = 12 * time.Second
	limitRunTime   = 42 * time.Second
	firstChunk     = 150 * time.Millisecond // from sending a request to the header of its answer
	answerDuration = time.Second
	maxQueueTime   = 2 * time.Second

	// The platform's rule: limitGrace after the first answer that named a limit, at most
	// limitFactor of the limit and limitSlack requests arrive in any limitWindow, counted
	// over the entries that have received such an answer limitKnown ago.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitKnown  = 500 * time.Millisecond
)

type limitEvent struct {
	at time.Time
	do func()
}

type waitingRequest struct {
	entry int
	since time.Time
}

type limitArrival struct {
	at    time.Time
	knows bool // the entry that sent it has known the limit for limitKnown
}

func (f *limitedFleet) run() {
	f.now, f.rnd, f.arrivals = time.Unix(0, 0), rand.New(rand.NewPCG(1, 2)), map[string][]limitArrival{}
	var targets []messenger.Target
	for i := range f.targets {
		targets = append(targets, messenger.Target{ID: limitTarget(i), Service: "s", Slots: slotsPerTarget, Incarnation: 1})
	}
	for i := range f.entries {
		f.names = append(f.names, fmt.Sprint(i))
	}
	for i, name := range f.names {
		r := &router.Router{Seed: uint64(i)}
		r.Update(f.now, targets)
		r.SetEntries(name, f.names)
		f.after(limitedLeave+time.Duration(i)*100*time.Millisecond, func() { r.SetEntries(name, f.names[f.leave:]) })
		f.routers, f.told = append(f.routers, r), append(f.told, map[string]time.Time{})
	}
	for f.elapsed() < limitRunTime {
		f.tick()
	}
}

func limitTarget(i int) string { return fmt.Sprintf("t%d", i) }

func (f *limitedFleet) elapsed() time.Duration { return f.now.Sub(time.Unix(0, 0)) }

func (f *limitedFleet) tick() {
	for len(f.events) > 0 && !f.events[0].at.After(f.now) {
		e := f.events[0]
		f.events = f.events[1:]
		e.do()
	}
	if f.elapsed()%f.shareEvery == 0 {
		f.share()
	}
	first := 0
	if f.elapsed() >= limitedLeave {
		first = f.leave
	}
	for i := first; i < f.entries; i++ {
		if f.rnd.Float64() < f.load/float64(f.entries)*limitTick.Seconds() {
			f.waiting = append(f.waiting, waitingRequest{entry: i, since: f.now})
		}
	}
	f.waiting = slices.DeleteFunc(f.waiting, f.place)
	f.now = f.now.Add(limitTick)
}

// place reports whether a request no longer waits.
func (f *limitedFleet) place(w waitingRequest) bool {
	r := f.routers[w.entry]
	p, ok := r.Pick(f.now, shortRequest)
	if !ok {
		return f.now.Sub(w.since) >= maxQueueTime
	}
	r.Sent(f.now, p, shortRequest)
	id, sent := p.Target.ID, f.now
	since, told := f.told[w.entry][id]
	f.arrivals[id] = append(f.arrivals[id], limitArrival{at: sent, knows: told && sent.Sub(since) >= limitKnown})
	f.after(firstChunk, func() {
		r.PrefillDone(p, shortRequest)
		f.answer(w.entry, p, sent)
	})
	f.after(answerDuration, func() { r.Ended(p, shortRequest) })
	return true
}

// answer delivers the header of an answer.
func (f *limitedFleet) answer(entry int, p router.Pick, sent time.Time) {
	rate := 0.0
	if f.isLimited(p.Target.ID) {
		rate = f.limit
		if _, ok := f.told[entry][p.Target.ID]; !ok {
			f.told[entry][p.Target.ID] = f.now
		}
	}
	f.routers[entry].RecordLimit(f.now, sent, p, rate)
}

func (f *limitedFleet) isLimited(id string) bool {
	for i := range f.limited {
		if id == limitTarget(i) {
			return f.elapsed() >= limitedFrom && f.elapsed() < limitedUntil
		}
	}
	return false
}

// after schedules an event.
func (f *limitedFleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e limitEvent, at time.Time) int { return e.at.Compare(at) })
	for i < len(f.events) && f.events[i].at.Equal(at) {
		i++
	}
	f.events = slices.Insert(f.events, i, limitEvent{at: at, do: do})
}

// share passes the counts of each entry on to the others.
func (f *limitedFleet) share() {
	for i, to := range f.routers {
		var sends [][]messenger.Sent
		for j, from := range f.routers {
			if i != j {
				sends = append(sends, from.Sends())
				to.RecordPeerLimits(f.now, from.Limits(f.now), func(string, string, float64, float64) {})
			}
		}
		to.RecordPeers(f.now, router.Peers{Sends: aggregator.Sum(sends...), Entries: len(sends)})
	}
}

// expectLimitKept checks every window that begins with an arrival.
func (f *limitedFleet) expectLimitKept(t *testing.T) {
	t.Helper()
	allowed := limitFactor*f.limit*limitWindow.Seconds() + limitSlack
	for i := range f.limited {
		id := limitTarget(i)
		counted := slices.DeleteFunc(slices.Clone(f.arrivals[id]), func(a limitArrival) bool {
			at := a.at.Sub(time.Unix(0, 0))
			return !a.knows || at < limitedFrom+limitGrace || at >= limitedUntil
		})
		for k, from := range counted {
			n := 0
			for n < len(counted)-k && counted[k+n].at.Before(from.at.Add(limitWindow)) {
				n++
			}
			if float64(n) > allowed {
				t.Fatalf("%s got %d requests in %s from entries that knew its limit of %g a second, want at most %g", id, n, limitWindow, f.limit, allowed)
			}
		}
	}
}

// expectUsedAfterwards fails unless the targets are used again once their limits have
// ended. At the limited rate a few requests are needed to learn that, and a report.
func (f *limitedFleet) expectUsedAfterwards(t *testing.T) {
	t.Helper()
	settled := limitedUntil + time.Duration(4/f.limit*float64(time.Second)) + 2*f.shareEvery + time.Second
	before, after := 0, 0
	for i := range f.limited {
		before += f.arrivalsBetween(limitTarget(i), limitedFrom/2, limitedFrom)
		after += f.arrivalsBetween(limitTarget(i), settled, settled+limitedFrom/2)
	}
	if after < before/2 {
		t.Errorf("%d requests after the limits ended, %d in an equal time before they began", after, before)
	}
}

// arrivalsBetween returns the number of requests at a target in a part of the run.
func (f *limitedFleet) arrivalsBetween(id string, from, to time.Duration) (n int) {
	for _, a := range f.arrivals[id] {
		if at := a.at.Sub(time.Unix(0, 0)); at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against requests beyond the rate that a target in need accepts: the entries that
// know its limit divide it among each other.
func TestTargetLimitIsKeptByAllEntriesTogether(t *testing.T) {
	for name, f := range map[string]*limitedFleet{
		"four entries":          {entries: 4, targets: 18, limited: 2, limit: 1.9, load: 60, shareEvery: 50 * time.Millisecond},
		"thirty entries":        {entries: 30, targets: 18, limited: 2, limit: 1.9, load: 60, shareEvery: 200 * time.Millisecond},
		"a low limit":           {entries: 30, targets: 18, limited: 2, limit: 0.4, load: 60, shareEvery: 200 * time.Millisecond},
		"a high limit":          {entries: 30, targets: 18, limited: 2, limit: 8, load: 200, shareEvery: 200 * time.Millisecond},
		"every target":          {entries: 4, targets: 3, limited: 3, limit: 3, load: 12, shareEvery: 50 * time.Millisecond},
		"entries leave":         {entries: 30, targets: 18, limited: 2, limit: 1.9, load: 60, shareEvery: 200 * time.Millisecond, leave: 10},
		"reports come too late": {entries: 30, targets: 18, limited: 2, limit: 1.9, load: 60, shareEvery: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f.run()
			f.expectLimitKept(t)
			f.expectUsedAfterwards(t)
		})
	}
}
