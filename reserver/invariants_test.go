package reserver_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.steps": "150", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	testRetention = 4 * time.Second
	maxFrameDelay = 3 * time.Second // a delayed Reserve or Run arrives within it
	testAgingStep = 2 * time.Second // maximum time by which one call ages records
	testMemory    = 1000
)

// modelAttempt is the expected state of one attempt.
type modelAttempt struct {
	id             string
	incarnation    uint64
	prompt         int
	gang           bool
	createdAt      time.Duration // in terms of simulation.elapsed
	sent           bool          // a Run was sent
	granted        bool
	starts         int
	reportedNotRun bool
	afterLeave     bool // reserved after Leave
}

// simulation delivers messages to a Reserver delayed, duplicated, out of order or not
// at all, and counts the starts of each attempt.
type simulation struct {
	t        *rapid.T
	r        *reserver.Reserver
	now      time.Time
	elapsed  time.Duration
	attempts []*modelAttempt
	running  map[string]bool
	engine   uint64
	leaving  bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), running: map[string]bool{}, engine: 1}
	s.r = &reserver.Reserver{Incarnation: 1, Memory: testMemory, Slots: 4, Retention: testRetention, Lease: 2 * time.Second}
	s.reconcile(s.t)
	return s
}

func (s *simulation) pick(t *rapid.T) *modelAttempt {
	if len(s.attempts) == 0 {
		s.create(t)
	}
	return s.attempts[rapid.IntRange(max(0, len(s.attempts)-6), len(s.attempts)-1).Draw(t, "attempt")]
}

func (s *simulation) deliverable(x *modelAttempt) bool { return s.elapsed-x.createdAt <= maxFrameDelay }

func (s *simulation) create(t *rapid.T) {
	inc := s.r.Incarnation - uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))
	x := &modelAttempt{id: fmt.Sprint(len(s.attempts)), incarnation: inc, createdAt: s.elapsed, prompt: rapid.IntRange(0, 600).Draw(t, "prompt")}
	x.gang = rapid.Bool().Draw(t, "gang")
	s.attempts = append(s.attempts, x)
	s.reserve(t, x)
}

func (s *simulation) reserve(t *rapid.T, x *modelAttempt) {
	if !s.deliverable(x) {
		return
	}
	before := s.r.Phase(x.id)
	remaining := time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second
	got, err := s.r.Reserve(s.now, &messenger.Reserve{Attempt: x.id, Incarnation: x.incarnation, Prompt: x.prompt, Remaining: remaining, Gang: x.gang})
	if err != nil {
		return
	}
	x.granted = true
	x.afterLeave = x.afterLeave || before == reserver.Unseen && s.leaving
	if got.Lease <= 0 || got.Lease > 2*time.Second {
		t.Fatalf("attempt %s: lease %s", x.id, got.Lease)
	}
}

func (s *simulation) run(t *rapid.T) {
	x := s.pick(t)
	if !x.granted || !s.deliverable(x) {
		return
	}
	x.sent = true
	started, err := s.r.Run(s.now, &messenger.Run{Attempt: x.id, Incarnation: x.incarnation, Remaining: time.Minute})
	if started {
		x.starts++
		s.running[x.id] = true
	}
	if err != nil && coder.Of(err).Run == coder.NotRun {
		s.reportNotRun(t, x)
	}
	if x.starts > 1 || x.starts > 0 && (x.reportedNotRun || x.afterLeave) {
		t.Fatalf("attempt %s started: %+v", x.id, x)
	}
}

// reportNotRun checks that an attempt reported as not run has not run.
func (s *simulation) reportNotRun(t *rapid.T, x *modelAttempt) {
	x.reportedNotRun = true
	if x.starts > 0 {
		t.Fatalf("attempt %s ran and is reported as not run", x.id)
	}
}

func (s *simulation) void(t *rapid.T) {
	x := s.pick(t)
	switch s.r.Void(s.now, &messenger.Void{Attempt: x.id, Incarnation: x.incarnation}).Run {
	case coder.NotRun:
		s.reportNotRun(t, x)
	case coder.Ran:
		if x.starts == 0 {
			t.Fatalf("attempt %s did not run and is reported as run", x.id)
		}
	}
}

func (s *simulation) end(t *rapid.T) {
	x := s.pick(t)
	if !s.running[x.id] {
		return
	}
	s.r.FirstToken(s.now, x.id)
	hold := rapid.Bool().Draw(t, "hold")
	s.r.End(s.now, x.id, reserver.Outcome{Hold: hold, Lost: rapid.Bool().Draw(t, "lost")})
	delete(s.running, x.id)
}

func (s *simulation) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, time.Minute}).Draw(t, "step")
	s.now = s.now.Add(step)
	s.elapsed += min(step, testAgingStep)
	for _, id := range s.r.Tick(s.now) {
		delete(s.running, id)
	}
}

func (s *simulation) reconcile(t *rapid.T) {
	if rare(t) {
		s.engine++
	}
	live := make([]string, 0, len(s.running))
	for id := range s.running {
		live = append(live, id)
	}
	slices.Sort(live)
	out := s.r.Reconcile(s.now, &reserver.Report{Requested: s.now, Incarnation: s.engine, Live: append(live, "stale")})
	if !slices.Equal(out.Free, []string{"stale"}) {
		t.Fatalf("freed %v while %v run", out.Free, live)
	}
}

// restart replaces the Reserver by one without records, as a restart of the agent
// does.
func (s *simulation) restart(t *rapid.T) {
	if !rare(t) {
		return
	}
	s.r = &reserver.Reserver{Incarnation: s.r.Incarnation + 1, Memory: testMemory, Slots: 4, Retention: testRetention, Lease: 2 * time.Second}
	s.running = map[string]bool{}
	s.leaving = false
}

func (s *simulation) leave(t *rapid.T) {
	if rare(t) {
		s.r.Leave()
		s.leaving = true
	}
}

func (s *simulation) crash(t *rapid.T) {
	if rare(t) {
		s.r.MarkDown(s.now)
	}
}

// rare selects rare events, so that the simulated state is not reset all the time.
func rare(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "rare") == 0 }

func (s *simulation) check(t *rapid.T) {
	l := s.r.Load(s.now)
	if l.Used < 0 || l.Used > testMemory || l.Waiting < 0 || l.Running > 4 {
		t.Fatalf("load %+v", l)
	}
}

// expectIdle checks that all resources are free once the deadline of every run has
// passed, even if no run is ended.
func (s *simulation) expectIdle(t *rapid.T) {
	later := s.now.Add(2 * time.Minute)
	s.r.Tick(later)
	if l := s.r.Load(later); l.Used != 0 || l.Running != 0 || l.Waiting != 0 {
		t.Fatalf("not idle: %+v", l)
	}
}

// TestInvariants checks that an attempt starts at most once, that one reported as not
// run never starts, that none starts on a reservation made after leaving, and that all
// memory is freed in the end.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":               s.check,
			"create":         s.create,
			"reserve":        func(t *rapid.T) { s.reserve(t, s.pick(t)) },
			"run":            s.run,
			"run again":      s.run,
			"pass more time": s.advance,
			"void":           s.void,
			"cancel":         func(t *rapid.T) { s.r.Cancel(s.now, s.pick(t).id) },
			"release":        func(t *rapid.T) { s.r.Release(s.now, s.pick(t).id) },
			"end":            s.end,
			"pass time":      s.advance,
			"reconcile":      s.reconcile,
			"restart":        s.restart,
			"leave":          s.leave,
			"crash":          s.crash,
		})
		s.expectIdle(t)
	})
}
