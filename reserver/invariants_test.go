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
	testKept   = 4 * time.Second
	frameLife  = 3 * time.Second // a delayed Reserve or Run arrives within it
	testStep   = 2 * time.Second // observed time per call at most
	testMemory = 1000
)

// trial is what the model knows of one attempt.
type trial struct {
	id          string
	incarnation uint64
	prompt      int
	gang        bool
	born        time.Duration // observed
	sent        bool          // a Run was sent
	granted     bool
	starts      int
	notRun      bool // somebody was told so
	afterLeave  bool // granted by a reservation made after leaving
}

// world delivers messages to a Reserver late, doubled, out of order or never,
// and counts what starts.
type world struct {
	t       *rapid.T
	r       *reserver.Reserver
	now     time.Time
	seen    time.Duration
	trials  []*trial
	running map[string]bool
	engine  uint64
	left    bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), running: map[string]bool{}, engine: 1}
	w.r = &reserver.Reserver{Incarnation: 1, Memory: testMemory, Slots: 4, Kept: testKept, Lease: 2 * time.Second}
	w.reconcile(w.t)
	return w
}

func (w *world) pick(t *rapid.T) *trial {
	if len(w.trials) == 0 {
		w.create(t)
	}
	return w.trials[rapid.IntRange(max(0, len(w.trials)-6), len(w.trials)-1).Draw(t, "attempt")]
}

func (w *world) fresh(x *trial) bool { return w.seen-x.born <= frameLife }

func (w *world) create(t *rapid.T) {
	inc := w.r.Incarnation - uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))
	x := &trial{id: fmt.Sprint(len(w.trials)), incarnation: inc, born: w.seen, prompt: rapid.IntRange(0, 600).Draw(t, "prompt")}
	x.gang = rapid.Bool().Draw(t, "gang")
	w.trials = append(w.trials, x)
	w.reserve(t, x)
}

func (w *world) reserve(t *rapid.T, x *trial) {
	if !w.fresh(x) {
		return
	}
	before := w.r.Phase(x.id)
	life := time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second
	got, err := w.r.Reserve(w.now, &messenger.Reserve{Attempt: x.id, Incarnation: x.incarnation, Prompt: x.prompt, Remaining: life, Gang: x.gang})
	if err != nil {
		return
	}
	x.granted = true
	x.afterLeave = x.afterLeave || before == reserver.Unseen && w.left
	if got.Lease <= 0 || got.Lease > 2*time.Second {
		t.Fatalf("attempt %s: lease %s", x.id, got.Lease)
	}
}

func (w *world) run(t *rapid.T) {
	x := w.pick(t)
	if !x.granted || !w.fresh(x) {
		return
	}
	x.sent = true
	started, err := w.r.Run(w.now, &messenger.Run{Attempt: x.id, Incarnation: x.incarnation, Remaining: time.Minute})
	if started {
		x.starts++
		w.running[x.id] = true
	}
	if err != nil && coder.Of(err).Run == coder.NotRun {
		w.claim(t, x)
	}
	if x.starts > 1 || x.starts > 0 && (x.notRun || x.afterLeave) {
		t.Fatalf("attempt %s started: %+v", x.id, x)
	}
}

// claim checks that an attempt reported as not run has not run.
func (w *world) claim(t *rapid.T, x *trial) {
	x.notRun = true
	if x.starts > 0 {
		t.Fatalf("attempt %s ran and is reported as not run", x.id)
	}
}

func (w *world) void(t *rapid.T) {
	x := w.pick(t)
	switch w.r.Void(w.now, &messenger.Void{Attempt: x.id, Incarnation: x.incarnation}).Run {
	case coder.NotRun:
		w.claim(t, x)
	case coder.Ran:
		if x.starts == 0 {
			t.Fatalf("attempt %s did not run and is reported as run", x.id)
		}
	}
}

func (w *world) end(t *rapid.T) {
	x := w.pick(t)
	if !w.running[x.id] {
		return
	}
	w.r.First(w.now, x.id)
	hold := rapid.Bool().Draw(t, "hold")
	w.r.End(w.now, x.id, reserver.Outcome{Hold: hold, Lost: rapid.Bool().Draw(t, "lost")})
	delete(w.running, x.id)
}

func (w *world) pass(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, time.Minute}).Draw(t, "step")
	w.now = w.now.Add(step)
	w.seen += min(step, testStep)
	for _, id := range w.r.Tick(w.now) {
		delete(w.running, id)
	}
}

func (w *world) reconcile(t *rapid.T) {
	if rare(t) {
		w.engine++
	}
	live := make([]string, 0, len(w.running))
	for id := range w.running {
		live = append(live, id)
	}
	slices.Sort(live)
	out := w.r.Reconcile(w.now, &reserver.Report{Asked: w.now, Incarnation: w.engine, Live: append(live, "left behind")})
	if !slices.Equal(out.Free, []string{"left behind"}) {
		t.Fatalf("freed %v while %v run", out.Free, live)
	}
}

// restart replaces the agent by one without memory.
func (w *world) restart(t *rapid.T) {
	if !rare(t) {
		return
	}
	w.r = &reserver.Reserver{Incarnation: w.r.Incarnation + 1, Memory: testMemory, Slots: 4, Kept: testKept, Lease: 2 * time.Second}
	w.running = map[string]bool{}
	w.left = false
}

func (w *world) leave(t *rapid.T) {
	if rare(t) {
		w.r.Leave()
		w.left = true
	}
}

func (w *world) crash(t *rapid.T) {
	if rare(t) {
		w.r.Dead(w.now)
	}
}

// rare keeps a run from starting anew all the time.
func rare(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "rare") == 0 }

func (w *world) check(t *rapid.T) {
	l := w.r.Load(w.now)
	if l.Used < 0 || l.Used > testMemory || l.Waiting < 0 || l.Running > 4 {
		t.Fatalf("load %+v", l)
	}
}

// settle expects the idle figures once the time of every run has passed, though
// nobody ends them.
func (w *world) settle(t *rapid.T) {
	later := w.now.Add(2 * time.Minute)
	w.r.Tick(later)
	if l := w.r.Load(later); l.Used != 0 || l.Running != 0 || l.Waiting != 0 {
		t.Fatalf("not idle: %+v", l)
	}
}

// TestInvariants: at most one run per attempt; one reported as not run never
// starts; nothing runs by a reservation made after leaving; memory comes back.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          w.check,
			"create":    w.create,
			"reserve":   func(t *rapid.T) { w.reserve(t, w.pick(t)) },
			"run":       w.run,
			"run again": w.run,
			"pass more": w.pass,
			"void":      w.void,
			"cancel":    func(t *rapid.T) { w.r.Cancel(w.now, w.pick(t).id) },
			"release":   func(t *rapid.T) { w.r.Release(w.now, w.pick(t).id) },
			"end":       w.end,
			"pass":      w.pass,
			"reconcile": w.reconcile,
			"restart":   w.restart,
			"leave":     w.leave,
			"crash":     w.crash,
		})
		w.settle(t)
	})
}
