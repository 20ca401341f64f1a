package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bramleyshunt/configurer"
)

// Site is a deployment with engines as modelled by package passer, and its traffic.
type Site struct {
	Name    string
	Entries int
	Zones   int // availability zones of the entries; zero stands for one
	Targets int
	Engine  configurer.Engine
	Queue   int           // length of an engine's queue, besides its slots
	OneWay  time.Duration // network latency between availability zones
	Length  time.Duration // of the traffic
	Traffic []Traffic
	Phases  []Phase
}

// Traffic describes the requests of one kind.
type Traffic struct {
	Name      string
	Rate      float64       // requests per second, before phases
	Prompt    Spread        // tokens
	Events    Spread        // of the answer
	Objective time.Duration // for the time to the first event
	MaxGap    time.Duration // objective for the longest gap between events
	Timeout   time.Duration
	Worth     float64 // of an answer to a mean prompt that meets both objectives
	LateWorth float64 // of a complete answer that misses one
	SizeShare float64 // part of both that grows with the prompt, in proportion to the mean one
	MaxSize   float64 // bounds the factor by which a long prompt is worth more; no bound if zero
}

// sizeFactor returns the worth of an answer to a prompt, relative to that of the mean one.
func (t Traffic) sizeFactor(prompt int) float64 {
	x := 1 - t.SizeShare + t.SizeShare*float64(prompt)/t.Prompt.Mean
	if t.MaxSize > 0 {
		x = min(x, t.MaxSize)
	}
	return x
}

// Spread is a log-normal distribution whose values are capped at Max if Max is positive.
type Spread struct {
	Mean  float64
	Sigma float64 // standard deviation of the logarithm
	Max   float64
}

// Phase is a period in which the rate of one kind of request is multiplied by Factor.
type Phase struct {
	Traffic string // name of the kind
	From    time.Duration
	Until   time.Duration
	Factor  float64
}

func (s Spread) draw(rnd *rand.Rand) int {
	x := s.Mean * math.Exp(s.Sigma*rnd.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		x = min(x, s.Max)
	}
	return max(1, int(x))
}

// rate returns the requests per second of one kind at the given time.
func (s Site) rate(t Traffic, at time.Duration) float64 {
	rate := t.Rate
	for _, p := range s.Phases {
		if p.Traffic == t.Name && at >= p.From && at < p.Until {
			rate *= p.Factor
		}
	}
	return rate
}

// maxRate returns the highest rate of one kind.
func (s Site) maxRate(t Traffic) float64 {
	highest := s.rate(t, 0)
	for _, p := range s.Phases {
		highest = max(highest, s.rate(t, p.From))
	}
	return highest
}

// drawCalls draws the calls, ordered by arrival. Each kind has its own random generator,
// and arrivals are drawn at the highest rate and thinned out to the current one.
func (s Site) drawCalls(seed uint64) []*call {
	var out []*call
	for k, t := range s.Traffic {
		rnd := rand.New(rand.NewPCG(seed, seedStream+uint64(k)))
		highest := s.maxRate(t)
		for at := 0.0; highest > 0; {
			at += rnd.ExpFloat64() / highest
			arrival := time.Duration(at * float64(time.Second))
			if arrival > s.Length {
				break
			}
			c := &call{traffic: t, kind: k, at: arrival, prompt: t.Prompt.draw(rnd), events: t.Events.draw(rnd), account: rnd.IntN(accountsPerSite)}
			if rnd.Float64()*highest < s.rate(t, arrival) {
				c.id = strconv.Itoa(k) + "." + strconv.Itoa(len(out))
				out = append(out, c)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *call) int { return int(a.at - b.at) })
	return out
}

// accountsPerSite is the number of client accounts, each with the same share of requests.
const accountsPerSite = 10
