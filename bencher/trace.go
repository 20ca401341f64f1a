package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleyshunt/messenger"
)

// Deployment is a fleet and its traffic.
type Deployment struct {
	Name     string
	Replicas int
	OneWay   time.Duration // between availability zones
	Bands    []Band
	Accounts []float64 // shares of the requests
	Shorts   int       // replicas in the short lane; none if zero

	SlowdownFirst bool // the slowdown of short prompts weighs more than the time to first token
}

// Band is one kind of request. Lengths are log-uniform between their bounds.
type Band struct {
	Name    string
	Share   float64 // of the requests
	Prompt  [2]int  // tokens
	Output  [2]int  // tokens
	Timeout time.Duration
	Shared  int // tokens at the beginning that the family has in common
}

// Families of prompts with a common beginning per account.
const families = 20

// Laufspur is the runner tracker's fleet.
func Laufspur() Deployment {
	return Deployment{
		Name: "Laufspur", SlowdownFirst: true, Replicas: 14, OneWay: time.Millisecond,
		Bands: []Band{
			{"summary", 0.70, [2]int{1000, 4000}, [2]int{60, 200}, 10 * time.Second, 800},
			{"briefing", 0.20, [2]int{4000, 10000}, [2]int{150, 400}, 30 * time.Second, 3000},
			{"report", 0.08, [2]int{10000, 24000}, [2]int{200, 500}, 60 * time.Second, 3000},
			{"digest", 0.02, [2]int{100_000, 1_000_000}, [2]int{200, 400}, 90 * time.Second, 0},
		},
		Accounts: []float64{0.25, 0.2, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05},
	}
}

// Barua is the letter drafter's fleet.
func Barua() Deployment {
	return Deployment{
		Name: "Kilimanjaro Barua", Replicas: 18, OneWay: 500 * time.Microsecond,
		Bands: []Band{
			{"reminder", 0.80, [2]int{1000, 3000}, [2]int{80, 250}, 20 * time.Second, 900},
			{"renewal", 0.18, [2]int{4000, 22000}, [2]int{200, 600}, 60 * time.Second, 2000},
			{"pack", 0.02, [2]int{100_000, 1_000_000}, [2]int{300, 600}, 120 * time.Second, 0},
		},
		Accounts: []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.03, 0.03, 0.03, 0.03, 0.03},
	}
}

// request is one request of the trace and what became of it.
type request struct {
	id       string
	at       time.Duration
	account  int
	prompt   int
	output   int
	priority int
	timeout  time.Duration
	class    messenger.Class
	family   uint64
	shared   int // tokens

	tries    int
	exclude  []string
	admitted bool
	segment  int // of a prompt beyond one engine's memory
	done     bool
	err      error
	first    time.Duration // since arrival
	took     time.Duration // since arrival
	gaps     int           // between tokens
	wide     int           // of these, longer than the bound
}

func (r *request) deadline() time.Time { return start.Add(r.at + r.timeout) }

func logUniform(rnd *rand.Rand, b [2]int) int {
	lo, hi := math.Log(float64(b[0])), math.Log(float64(b[1]))
	return int(math.Exp(lo + rnd.Float64()*(hi-lo)))
}

// packing is the share of memory that can be filled with prompts of all lengths.
const packing = 0.85

// rate returns the requests a second that the fleet can take: engines compute a
// budget of tokens a step and hold each request in memory while they work on it.
func (d Deployment) rate() float64 {
	perSecond := engineBudget / engineStep.Seconds()
	tokens, held := 0.0, 0.0
	for _, b := range d.Bands {
		prompt, output := logMean(b.Prompt), logMean(b.Output)
		tokens += b.Share * (prompt + output)
		held += b.Share * (prompt + output) * (prompt/perSecond + output*engineStep.Seconds())
	}
	n := float64(d.Replicas)
	return min(n*perSecond/tokens, n*engineMemory*packing/held)
}

// mean returns the expected tokens of one request.
func (d Deployment) mean() float64 {
	sum := 0.0
	for _, b := range d.Bands {
		sum += b.Share * (logMean(b.Prompt) + logMean(b.Output))
	}
	return sum
}

func logMean(b [2]int) float64 {
	return float64(b[1]-b[0]) / math.Log(float64(b[1])/float64(b[0]))
}

// trace draws the requests. The draws don't depend on NoLong or Greedy, so that a
// trace without long prompts, or with more requests of one account, has the same
// others.
func (b *Bencher) trace() []*request {
	rnd := rand.New(rand.NewPCG(b.Seed, seedStream+1))
	more := rand.New(rand.NewPCG(b.Seed, seedStream+2))
	d := b.Deployment
	rate := b.Load * d.rate()
	var out []*request
	n := 0
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when > b.Length {
			return out
		}
		r := d.draw(rnd, n)
		n++
		r.at = when
		if b.Tight > 0 && r.class >= messenger.Long {
			r.timeout = time.Duration(b.Tight * float64(r.timeout))
		}
		if b.NoLong && r.class >= messenger.Long {
			r.id = ""
		}
		out = append(out, r)
		out = append(out, b.extra(more, r)...)
	}
}

// extra repeats the last account's requests by the factor Greedy.
func (b *Bencher) extra(rnd *rand.Rand, r *request) []*request {
	if r.account != len(b.Deployment.Accounts)-1 {
		return nil
	}
	var out []*request
	for i := 1; i < int(b.Greedy); i++ {
		more := *r
		more.id = fmt.Sprintf("%s.%d", r.id, i)
		more.at += time.Duration(rnd.Float64() * float64(time.Second))
		out = append(out, &more)
	}
	return out
}

func (d Deployment) draw(rnd *rand.Rand, i int) *request {
	band := d.Bands[weighted(rnd, len(d.Bands), func(i int) float64 { return d.Bands[i].Share })]
	r := &request{
		id:      fmt.Sprintf("r%d", i),
		account: weighted(rnd, len(d.Accounts), func(i int) float64 { return d.Accounts[i] }),
		prompt:  logUniform(rnd, band.Prompt),
		output:  logUniform(rnd, band.Output),
		timeout: band.Timeout,
	}
	r.class = messenger.ClassOf(r.prompt)
	r.family = uint64(r.account)<<32 | uint64(rnd.IntN(families))<<8 | uint64(r.class)
	r.shared = band.Shared
	return r
}

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
