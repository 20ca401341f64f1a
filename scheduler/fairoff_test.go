package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

var declaredEngine = configurer.Engine{
	Slots: 4, Memory: 450000, Stride: 46, Chunk: 2048, Step: 0.925, Seq: 0.005, Context: 0.0025, Read: 256000, Pairs: 0.09, Prompt: 2000, Answer: 150,
}

// trace plays seeded requests of five accounts, of which the first sends half, and writes one line
// for each decision. A request holds its target for a time that depends on the request alone.
type trace struct {
	s        *scheduler.Scheduler
	declared bool // the service declares the speed of its engines
	at       time.Time
	r        *rand.Rand
	active   []running
	out      strings.Builder
}

type running struct {
	p     scheduler.Placement
	until time.Time
}

// decisions plays a trace and returns its lines. arrivals is the number of requests in 10 ms; more
// than about one and a quarter overload the targets.
func decisions(s *scheduler.Scheduler, declared bool, arrivals float64, steps int) string {
	x := &trace{s: s, declared: declared, at: now, r: rand.New(rand.NewPCG(7, 7))}
	s.Router.Update(now, x.targets())
	due := 0.0
	for i := range steps {
		x.at = x.at.Add(10 * time.Millisecond)
		x.end()
		for due += arrivals; due >= 1; due-- {
			x.arrive(fmt.Sprintf("%d/%g", i, due))
		}
		x.dispatch()
	}
	return x.out.String()
}

func (x *trace) targets() (out []messenger.Target) {
	for i := range 8 {
		t := messenger.Target{ID: fmt.Sprint("t", i), Service: "s", Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: 450000, Speed: 256000, Pace: 60}}
		if x.declared {
			t.Slots = declaredEngine.Slots
		}
		out = append(out, t)
	}
	return out
}

// end ends the requests whose time is over.
func (x *trace) end() {
	x.active = slices.DeleteFunc(x.active, func(r running) bool {
		if x.at.Before(r.until) {
			return false
		}
		x.s.PrefillDone(r.p.Ticket, r.p.Pick, 50*time.Millisecond)
		x.s.Ended(r.p.Ticket, r.p.Pick)
		return true
	})
}

func (x *trace) arrive(id string) {
	t := ticket(id, 500+x.r.IntN(12000))
	t.Account, t.Share = fmt.Sprint("a", max(0, x.r.IntN(8)-3)), 1+x.r.IntN(2)
	t.Priority, t.Deadline = x.r.IntN(2), x.at.Add(time.Duration(2+x.r.IntN(3))*time.Second)
	if x.declared {
		t.Objective, t.MaxGap = 300*time.Millisecond, 250*time.Millisecond
		t.Predict(declaredEngine)
	}
	err := x.s.Admit(x.at, t)
	fmt.Fprintln(&x.out, x.at.Sub(now).Milliseconds(), t.ID, t.Account, errorCode(err))
	if err == nil {
		x.s.Enqueue(t)
	}
	x.dispatch()
}

func (x *trace) dispatch() {
	for _, p := range x.s.Dispatch(x.at) {
		fmt.Fprintln(&x.out, x.at.Sub(now).Milliseconds(), p.Ticket.ID, p.Pick.Target.ID, errorCode(p.Err))
		if p.Err == nil {
			x.active = append(x.active, running{p, x.at.Add(100*time.Millisecond + time.Duration(p.Ticket.Prompt%300)*time.Millisecond)})
		}
	}
}

func errorCode(err error) string {
	if err == nil {
		return "ok"
	}
	return fmt.Sprint(int(coder.Of(err).Code), " ", coder.Of(err).Retry)
}

// Pattern: overload by five accounts, with and without declared speeds. Guards against any change
// of decisions where fairness is off: the golden files were recorded before it was added.
func TestFairOffDecidesAsBefore(t *testing.T) {
	for name, declared := range map[string]bool{"declared": true, "measured": false} {
		t.Run(name, func(t *testing.T) {
			s := &scheduler.Scheduler{}
			goldie.New(t).Assert(t, "fair-off-"+name, []byte(decisions(s, declared, 1.7, 400)))
		})
	}
}
