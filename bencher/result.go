package bencher

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// FirstBound is the stated target for the time to first token.
const FirstBound = 480 * time.Millisecond

// Result is what a run measured.
type Result struct {
	requests []*request
	refusals int
}

// Add takes the requests of another run in.
func (s *Result) Add(o *Result) {
	s.requests = append(s.requests, o.requests...)
	s.refusals += o.refusals
}

// Refusals returns the number of reservations that agents refused per request.
func (s *Result) Refusals() float64 { return float64(s.refusals) / float64(max(1, len(s.requests))) }

func (s *Result) firsts(keep func(*request) bool) []time.Duration {
	var out []time.Duration
	for _, r := range s.requests {
		if r.id != "" && r.first > 0 && keep(r) {
			out = append(out, r.first)
		}
	}
	slices.Sort(out)
	return out
}

// First returns a percentile of the time to first token of a length class.
func (s *Result) First(c messenger.Class, p float64) time.Duration {
	return percentile(s.firsts(func(r *request) bool { return r.class == c }), p)
}

// Account returns a percentile of the time to first token of a length class over
// the accounts that keep returns true for.
func (s *Result) Account(c messenger.Class, p float64, keep func(account int) bool) time.Duration {
	return percentile(s.firsts(func(r *request) bool { return r.class == c && keep(r.account) }), p)
}

// percentile returns the smallest value that a share p of the sorted values reaches.
func percentile[T any](sorted []T, p float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	i := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// InTime returns the share of all requests, refused ones included, whose first
// token came within FirstBound.
func (s *Result) InTime() float64 {
	n, ok := 0, 0
	for _, r := range s.requests {
		if r.id == "" {
			continue
		}
		n++
		if r.first > 0 && r.first <= FirstBound {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}

// Steady returns the share of gaps between tokens within the bound.
func (s *Result) Steady() float64 {
	gaps, wide := 0, 0
	for _, r := range s.requests {
		gaps += r.gaps
		wide += r.wide
	}
	return 1 - float64(wide)/float64(max(1, gaps))
}

// Refused returns the share of requests refused at once.
func (s *Result) Refused() float64 {
	return s.share(func(r *request) bool { return !r.admitted })
}

// GivenUp returns the share of requests admitted, then given up in their time.
func (s *Result) GivenUp() float64 {
	return s.share(func(r *request) bool { return r.admitted && r.err != nil && !r.missed() })
}

// Missed returns the number of admitted requests without a final answer in their time.
func (s *Result) Missed() int {
	n := 0
	for _, r := range s.requests {
		if r.id != "" && r.admitted && r.missed() {
			n++
		}
	}
	return n
}

func (r *request) missed() bool {
	return r.took > r.timeout || r.err != nil && coder.Of(r.err).Code == coder.DeadlineExceeded
}

func (s *Result) share(is func(*request) bool) float64 {
	n, ok := 0, 0
	for _, r := range s.requests {
		if r.id == "" {
			continue
		}
		n++
		if is(r) {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}

// Goodput returns the tokens of requests answered whole and in time, before the
// trace's end, as a share of what the fleet can take until then.
func (s *Result) Goodput(b *Bencher) float64 {
	sum := 0
	for _, r := range s.requests {
		if r.done && r.err == nil && r.took <= r.timeout && r.at+r.took <= b.Length {
			sum += r.prompt + r.output
		}
	}
	return float64(sum) / (b.Deployment.rate() * b.Deployment.mean() * b.Length.Seconds())
}

// Fairness returns Jain's index over accounts of the share of their tokens that
// were answered in time.
func (s *Result) Fairness() float64 {
	asked, got := map[int]float64{}, map[int]float64{}
	for _, r := range s.requests {
		if r.id == "" {
			continue
		}
		n := float64(r.prompt + r.output)
		asked[r.account] += n
		if r.done && r.err == nil {
			got[r.account] += n
		}
	}
	sum, squares := 0.0, 0.0
	for a := range len(asked) {
		x := got[a] / asked[a]
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(asked)) * squares)
}

// Slowdown returns a percentile of the time that short requests took over the
// time they took in a run of the same trace without long prompts.
func (s *Result) Slowdown(alone *Result, p float64) float64 {
	var ratios []float64
	for i, r := range s.requests {
		a := alone.requests[i]
		if r.class == messenger.Short && r.err == nil && a.err == nil && a.took > 0 {
			ratios = append(ratios, float64(r.took)/float64(a.took))
		}
	}
	slices.Sort(ratios)
	return percentile(ratios, p)
}

// Row returns one line of a table: times in milliseconds, shares in percent. What
// the deployment weighs most comes first.
func (s *Result) Row(b *Bencher, alone *Result) string {
	var firsts strings.Builder
	for c := messenger.Short; c <= messenger.Huge; c++ {
		for _, p := range []float64{0.5, 0.95, 0.99} {
			fmt.Fprintf(&firsts, "%d ", s.First(c, p).Milliseconds())
		}
		firsts.WriteString("| ")
	}
	slow := fmt.Sprintf("%.2f %.2f | ", s.Slowdown(alone, 0.95), s.Slowdown(alone, 0.99))
	rest := fmt.Sprintf("%.1f | %.2f | %.2f | %.2f | %d | %.1f | %.3f |",
		100*s.InTime(), 100*s.Steady(), 100*s.Refused(), 100*s.GivenUp(), s.Missed(), 100*s.Goodput(b), s.Fairness())
	if b.Deployment.SlowdownFirst {
		return slow + firsts.String() + rest
	}
	return firsts.String() + slow + rest
}

// Head returns the head of the table that Row fills.
func (d Deployment) Head() string {
	columns := []string{"short p50 p95 p99 | medium | long | huge", "slowdown p95 p99"}
	if d.SlowdownFirst {
		slices.Reverse(columns)
	}
	return "| policy | load | " + strings.Join(columns, " | ") +
		" | in 0.48 s | gaps in 50 ms | refused | given up | missed | goodput | fairness |\n" +
		"|" + strings.Repeat("---|", columnCount)
}

const columnCount = 14
