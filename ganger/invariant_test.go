package ganger_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/coder"
	"bramleyshunt/ganger"
)

// init fixes the seed and the length of a run; the command line overrides both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "150")
}

const (
	tick       = 100 * time.Millisecond
	shakyTicks = 150 // of a shaky network; shorter than a release is repeated
	farAway    = 10 * time.Minute
)

func (w *world) begin(t *rapid.T) {
	if w.count >= 8 {
		return
	}
	id := fmt.Sprint("g", w.count)
	w.count++
	w.told[id] = &outcome{}
	j := job(id, rapid.IntRange(1100, 3000).Draw(t, "prompt"))
	j.Deadline = w.now.Add(farAway)
	w.step(t, rapid.IntRange(0, 1).Draw(t, "entry"), ganger.Event{Kind: ganger.Begin, Job: j})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.wire) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.wire)-1).Draw(t, "message")
	m := w.wire[i]
	switch rapid.IntRange(0, 19).Draw(t, "fate") {
	case 0:
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		w.lose(m)
	case 1:
		w.carry(t, m)
	default:
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		w.carry(t, m)
	}
}

func (w *world) pass(t *rapid.T) {
	if w.now.Sub(start) >= shakyTicks*tick {
		return
	}
	w.tick(t)
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(tick)
	for i := range w.entries {
		w.step(t, i, ganger.Event{})
	}
}

func (w *world) progress(t *rapid.T) {
	w.work(w.agents[rapid.SampledFrom(w.names).Draw(t, "target")])
}

func (w *world) crash(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		w.kill(rapid.SampledFrom(w.names).Draw(t, "target"))
	}
}

func (w *world) give(t *rapid.T) {
	if w.count == 0 || rapid.IntRange(0, 5).Draw(t, "rare") != 0 {
		return
	}
	id := fmt.Sprint("g", rapid.IntRange(0, w.count-1).Draw(t, "gang"))
	for i := range w.entries {
		w.step(t, i, ganger.Event{Kind: ganger.Cancel, ID: id})
	}
}

// settle lets the network work and expects every gang to end and every target
// to be empty, though no lease ever ends in this model.
func (w *world) settle(t *rapid.T) {
	for i := 0; i < 3000 && !w.quiet(); i++ {
		w.offer(t)
		for range len(w.wire) {
			m := w.wire[0]
			w.wire = w.wire[1:]
			w.carry(t, m)
		}
		for _, name := range w.names {
			w.work(w.agents[name])
		}
		w.tick(t)
	}
	for _, id := range sorted(w.told) {
		o := w.told[id]
		switch {
		case !o.ended:
			t.Fatalf("gang %s has not ended", id)
		case o.code != coder.OK && o.code != coder.GangLost && o.code != coder.Cancelled && o.code != coder.NoTarget:
			t.Fatalf("gang %s ended with %s though it had time", id, o.code)
		case o.code == coder.OK:
			w.whole(t, id)
		}
	}
	for _, name := range w.names {
		if x := w.agents[name]; x.used() != 0 {
			t.Fatalf("%s still holds %d tokens for %v", name, x.used(), sorted(x.bookings))
		}
	}
}

func (w *world) quiet() bool {
	for _, g := range w.entries {
		if !g.Idle() {
			return false
		}
	}
	return len(w.wire) == 0
}

// whole checks that one try of a gang that is done covered the prompt.
func (w *world) whole(t *rapid.T, id string) {
	for try := 1; ; try++ {
		chain, ok := w.chain[fmt.Sprint(id, ".", try)]
		if ok && !chain[len(chain)-1].Prefill {
			return
		}
		if try > 100 {
			t.Fatalf("gang %s is done without a whole prefill", id)
		}
	}
}

// TestInvariants: whatever is lost, late, doubled or killed, every gang ends
// once, segments follow on each other, no gangs block each other for good, and
// no target keeps memory.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.offer(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "deliver": w.deliver, "deliver more": w.deliver, "deliver most": w.deliver,
			"pass": w.pass, "progress": w.progress, "crash": w.crash, "give up": w.give, "offer": w.offer,
		})
		w.settle(t)
	})
}
