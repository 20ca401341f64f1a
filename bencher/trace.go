package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleyshunt/messenger"
)

// Deployment describes a fleet and its traffic.
type Deployment struct {
	Name          string
	Replicas      int
	OneWay        time.Duration // network latency between availability zones
	Profiles      []Profile
	Accounts      []float64 // fraction of the requests per client account
	ShortReplicas int       // replicas in the short lane; there are no lanes if zero

	SlowdownFirst bool // the slowdown of short prompts matters more than the TTFT
}

// Profile describes one kind of request. Lengths are log-uniform between their bounds.
type Profile struct {
	Name    string
	Share   float64 // fraction of the requests
	Prompt  [2]int  // tokens
	Output  [2]int  // tokens
	Timeout time.Duration
	Shared  int // length of the prefix that prompts of a family share, in tokens
}

// familiesPerAccount is the number of prompt families with a shared prefix that each
// account has per length class.
const familiesPerAccount = 20

// Laufspur returns the fleet of the Laufspur runner tracker.
func Laufspur() Deployment {
	return Deployment{
		Name: "Laufspur", SlowdownFirst: true, Replicas: 14, OneWay: time.Millisecond,
		Profiles: []Profile{
			{"summary", 0.70, [2]int{1000, 4000}, [2]int{60, 200}, 10 * time.Second, 800},
			{"briefing", 0.20, [2]int{4000, 10000}, [2]int{150, 400}, 30 * time.Second, 3000},
			{"report", 0.08, [2]int{10000, 24000}, [2]int{200, 500}, 60 * time.Second, 3000},
			{"digest", 0.02, [2]int{100_000, 1_000_000}, [2]int{200, 400}, 90 * time.Second, 0},
		},
		Accounts: []float64{0.25, 0.2, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05},
	}
}

// Barua returns the fleet of the Kilimanjaro Barua letter drafter.
func Barua() Deployment {
	return Deployment{
		Name: "Kilimanjaro Barua", Replicas: 18, OneWay: 500 * time.Microsecond,
		Profiles: []Profile{
			{"reminder", 0.80, [2]int{1000, 3000}, [2]int{80, 250}, 20 * time.Second, 900},
			{"renewal", 0.18, [2]int{4000, 22000}, [2]int{200, 600}, 60 * time.Second, 2000},
			{"pack", 0.02, [2]int{100_000, 1_000_000}, [2]int{300, 600}, 120 * time.Second, 0},
		},
		Accounts: []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.03, 0.03, 0.03, 0.03, 0.03},
	}
}

// request is one request of the trace and its outcome. An empty ID marks a request that
// is omitted from the run.
type request struct {
	id       string
	at       time.Duration // of arrival, since the start
	account  int
	prompt   int
	output   int
	priority int
	timeout  time.Duration
	class    messenger.Class
	family   uint64 // of prompts with a shared prefix
	shared   int    // tokens of the shared prefix

	attempts int
	exclude  []string
	admitted bool
	segment  int // index of the current segment of a prompt that exceeds one engine's memory
	done     bool
	err      error
	ttft     time.Duration // to the first token, since arrival
	took     time.Duration // since arrival
	gaps     int           // number of inter-token gaps
	longGaps int           // number of gaps longer than maxGap
}

func (r *request) deadline() time.Time { return start.Add(r.at + r.timeout) }

// logUniform draws from a log-uniform distribution.
func logUniform(rnd *rand.Rand, bounds [2]int) int {
	lo, hi := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Exp(lo + rnd.Float64()*(hi-lo)))
}

// maxMemoryShare is the fraction of an engine's memory that prompts of mixed lengths can
// fill.
const maxMemoryShare = 0.85

// rate returns the capacity of the fleet in requests per second. It is bound by the
// engines' token budget per step and by their memory, which holds each request from
// its prefill to its last token.
func (d Deployment) rate() float64 {
	perSecond := engineBudget / engineStep.Seconds()
	tokens, held := 0.0, 0.0
	for _, p := range d.Profiles {
		prompt, output := logMean(p.Prompt), logMean(p.Output)
		tokens += p.Share * (prompt + output)
		held += p.Share * (prompt + output) * (prompt/perSecond + output*engineStep.Seconds())
	}
	n := float64(d.Replicas)
	return min(n*perSecond/tokens, n*engineMemory*maxMemoryShare/held)
}

// meanTokens returns the expected tokens of a request, prompt and output.
func (d Deployment) meanTokens() float64 {
	sum := 0.0
	for _, p := range d.Profiles {
		sum += p.Share * (logMean(p.Prompt) + logMean(p.Output))
	}
	return sum
}

// logMean returns the mean of a log-uniform distribution.
func logMean(bounds [2]int) float64 {
	return float64(bounds[1]-bounds[0]) / math.Log(float64(bounds[1])/float64(bounds[0]))
}

// trace draws the requests. The draws do not depend on NoLong or LastAccountFactor, so
// that a trace without long prompts or with more requests of one account is otherwise
// identical.
func (b *Bencher) trace() []*request {
	rnd := rand.New(rand.NewPCG(b.Seed, seedStream+1))
	extraRnd := rand.New(rand.NewPCG(b.Seed, seedStream+2))
	d := b.Deployment
	rate := b.Load * d.rate()
	var out []*request
	n := 0
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / rate
		arrival := time.Duration(at * float64(time.Second))
		if arrival > b.Length {
			return out
		}
		r := d.draw(rnd, n)
		n++
		b.sharePrefix(r)
		r.at = arrival
		if b.LongTimeoutFactor > 0 && r.class >= messenger.Long {
			r.timeout = time.Duration(b.LongTimeoutFactor * float64(r.timeout))
		}
		if b.NoLong && r.class >= messenger.Long {
			r.id = ""
		}
		out = append(out, r)
		out = append(out, b.extraRequests(extraRnd, r)...)
	}
}

// extraRequests returns the copies of a request of the last account that
// LastAccountFactor calls for. They arrive within a second after the original.
func (b *Bencher) extraRequests(rnd *rand.Rand, r *request) []*request {
	if r.account != len(b.Deployment.Accounts)-1 {
		return nil
	}
	var out []*request
	for i := 1; i < int(b.LastAccountFactor); i++ {
		extra := *r
		extra.id = fmt.Sprintf("%s.%d", r.id, i)
		extra.at += time.Duration(rnd.Float64() * float64(time.Second))
		out = append(out, &extra)
	}
	return out
}

// draw draws request number i.
func (d Deployment) draw(rnd *rand.Rand, i int) *request {
	profile := d.Profiles[weighted(rnd, len(d.Profiles), func(i int) float64 { return d.Profiles[i].Share })]
	r := &request{
		id:      fmt.Sprintf("r%d", i),
		account: weighted(rnd, len(d.Accounts), func(i int) float64 { return d.Accounts[i] }),
		prompt:  logUniform(rnd, profile.Prompt),
		output:  logUniform(rnd, profile.Output),
		timeout: profile.Timeout,
	}
	r.class = messenger.ClassOf(r.prompt)
	r.family = uint64(r.account)<<32 | uint64(rnd.IntN(familiesPerAccount))<<8 | uint64(r.class)
	r.shared = profile.Shared
	return r
}

// weighted draws an index below n with the given probabilities.
func weighted(rnd *rand.Rand, n int, share func(int) float64) int {
	x := rnd.Float64()
	for i := range n {
		x -= share(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
