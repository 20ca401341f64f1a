// Package loader sends a bounded, reproducible load of prompts to the entries and records
// the outcome of each request. The demo and load commands use it.
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
	// DefaultOutput is the requested length of answers if Plan.Output is zero, in tokens.
	DefaultOutput = 16
	// DefaultTimeout is the timeout of each request if Plan.Timeout is zero.
	DefaultTimeout = 20 * time.Second
	// MaxRequests limits the requests of one load, whatever its plan.
	MaxRequests = 100_000

	maxInFlight   = 512
	bytesPerToken = 4
)

// Loader sends requests to the entries in turn.
type Loader struct {
	EntryURLs []string                                          // URLs of entries, without a path
	Token     string                                            // bearer token of the client account
	Model     string                                            // named in each request
	Client    *http.Client                                      // fetcher.DefaultClient if nil
	Check     func(prompt string, output int, text string) bool // reports whether a complete answer is correct; nil accepts any
}

// Plan describes one load.
type Plan struct {
	Seed        uint64
	Requests    int           // total; at most MaxRequests
	Rate        float64       // mean arrivals per second, spaced exponentially; all at once if zero
	MaxInFlight int           // concurrent requests; limited to maxInFlight, which is also used if zero
	Timeout     time.Duration // of each request, sent in the Request-Timeout header; DefaultTimeout if zero
	Output      int           // answer tokens; DefaultOutput if zero
	Mix         []Share
}

// Share is one part of a mix of prompt lengths. Lengths are uniform from Min tokens to
// below Max.
type Share struct {
	Weight int
	Min    int
	Max    int
}

// DefaultMix returns a mix with one prompt in fifty above 100,000 tokens, up to a million.
func DefaultMix() []Share {
	return []Share{
		{Weight: 30, Min: 1_000, Max: 4_000},
		{Weight: 14, Min: 4_000, Max: 32_000},
		{Weight: 5, Min: 32_000, Max: 100_000},
		{Weight: 1, Min: 100_001, Max: 1_000_000},
	}
}

// job is one request to send.
type job struct {
	number int
	tokens int
	offset time.Duration // since the start of the load
}

// jobs draws all requests before any is sent, so that a seed always yields the same load.
func (p *Plan) jobs() []job {
	rnd := rand.New(rand.NewPCG(p.Seed, p.Seed))
	mix := p.Mix
	if len(mix) == 0 {
		mix = DefaultMix()
	}
	jobs := make([]job, min(p.Requests, MaxRequests))
	var offset time.Duration
	for i := range jobs {
		jobs[i] = job{number: i, tokens: draw(rnd, mix), offset: offset}
		if p.Rate > 0 {
			offset += time.Duration(rnd.ExpFloat64() / p.Rate * float64(time.Second))
		}
	}
	return jobs
}

// draw draws a prompt length from the mix, in tokens.
func draw(rnd *rand.Rand, mix []Share) int {
	total := 0
	for _, s := range mix {
		total += s.Weight
	}
	n := rnd.IntN(max(total, 1))
	for _, s := range mix {
		if n < s.Weight {
			return s.Min + rnd.IntN(max(s.Max-s.Min, 1))
		}
		n -= s.Weight
	}
	return messenger.Short.Limit()
}

// Run sends the load and returns once every request has ended. If ctx ends first, it
// sends no further requests and reports on those sent so far.
func (l *Loader) Run(ctx context.Context, plan Plan) *Report {
	limit := plan.MaxInFlight
	if limit <= 0 || limit > maxInFlight {
		limit = maxInFlight
	}
	jobs := plan.jobs()
	outcomes := make([]Outcome, len(jobs))
	p := pool.New().WithMaxGoroutines(limit)
	start := time.Now()
	for i, j := range jobs {
		if sleeper.Sleep(ctx, time.Until(start.Add(j.offset))) != nil {
			outcomes = outcomes[:i]
			break
		}
		p.Go(func() { outcomes[i] = l.send(ctx, plan, j) })
	}
	p.Wait()
	return &Report{Outcomes: outcomes, Duration: time.Since(start)}
}

// aloneRequests is the number of requests that RunAlone sends for each share.
const aloneRequests = 3

// RunAlone sends a few requests of each share of the plan's mix one at a time. Its report
// is the reference for slowdowns.
func (l *Loader) RunAlone(ctx context.Context, plan Plan) *Report {
	mix := plan.Mix
	if len(mix) == 0 {
		mix = DefaultMix()
	}
	report := &Report{}
	for i, s := range mix {
		single := plan
		single.Seed = plan.Seed + uint64(i) + 1
		single.Requests, single.Rate, single.MaxInFlight, single.Mix = aloneRequests, 0, 1, []Share{s}
		r := l.Run(ctx, single)
		report.Outcomes = append(report.Outcomes, r.Outcomes...)
		report.Duration += r.Duration
	}
	return report
}
