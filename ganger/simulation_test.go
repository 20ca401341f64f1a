package ganger_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/ganger"
)

// reservation is an attempt at an agent.
type reservation struct {
	tokens int
	run    *ganger.Action // nil until it runs
	held   bool
	entry  int // index in simulation.entries
}

// agent is the reservation state of a target. Its leases never expire: only Free
// releases memory.
type agent struct {
	incarnation  uint64
	memory       int
	reservations map[string]*reservation
	tombstones   map[string]bool
}

func (a *agent) used() int {
	sum := 0
	for _, r := range a.reservations {
		sum += r.tokens
	}
	return sum
}

// message is an action in flight to an agent, or an event in flight back to the entry.
type message struct {
	entry  int // index in simulation.entries
	action *ganger.Action
	event  *ganger.Event
}

// outcome is the result that was reported to the caller of a gang.
type outcome struct {
	ended bool
	code  coder.Code
}

// simulation connects several entries with agents by a network that loses, duplicates,
// delays and reorders messages, while targets restart.
type simulation struct {
	now      time.Time
	entries  []*ganger.Ganger
	agents   map[string]*agent
	names    []string
	inFlight []message
	outcomes map[string]*outcome
	segments map[string][]ganger.Action // segments run, in order, by gang and start
	count    int                        // gangs begun
}

func newSimulation() *simulation {
	s := &simulation{now: start, agents: map[string]*agent{}, outcomes: map[string]*outcome{}, segments: map[string][]ganger.Action{}}
	for i := range 2 {
		s.entries = append(s.entries, &ganger.Ganger{MaxGangs: 1 + i})
	}
	for i := range 4 {
		name := fmt.Sprint("t", i)
		s.names = append(s.names, name)
		s.agents[name] = &agent{incarnation: 1, memory: 1000, reservations: map[string]*reservation{}, tombstones: map[string]bool{}}
	}
	return s
}

// step passes an event to an entry and sends the resulting actions.
func (s *simulation) step(t *rapid.T, entry int, e ganger.Event) {
	for _, a := range s.entries[entry].Step(s.now, e) {
		switch a.Kind {
		case ganger.Done:
			s.recordOutcome(t, a.ID, coder.OK)
		case ganger.Failed:
			s.recordOutcome(t, a.ID, a.Err.Code)
		default:
			s.inFlight = append(s.inFlight, message{entry: entry, action: &a})
		}
	}
}

func (s *simulation) recordOutcome(t *rapid.T, id string, c coder.Code) {
	o := s.outcomes[id]
	if o == nil || o.ended {
		t.Fatalf("gang %s ended twice or was never begun", id)
	}
	o.ended, o.code = true, c
}

func (s *simulation) reply(entry int, kind ganger.EventKind, a *ganger.Action, c coder.Code) {
	e := ganger.Event{Kind: kind, Attempt: a.Attempt, Err: coder.Errorf(c, "model")}
	e.Export = []byte(a.Attempt)
	s.inFlight = append(s.inFlight, message{entry: entry, event: &e})
}

// deliverMessage delivers one message.
func (s *simulation) deliverMessage(t *rapid.T, m message) {
	if m.event != nil {
		s.step(t, m.entry, *m.event)
		return
	}
	x, a := s.agents[m.action.Target], m.action
	switch a.Kind {
	case ganger.Reserve, ganger.Renew:
		s.reserve(t, x, m)
	case ganger.Run:
		s.run(t, x, m)
	case ganger.Free:
		delete(x.reservations, a.Attempt)
		x.tombstones[a.Attempt] = true
		s.reply(m.entry, ganger.Freed, a, coder.OK)
	}
}

func (s *simulation) reserve(t *rapid.T, x *agent, m message) {
	a := m.action
	known := x.reservations[a.Attempt] != nil
	if !known && (x.tombstones[a.Attempt] || a.Incarnation != x.incarnation || x.used()+a.Tokens+a.Output > x.memory) {
		s.reply(m.entry, ganger.Refused, a, coder.MemoryFull)
		return
	}
	if !known {
		x.reservations[a.Attempt] = &reservation{tokens: a.Tokens + a.Output, entry: m.entry}
	}
	s.reply(m.entry, ganger.Granted, a, coder.OK)
	if x.used() > x.memory {
		t.Fatalf("%s uses %d tokens", a.Target, x.used())
	}
}

func (s *simulation) run(t *rapid.T, x *agent, m message) {
	r := x.reservations[m.action.Attempt]
	if r == nil {
		s.reply(m.entry, ganger.Lost, m.action, coder.UnknownAttempt)
		return
	}
	if r.run != nil {
		return
	}
	r.run = m.action
	s.checkSegment(t, m.action)
}

// checkSegment checks that a segment continues its predecessor of the same start.
func (s *simulation) checkSegment(t *rapid.T, a *ganger.Action) {
	key := a.Attempt[:len(a.Attempt)-2]
	segments := s.segments[key]
	end, handle := 0, ""
	if n := len(segments); n > 0 {
		end, handle = segments[n-1].End, segments[n-1].Attempt
	}
	if a.Start != end || string(a.Import) != handle || a.End <= a.Start {
		t.Fatalf("%s runs bytes %d to %d importing %q; want start %d importing %q", a.Attempt, a.Start, a.End, a.Import, end, handle)
	}
	s.segments[key] = append(segments, *a)
}

// work completes one running segment.
func (s *simulation) work(x *agent) {
	for _, id := range sorted(x.reservations) {
		r := x.reservations[id]
		if r.run == nil || r.held {
			continue
		}
		if r.run.Prefill {
			r.held = true
			s.reply(r.entry, ganger.Exported, r.run, coder.OK)
			return
		}
		s.reply(r.entry, ganger.AnswerStarted, r.run, coder.OK)
		s.reply(r.entry, ganger.Ended, r.run, coder.OK)
		delete(x.reservations, id)
		return
	}
}

// restartTarget discards the state of a target; every entry is notified of its own
// attempts there.
func (s *simulation) restartTarget(name string) {
	x := s.agents[name]
	for _, id := range sorted(x.reservations) {
		s.reply(x.reservations[id].entry, ganger.Lost, &ganger.Action{Attempt: id}, coder.TargetLost)
	}
	x.incarnation++
	x.reservations, x.tombstones = map[string]*reservation{}, map[string]bool{}
}

// dropMessage drops a message. The loss of a run or of its answer is eventually
// detected and reported as Lost.
func (s *simulation) dropMessage(m message) {
	switch {
	case m.action != nil && m.action.Kind == ganger.Run:
		s.reply(m.entry, ganger.Lost, m.action, coder.TargetLost)
	case m.event != nil && (m.event.Kind == ganger.Exported || m.event.Kind == ganger.Ended || m.event.Kind == ganger.Lost):
		s.reply(m.entry, ganger.Lost, &ganger.Action{Attempt: m.event.Attempt}, coder.TargetLost)
	}
}

func (s *simulation) offer(t *rapid.T) {
	var c []ganger.Candidate
	for _, name := range s.names {
		x := s.agents[name]
		c = append(c, ganger.Candidate{ID: name, Incarnation: x.incarnation, Memory: x.memory, Free: x.memory - x.used(), PrefillRate: 1000, DecodeRate: 100})
	}
	for i := range s.entries {
		s.step(t, i, ganger.Event{Kind: ganger.Offer, Model: "m", Candidates: c})
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
