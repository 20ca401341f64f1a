// Package bencher measures the policy under load: it drives the real deciders of
// entries and agents and the step machine of the engine stand-in through a
// seeded trace in virtual time. Nothing in it reads a clock.
package bencher

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bramleyshunt/router"
)

// Kind names a policy.
type Kind uint8

// Policies.
const (
	Ours             Kind = iota
	RoundRobin            // each entry by turns, no admission, no reservation
	LeastOutstanding      // fewest own requests in flight, no admission, no reservation
)

// Bencher is one run. The zero value needs a Deployment and a Load.
type Bencher struct {
	Deployment Deployment
	Load       float64       // offered tokens as a share of capacity
	Length     time.Duration // of the trace; requests in flight then run to their end
	Seed       uint64
	Kind       Kind
	Disabled   Disabled
	NoLong     bool    // leaves prompts above the short and medium classes out of the trace
	Kill       bool    // one target is lost at half time, and comes back 10 s later
	Greedy     float64 // factor on the requests of the last account; one if zero
	Ranked     bool    // the baselines ask engines for shorter classes first, too
	Wait       time.Duration
	Tight      float64 // factor on the time that long prompts have; one if zero

	now     time.Time
	seq     uint64
	events  events
	rnd     *rand.Rand
	targets []*target
	entries []*entry
	result  *Result
	left    int // requests without an outcome
}

// Disabled names what is switched off in the policy.
type Disabled struct {
	Router    router.Parts
	Priority  bool // short before long inside the engine
	Fair      bool // queueing by account
	Admission bool
}

const (
	// DefaultLength is the length of a trace in virtual time.
	DefaultLength = 60 * time.Second

	entries     = 2
	reportEvery = time.Second
	reportLag   = 2 * time.Second
	tickEvery   = 10 * time.Millisecond
	downFor     = 10 * time.Second
	seedStream  = 0x62656e63
)

var start = time.Unix(0, 0)

// event is a function at a time; equal times go in the order of scheduling.
type event struct {
	at  time.Time
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; container/heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

func (b *Bencher) after(d time.Duration, f func()) {
	b.seq++
	heap.Push(&b.events, event{at: b.now.Add(d), seq: b.seq, f: f})
}

// net sends f over the network, one way.
func (b *Bencher) net(f func()) { b.after(b.Deployment.OneWay, f) }

// Run plays the trace and returns what was measured.
func (b *Bencher) Run() *Result {
	if b.Length == 0 {
		b.Length = DefaultLength
	}
	b.now = start
	b.rnd = rand.New(rand.NewPCG(b.Seed, seedStream))
	b.result = &Result{}
	for i := range b.Deployment.Replicas {
		b.targets = append(b.targets, newTarget(b, i))
	}
	for i := range entries {
		b.entries = append(b.entries, newEntry(b, i))
	}
	b.publish()
	for _, r := range b.trace() {
		b.after(r.at, func() { b.entries[b.rnd.IntN(entries)].arrive(r) })
		b.result.requests = append(b.result.requests, r)
		if r.id != "" {
			b.left++
		}
	}
	if b.Kill {
		b.after(b.Length/2, func() { b.targets[0].kill() })
		b.after(b.Length/2+downFor, func() { b.targets[0].restart() })
	}
	for b.left > 0 {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.f()
	}
	return b.result
}

// publish spreads the targets' announcements, late, as keepers do.
func (b *Bencher) publish() {
	view := b.view()
	deliver := func() {
		for _, e := range b.entries {
			e.update(view)
		}
	}
	if b.now.Equal(start) {
		deliver()
	}
	b.after(reportLag, deliver)
	b.after(reportEvery, b.publish)
}
