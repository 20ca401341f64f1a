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

// TTFTObjective is the objective for the time to first token (TTFT).
const TTFTObjective = 480 * time.Millisecond

// Result holds the requests of one or several runs of a Bencher.
type Result struct {
	requests []*request
	refusals int

	Cached CachedCounts
}

// Add appends the requests and refusals of another run.
func (res *Result) Add(o *Result) {
	res.requests = append(res.requests, o.requests...)
	res.refusals += o.refusals
	res.Cached.add(o.Cached)
}

// Refusals returns the mean number of reservations refused by agents per request.
func (res *Result) Refusals() float64 {
	return float64(res.refusals) / float64(max(1, len(res.requests)))
}

// ttfts returns the sorted TTFTs of the requests for which keep returns true.
func (res *Result) ttfts(keep func(*request) bool) []time.Duration {
	var out []time.Duration
	for _, r := range res.requests {
		if r.id != "" && r.ttft > 0 && keep(r) {
			out = append(out, r.ttft)
		}
	}
	slices.Sort(out)
	return out
}

// TTFT returns a percentile of the TTFT of a length class; p is between 0 and 1.
func (res *Result) TTFT(c messenger.Class, p float64) time.Duration {
	return percentile(res.ttfts(func(r *request) bool { return r.class == c }), p)
}

// AccountTTFT returns a percentile of the TTFT of a length class over the accounts for
// which keep returns true; p is between 0 and 1.
func (res *Result) AccountTTFT(c messenger.Class, p float64, keep func(account int) bool) time.Duration {
	return percentile(res.ttfts(func(r *request) bool { return r.class == c && keep(r.account) }), p)
}

// percentile returns the nearest-rank percentile of sorted values: the smallest value
// that at least a fraction p of them does not exceed. It is zero if there are none.
func percentile[T any](sorted []T, p float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	i := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// InTime returns the fraction of all requests, refused ones included, whose first token
// was received within TTFTObjective.
func (res *Result) InTime() float64 {
	n, ok := 0, 0
	for _, r := range res.requests {
		if r.id == "" {
			continue
		}
		n++
		if r.ttft > 0 && r.ttft <= TTFTObjective {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}

// GapsWithinBound returns the fraction of inter-token gaps of at most maxGap.
func (res *Result) GapsWithinBound() float64 {
	gaps, longGaps := 0, 0
	for _, r := range res.requests {
		gaps += r.gaps
		longGaps += r.longGaps
	}
	return 1 - float64(longGaps)/float64(max(1, gaps))
}

// Refused returns the fraction of requests refused on arrival.
func (res *Result) Refused() float64 {
	return res.share(func(r *request) bool { return !r.admitted })
}

// GivenUp returns the fraction of requests that were admitted and then failed before
// their deadline.
func (res *Result) GivenUp() float64 {
	return res.share(func(r *request) bool { return r.admitted && r.err != nil && !r.missed() })
}

// Missed returns the number of admitted requests without a final reply by their deadline.
func (res *Result) Missed() int {
	n := 0
	for _, r := range res.requests {
		if r.id != "" && r.admitted && r.missed() {
			n++
		}
	}
	return n
}

func (r *request) missed() bool {
	return r.took > r.timeout || r.err != nil && coder.Of(r.err).Code == coder.DeadlineExceeded
}

// share returns the fraction of requests for which match returns true.
func (res *Result) share(match func(*request) bool) float64 {
	n, ok := 0, 0
	for _, r := range res.requests {
		if r.id == "" {
			continue
		}
		n++
		if match(r) {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}

// Goodput returns the tokens of requests answered completely before their deadline and
// the end of the trace, as a fraction of the fleet's capacity until then.
func (res *Result) Goodput(b *Bencher) float64 {
	sum := 0
	for _, r := range res.requests {
		if r.done && r.err == nil && r.took <= r.timeout && r.at+r.took <= b.Length {
			sum += r.prompt + r.output
		}
	}
	return float64(sum) / (b.Deployment.rate() * b.Deployment.meanTokens() * b.Length.Seconds())
}

// Fairness returns Jain's fairness index over the client accounts, applied to the
// fraction of each account's tokens that were answered without an error.
func (res *Result) Fairness() float64 {
	requested, answered := map[int]float64{}, map[int]float64{}
	for _, r := range res.requests {
		if r.id == "" {
			continue
		}
		n := float64(r.prompt + r.output)
		requested[r.account] += n
		if r.done && r.err == nil {
			answered[r.account] += n
		}
	}
	sum, squares := 0.0, 0.0
	for a := range len(requested) {
		x := answered[a] / requested[a]
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(requested)) * squares)
}

// Slowdown returns a percentile of the slowdown of short requests: their duration divided
// by that in reference, the result of the same trace without long prompts.
func (res *Result) Slowdown(reference *Result, p float64) float64 {
	var ratios []float64
	for i, r := range res.requests {
		ref := reference.requests[i]
		if r.class == messenger.Short && r.err == nil && ref.err == nil && ref.took > 0 {
			ratios = append(ratios, float64(r.took)/float64(ref.took))
		}
	}
	slices.Sort(ratios)
	return percentile(ratios, p)
}

// Row returns the cells of one row of a Markdown table. Times are in milliseconds, shares
// in percent. Slowdowns come before TTFTs if the deployment sets SlowdownFirst.
func (res *Result) Row(b *Bencher, reference *Result) string {
	var ttfts strings.Builder
	for c := messenger.Short; c <= messenger.Huge; c++ {
		for _, p := range []float64{0.5, 0.95, 0.99} {
			fmt.Fprintf(&ttfts, "%d ", res.TTFT(c, p).Milliseconds())
		}
		ttfts.WriteString("| ")
	}
	slow := fmt.Sprintf("%.2f %.2f | ", res.Slowdown(reference, 0.95), res.Slowdown(reference, 0.99))
	rest := fmt.Sprintf("%.1f | %.2f | %.2f | %.2f | %d | %.1f | %.3f |",
		100*res.InTime(), 100*res.GapsWithinBound(), 100*res.Refused(), 100*res.GivenUp(), res.Missed(), 100*res.Goodput(b), res.Fairness())
	if b.Deployment.SlowdownFirst {
		return slow + ttfts.String() + rest
	}
	return ttfts.String() + slow + rest
}

// TableHeader returns the header of the table that Result.Row fills.
func (d Deployment) TableHeader() string {
	columns := []string{"short p50 p95 p99 | medium | long | huge", "slowdown p95 p99"}
	if d.SlowdownFirst {
		slices.Reverse(columns)
	}
	return "| policy | load | " + strings.Join(columns, " | ") +
		" | in 0.48 s | gaps in 50 ms | refused | given up | missed | goodput | fairness |\n" +
		"|" + strings.Repeat("---|", columnCount)
}

const columnCount = 14
