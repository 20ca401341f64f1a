package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bramleyshunt/configurer"
)

// Site is a deployment whose engines work in passes, and its traffic.
type Site struct {
	Name    string
	Entries int
	Targets int
	Engine  configurer.Engine
	Queue   int           // requests that wait at an engine beyond its slots
	OneWay  time.Duration // between availability zones
	Length  time.Duration // of the traffic
	Traffic []Traffic
	Phases  []Phase
}

// Traffic is one kind of request.
type Traffic struct {
	Name    string
	Rate    float64 // requests a second
	Prompt  Spread  // tokens
	Events  Spread  // of the answer
	Aim     time.Duration
	Gap     time.Duration // longest pause between events of an answer in time
	Timeout time.Duration
	Worth   float64 // of an answer in time
	Late    float64 // of a later one
}

// Spread is a log-normal distribution that is cut off at Most.
type Spread struct {
	Mean  float64
	Sigma float64 // of the logarithm
	Most  float64
}

// Phase is a time in which one kind of request comes more or less often.
type Phase struct {
	Traffic string
	From    time.Duration
	Until   time.Duration
	Factor  float64 // on its rate
}

func (s Spread) draw(rnd *rand.Rand) int {
	x := s.Mean * math.Exp(s.Sigma*rnd.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Most > 0 {
		x = min(x, s.Most)
	}
	return max(1, int(x))
}

// rate returns the requests a second of a kind at a time.
func (s Site) rate(t Traffic, at time.Duration) float64 {
	rate := t.Rate
	for _, p := range s.Phases {
		if p.Traffic == t.Name && at >= p.From && at < p.Until {
			rate *= p.Factor
		}
	}
	return rate
}

// most returns the highest rate of a kind.
func (s Site) most(t Traffic) float64 {
	most := s.rate(t, 0)
	for _, p := range s.Phases {
		most = max(most, s.rate(t, p.From))
	}
	return most
}

// calls draws the requests, by time. Each kind has its own generator.
func (s Site) calls(seed uint64) []*call {
	var out []*call
	for k, t := range s.Traffic {
		rnd := rand.New(rand.NewPCG(seed, seedStream+uint64(k)))
		most := s.most(t)
		for at := 0.0; most > 0; {
			at += rnd.ExpFloat64() / most
			when := time.Duration(at * float64(time.Second))
			if when > s.Length {
				break
			}
			c := &call{traffic: t, kind: k, at: when, prompt: t.Prompt.draw(rnd), events: t.Events.draw(rnd), account: rnd.IntN(siteAccounts)}
			if rnd.Float64()*most < s.rate(t, when) {
				c.id = strconv.Itoa(k) + "." + strconv.Itoa(len(out))
				out = append(out, c)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *call) int { return int(a.at - b.at) })
	return out
}

// siteAccounts is how many client accounts share a site's requests evenly.
const siteAccounts = 10
