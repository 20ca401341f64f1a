// Package bencher simulates scheduling policies under load. It runs the production
// decision logic of entries and agents, together with a simulated engine, on a
// seeded trace of requests. Time is virtual: nothing in the package reads a clock.
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

// Kind identifies a scheduling policy.
type Kind uint8

// Policies. Ours is the policy in force. Former is its predecessor, which schedules
// without the engine's declared speeds and the objectives of requests. RoundRobin and
// LeastOutstanding send each request unsplit and immediately, without admission or
// reservation.
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

// Policy returns the policy with the given name, or an error that lists the known names.
func Policy(name string) (Kind, error) {
	i := slices.Index(Policies(), name)
	if i < 0 {
		return 0, fmt.Errorf("no policy %q; there are %s", name, strings.Join(Policies(), ", "))
	}
	return Kind(i), nil
}

// Bencher simulates one run of a trace. Deployment and Load are required.
type Bencher struct {
	Deployment        Deployment
	Load              float64       // offered tokens as a fraction of the capacity
	Length            time.Duration // of the trace; requests in flight at its end run to completion
	Seed              uint64
	Kind              Kind
	Disabled          Disabled
	NoLong            bool          // omits prompts longer than the medium class from the trace
	LoseTarget        bool          // crashes one target halfway through the trace and restarts it 10 s later
	LastAccountFactor float64       // multiplies the requests of the last account; 1 if zero
	BaselinePriority  bool          // the baselines also give shorter classes priority in the engine
	MaxWait           time.Duration // limit of the router on the predicted wait
	LongTimeoutFactor float64       // multiplies the timeout of long prompts; 1 if zero
	Prefixes          Prefixes      // load patterns of shared prefixes

	loop
	rnd        *rand.Rand
	targets    []*target
	entries    []*entry
	result     *Result
	unfinished int // number of requests without an outcome
}

// Disabled selects the parts of the policy that are switched off.
type Disabled struct {
	Router    router.Features
	Priority  bool // short prompts before long ones in the engine
	Fair      bool // fair queueing by client account
	Admission bool
}

const (
	// DefaultLength is the length of the trace if Bencher.Length is zero.
	DefaultLength = 60 * time.Second

	entryCount     = 2
	reportInterval = time.Second
	reportLag      = 2 * time.Second
	tickInterval   = 10 * time.Millisecond
	downtime       = 10 * time.Second
	seedStream     = 0x62656e63 // first PCG stream of the simulation, "benc" in ASCII
)

var start = time.Unix(0, 0)

// Run simulates the trace until every request has an outcome.
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
	for i := range entryCount {
		b.entries = append(b.entries, newEntry(b, i))
	}
	b.publish()
	for _, r := range b.trace() {
		b.after(r.at, func() { b.entries[b.rnd.IntN(entryCount)].arrive(r) })
		b.result.requests = append(b.result.requests, r)
		if r.id != "" {
			b.unfinished++
		}
	}
	if b.LoseTarget {
		b.after(b.Length/2, func() { b.targets[0].crash() })
		b.after(b.Length/2+downtime, func() { b.targets[0].restart() })
	}
	b.schedulePrefixFaults()
	for b.unfinished > 0 {
		b.runNext()
	}
	return b.result
}

// publish delivers the targets' announcements to the entries every reportInterval.
// They arrive reportLag later, as those relayed by keepers do.
func (b *Bencher) publish() {
	targets := b.announcedTargets()
	deliver := func() {
		for _, e := range b.entries {
			e.update(targets)
		}
	}
	if b.now.Equal(start) {
		deliver()
	}
	b.after(reportLag, deliver)
	b.after(reportInterval, b.publish)
}
