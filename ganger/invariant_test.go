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

// init sets the seed and the number of steps; the command line overrides both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "150")
}

const (
	tick            = 100 * time.Millisecond
	faultyTicks     = 150 // ticks with a faulty network; shorter than the time for which a release is repeated
	distantDeadline = 10 * time.Minute
)

func (s *simulation) begin(t *rapid.T) {
	if s.count >= 8 {
		return
	}
	id := fmt.Sprint("g", s.count)
	s.count++
	s.outcomes[id] = &outcome{}
	j := job(id, rapid.IntRange(1100, 3000).Draw(t, "prompt"))
	j.Deadline = s.now.Add(distantDeadline)
	s.step(t, rapid.IntRange(0, 1).Draw(t, "entry"), ganger.Event{Kind: ganger.Begin, Job: j})
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	m := s.inFlight[i]
	switch rapid.IntRange(0, 19).Draw(t, "fate") {
	case 0:
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
		s.dropMessage(m)
	case 1:
		s.deliverMessage(t, m)
	default:
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
		s.deliverMessage(t, m)
	}
}

func (s *simulation) advance(t *rapid.T) {
	if s.now.Sub(start) >= faultyTicks*tick {
		return
	}
	s.tick(t)
}

func (s *simulation) tick(t *rapid.T) {
	s.now = s.now.Add(tick)
	for i := range s.entries {
		s.step(t, i, ganger.Event{})
	}
}

func (s *simulation) progress(t *rapid.T) {
	s.work(s.agents[rapid.SampledFrom(s.names).Draw(t, "target")])
}

func (s *simulation) crash(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		s.restartTarget(rapid.SampledFrom(s.names).Draw(t, "target"))
	}
}

func (s *simulation) cancel(t *rapid.T) {
	if s.count == 0 || rapid.IntRange(0, 5).Draw(t, "rare") != 0 {
		return
	}
	id := fmt.Sprint("g", rapid.IntRange(0, s.count-1).Draw(t, "gang"))
	for i := range s.entries {
		s.step(t, i, ganger.Event{Kind: ganger.Cancel, ID: id})
	}
}

// settle delivers all messages without faults and checks that every gang ends and that
// every target is empty, although leases never expire in this simulation.
func (s *simulation) settle(t *rapid.T) {
	for i := 0; i < 3000 && !s.quiet(); i++ {
		s.offer(t)
		for range len(s.inFlight) {
			m := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.deliverMessage(t, m)
		}
		for _, name := range s.names {
			s.work(s.agents[name])
		}
		s.tick(t)
	}
	for _, id := range sorted(s.outcomes) {
		o := s.outcomes[id]
		switch {
		case !o.ended:
			t.Fatalf("gang %s has not ended", id)
		case o.code != coder.OK && o.code != coder.GangLost && o.code != coder.Cancelled && o.code != coder.NoTarget:
			t.Fatalf("gang %s ended with %s before its deadline", id, o.code)
		case o.code == coder.OK:
			s.checkCovered(t, id)
		}
	}
	for _, name := range s.names {
		if x := s.agents[name]; x.used() != 0 {
			t.Fatalf("%s still holds %d tokens for %v", name, x.used(), sorted(x.reservations))
		}
	}
}

func (s *simulation) quiet() bool {
	for _, g := range s.entries {
		if !g.Idle() {
			return false
		}
	}
	return len(s.inFlight) == 0
}

// checkCovered checks that one start of a finished gang prefilled the whole prompt.
func (s *simulation) checkCovered(t *rapid.T, id string) {
	for n := 1; ; n++ {
		segments, ok := s.segments[fmt.Sprint(id, ".", n)]
		if ok && !segments[len(segments)-1].Prefill {
			return
		}
		if n > 100 {
			t.Fatalf("gang %s is done but its prompt was not prefilled to the end", id)
		}
	}
}

// TestInvariants checks that under lost, delayed and duplicated messages and restarts
// of targets every gang ends exactly once, consecutive segments fit together, gangs do
// not deadlock, and no target keeps memory reserved.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.offer(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": s.begin, "deliver": s.deliver, "deliver more": s.deliver, "deliver most": s.deliver,
			"pass time": s.advance, "progress": s.progress, "crash": s.crash, "give up": s.cancel, "offer": s.offer,
		})
		s.settle(t)
	})
}
