package ganger_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/ganger"
)

// booking is an attempt at an agent.
type booking struct {
	tokens int
	run    *ganger.Action // nil until it runs
	held   bool
	owner  int
}

// agent is a target's authority without leases: only a Free gives memory back.
type agent struct {
	incarnation uint64
	memory      int
	bookings    map[string]*booking
	tombs       map[string]bool
}

func (a *agent) used() int {
	sum := 0
	for _, b := range a.bookings {
		sum += b.tokens
	}
	return sum
}

// message is an action on its way to an agent, or an event on its way back.
type message struct {
	owner  int
	action *ganger.Action
	event  *ganger.Event
}

// outcome is what a gang's caller has been told.
type outcome struct {
	ended bool
	code  coder.Code
}

// world joins several entries with agents by a network that loses, doubles,
// delays and reorders, while targets are killed.
type world struct {
	now     time.Time
	entries []*ganger.Ganger
	agents  map[string]*agent
	names   []string
	wire    []message
	told    map[string]*outcome
	chain   map[string][]ganger.Action // segments run by gang and try, in order
	count   int
}

func newWorld() *world {
	w := &world{now: start, agents: map[string]*agent{}, told: map[string]*outcome{}, chain: map[string][]ganger.Action{}}
	for i := range 2 {
		w.entries = append(w.entries, &ganger.Ganger{Most: 1 + i})
	}
	for i := range 4 {
		name := fmt.Sprint("t", i)
		w.names = append(w.names, name)
		w.agents[name] = &agent{incarnation: 1, memory: 1000, bookings: map[string]*booking{}, tombs: map[string]bool{}}
	}
	return w
}

// step gives an event to an entry and puts what it does on the wire.
func (w *world) step(t *rapid.T, owner int, e ganger.Event) {
	for _, a := range w.entries[owner].Step(w.now, e) {
		switch a.Kind {
		case ganger.Done:
			w.tell(t, a.ID, coder.OK)
		case ganger.Failed:
			w.tell(t, a.ID, a.Err.Code)
		default:
			w.wire = append(w.wire, message{owner: owner, action: &a})
		}
	}
}

func (w *world) tell(t *rapid.T, id string, c coder.Code) {
	o := w.told[id]
	if o == nil || o.ended {
		t.Fatalf("gang %s ended twice or unasked", id)
	}
	o.ended, o.code = true, c
}

func (w *world) reply(owner int, kind ganger.EventKind, a *ganger.Action, c coder.Code) {
	e := ganger.Event{Kind: kind, Attempt: a.Attempt, Err: coder.Errorf(c, "model")}
	e.Export = []byte(a.Attempt)
	w.wire = append(w.wire, message{owner: owner, event: &e})
}

// carry delivers one message.
func (w *world) carry(t *rapid.T, m message) {
	if m.event != nil {
		w.step(t, m.owner, *m.event)
		return
	}
	x, a := w.agents[m.action.Target], m.action
	switch a.Kind {
	case ganger.Reserve, ganger.Renew:
		w.reserve(t, x, m)
	case ganger.Run:
		w.run(t, x, m)
	case ganger.Free:
		delete(x.bookings, a.Attempt)
		x.tombs[a.Attempt] = true
		w.reply(m.owner, ganger.Freed, a, coder.OK)
	}
}

func (w *world) reserve(t *rapid.T, x *agent, m message) {
	a := m.action
	known := x.bookings[a.Attempt] != nil
	if !known && (x.tombs[a.Attempt] || a.Incarnation != x.incarnation || x.used()+a.Tokens+a.Output > x.memory) {
		w.reply(m.owner, ganger.Refused, a, coder.MemoryFull)
		return
	}
	if !known {
		x.bookings[a.Attempt] = &booking{tokens: a.Tokens + a.Output, owner: m.owner}
	}
	w.reply(m.owner, ganger.Granted, a, coder.OK)
	if x.used() > x.memory {
		t.Fatalf("%s uses %d tokens", a.Target, x.used())
	}
}

func (w *world) run(t *rapid.T, x *agent, m message) {
	b := x.bookings[m.action.Attempt]
	if b == nil {
		w.reply(m.owner, ganger.Lost, m.action, coder.UnknownAttempt)
		return
	}
	if b.run != nil {
		return
	}
	b.run = m.action
	w.join(t, m.action)
}

// join checks that a segment follows on the one before, of the same try.
func (w *world) join(t *rapid.T, a *ganger.Action) {
	try := a.Attempt[:len(a.Attempt)-2]
	chain := w.chain[try]
	end, handle := 0, ""
	if n := len(chain); n > 0 {
		end, handle = chain[n-1].End, chain[n-1].Attempt
	}
	if a.Start != end || string(a.Import) != handle || a.End <= a.Start {
		t.Fatalf("%s runs bytes %d to %d on %q after %d of %q", a.Attempt, a.Start, a.End, a.Import, end, handle)
	}
	w.chain[try] = append(chain, *a)
}

// work lets one running segment come to its end.
func (w *world) work(x *agent) {
	for _, id := range sorted(x.bookings) {
		b := x.bookings[id]
		if b.run == nil || b.held {
			continue
		}
		if b.run.Prefill {
			b.held = true
			w.reply(b.owner, ganger.Exported, b.run, coder.OK)
			return
		}
		w.reply(b.owner, ganger.First, b.run, coder.OK)
		w.reply(b.owner, ganger.Ended, b.run, coder.OK)
		delete(x.bookings, id)
		return
	}
}

// kill loses all that a target has; every entry learns of its own attempts there.
func (w *world) kill(name string) {
	x := w.agents[name]
	for _, id := range sorted(x.bookings) {
		w.reply(x.bookings[id].owner, ganger.Lost, &ganger.Action{Attempt: id}, coder.TargetLost)
	}
	x.incarnation++
	x.bookings, x.tombs = map[string]*booking{}, map[string]bool{}
}

// lose drops a message. That a run or its answer is lost is noticed in the end.
func (w *world) lose(m message) {
	switch {
	case m.action != nil && m.action.Kind == ganger.Run:
		w.reply(m.owner, ganger.Lost, m.action, coder.TargetLost)
	case m.event != nil && (m.event.Kind == ganger.Exported || m.event.Kind == ganger.Ended || m.event.Kind == ganger.Lost):
		w.reply(m.owner, ganger.Lost, &ganger.Action{Attempt: m.event.Attempt}, coder.TargetLost)
	}
}

func (w *world) offer(t *rapid.T) {
	var c []ganger.Candidate
	for _, name := range w.names {
		x := w.agents[name]
		c = append(c, ganger.Candidate{ID: name, Incarnation: x.incarnation, Memory: x.memory, Free: x.memory - x.used(), Speed: 1000, Pace: 100})
	}
	for i := range w.entries {
		w.step(t, i, ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: c})
	}
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
