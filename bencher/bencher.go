// Package bencher measures the policy under load: it drives the real deciders of
// entries and agents and the step machine of the engine stand-in through a
// seeded trace in virtual time. Nothing in it reads a clock.
package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bramleyshunt/router"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Kind names a policy.
type Kind uint8

// Policies. The baselines send each request whole and at once, without admission
// or reservation.
const (
	Ours             Kind = iota // ours
	RoundRobin                   // round-robin
	LeastOutstanding             // least-outstanding
	Former                       // former
)

// Policies returns the names of all policies.
func Policies() []string {
	var out []string
	for k := range Former + 1 {
		out = append(out, k.String())
	}
	return out
}

// Policy returns the policy of a name.
func Policy(name string) (Kind, error) {
	i := slices.Index(Policies(), name)
	if i < 0 {
		return 0, fmt.Errorf("no policy %q; there are %s", name, strings.Join(Policies(), ", "))
	}
	return Kind(i), nil
}

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

	loop
	rnd     *rand.Rand
	targets []*target
	entries []*entry
	result  *Result
	left    int // requests without an outcome
}

// Disabled names what is switched off in the policy.
type Disabled struct {
	Router    router.Features
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

// Run plays the trace and returns what was measured.
func (b *Bencher) Run() *Result {
	if b.Length == 0 {
		b.Length = DefaultLength
	}
	b.now, b.oneWay = start, b.Deployment.OneWay
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
		b.next()
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
