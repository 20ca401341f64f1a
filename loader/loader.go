// Package loader sends a bounded, seeded load of prompts to the entries and
// tells how each request ended. The demo and the load command share it.
package loader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"

	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// DefaultOutput is the answer length asked for when Plan.Output is zero, in tokens.
	DefaultOutput = 16
	// DefaultTimeout is the time each request is given when Plan.Timeout is zero.
	DefaultTimeout = 20 * time.Second
	// MaxRequests bounds one load, whatever the plan says.
	MaxRequests = 100_000

	maxInFlight   = 512
	bytesPerToken = 4
)

// Loader sends requests to entries in turn.
type Loader struct {
	Bases  []string                                          // URLs of entries, without a path
	Token  string                                            // bearer token of the client account
	Model  string                                            // asked for in each request
	Client *http.Client                                      // http.DefaultClient if nil
	Check  func(prompt string, output int, text string) bool // whole answer; nil accepts any
}

// Plan is one bounded load.
type Plan struct {
	Seed     uint64
	Requests int           // in all; at most MaxRequests
	Rate     float64       // arrivals a second, exponentially spaced; zero sends all at once
	Conc     int           // in flight at most; maxInFlight if zero
	Timeout  time.Duration // asked for with each request
	Output   int           // answer tokens
	Mix      []Share
}

// Share is one part of the mix of prompt lengths, in tokens.
type Share struct {
	Weight int
	Least  int
	Most   int
}

// DefaultMix has one prompt in fifty over a hundred thousand tokens, up to a million.
func DefaultMix() []Share {
	return []Share{
		{Weight: 30, Least: 1_000, Most: 4_000},
		{Weight: 14, Least: 4_000, Most: 32_000},
		{Weight: 5, Least: 32_000, Most: 100_000},
		{Weight: 1, Least: 100_001, Most: 1_000_000},
	}
}

// job is one request to be sent.
type job struct {
	number int
	tokens int
	after  time.Duration // since the start of the load
}

// jobs draws the whole load, so that a seed always gives the same one.
func (p *Plan) jobs() []job {
	r := rand.New(rand.NewPCG(p.Seed, p.Seed))
	mix := p.Mix
	if len(mix) == 0 {
		mix = DefaultMix()
	}
	jobs := make([]job, min(p.Requests, MaxRequests))
	var at time.Duration
	for i := range jobs {
		jobs[i] = job{number: i, tokens: draw(r, mix), after: at}
		if p.Rate > 0 {
			at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
		}
	}
	return jobs
}

func draw(r *rand.Rand, mix []Share) int {
	total := 0
	for _, s := range mix {
		total += s.Weight
	}
	n := r.IntN(max(total, 1))
	for _, s := range mix {
		if n < s.Weight {
			return s.Least + r.IntN(max(s.Most-s.Least, 1))
		}
		n -= s.Weight
	}
	return messenger.Short.Limit()
}

// Run sends the load and returns once every request has ended. It ends early,
// with what it has, when ctx ends.
func (l *Loader) Run(ctx context.Context, plan Plan) *Report {
	conc := plan.Conc
	if conc <= 0 || conc > maxInFlight {
		conc = maxInFlight
	}
	jobs := plan.jobs()
	outcomes := make([]Outcome, len(jobs))
	p := pool.New().WithMaxGoroutines(conc)
	start := time.Now()
	for i, j := range jobs {
		if sleeper.Sleep(ctx, time.Until(start.Add(j.after))) != nil {
			outcomes = outcomes[:i]
			break
		}
		p.Go(func() { outcomes[i] = l.send(ctx, plan, j) })
	}
	p.Wait()
	return &Report{Outcomes: outcomes, Took: time.Since(start)}
}

// aloneRequests is how many requests of each share Alone sends.
const aloneRequests = 3

// Alone sends a few requests of each share of the plan's mix one at a time, as
// the measure that slowdowns are taken against.
func (l *Loader) Alone(ctx context.Context, plan Plan) *Report {
	mix := plan.Mix
	if len(mix) == 0 {
		mix = DefaultMix()
	}
	all := &Report{}
	for i, s := range mix {
		one := plan
		one.Seed = plan.Seed + uint64(i) + 1
		one.Requests, one.Rate, one.Conc, one.Mix = aloneRequests, 0, 1, []Share{s}
		r := l.Run(ctx, one)
		all.Outcomes = append(all.Outcomes, r.Outcomes...)
		all.Took += r.Took
	}
	return all
}
