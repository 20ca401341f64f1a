// Package weigher weighs the saving of a cached prompt prefix against the wait for a target,
// as one expected time to first token.
package weigher

import (
	"math"
	"time"
)

const (
	// MaxAge is the age at which a hint expires.
	MaxAge = 2 * time.Minute
	// agedShare is what is left at MaxAge of the probability that a prefix is cached. Engines
	// evict by use rather than by age; age stands for what is not known of them.
	agedShare = 0.5
	// safeShare of the memory that is left may be filled with other prompts before a prefix is
	// likely to be evicted, and surelyGone of it before it is taken for evicted. The counts of
	// tokens sent are those of one entry, projected to all of them.
	safeShare  = 0.5
	surelyGone = 1.5
	// recoveryTime is the time in which the effect of a target's reports falls to 1/e, so that a
	// target whose hints were wrong gets another chance. Requests that reach it for other reasons
	// report, too.
	recoveryTime = 2 * time.Minute
	// minProbability is the probability below which a prefix counts as not cached: a saving that
	// is hardly expected would still draw all requests with the prefix to a few targets.
	minProbability = 0.1
	// reportWeight is the weight of one report in the mean of a target's reports.
	reportWeight = 0.25
	// toleratedShare of the expected tokens may be missing in a report without the hint being
	// wrong: engines cache whole blocks, and the tokens of a prefix are estimated from its bytes.
	toleratedShare = 0.25
	// minTolerated is the same in tokens, for short prefixes: a block of the usual engines.
	minTolerated = 256
)

// Candidate is a target that may be chosen for a request.
type Candidate struct {
	Prompt   int           // tokens
	Rate     int           // prefill tokens per second; must be positive
	Wait     time.Duration // predicted time until prefill starts
	Hinted   int           // tokens of the prompt's longest prefix that was sent there; zero for none
	Age      time.Duration // since it was last sent there
	Sent     int           // tokens sent there since, by all entries
	Left     int           // tokens of memory left for cached prompts beside the request; see Unbounded
	Reported float64       // share of the hinted tokens that the target has reported as cached lately
}

// Unbounded is the Left of a target whose memory is not known.
const Unbounded = math.MaxInt

// Estimate is what is expected of a request at a candidate.
type Estimate struct {
	TTFT        time.Duration // expected time to first token: wait and prefill
	Cached      int           // expected tokens that need no prefill
	Probability float64       // that the hinted tokens are cached
	Hinted      int           // as Cached, without regard to what the target has reported; Reports learn from it
}

// Weigher weighs candidates. The zero value counts cached prefixes of engines that do not say
// how much they keep.
type Weigher struct {
	// Cache is the number of tokens of finished prompts that an engine keeps: -1 for none, 0
	// for unknown.
	Cache int
	// Certain takes each hint for true, as a reference in benchmarks.
	Certain bool
}

// Estimate returns the expected time to first token at a candidate. At least one token is
// always left to prefill.
func (w Weigher) Estimate(c Candidate) Estimate {
	e := Estimate{}
	hinted := min(c.Hinted, c.Prompt-1)
	if hinted > 0 {
		likely := w.probability(c)
		e.Hinted = int(likely * float64(hinted))
		e.Probability = likely * w.reported(c)
		if e.Probability < minProbability {
			e.Probability = 0
		}
		e.Cached = int(e.Probability * float64(hinted))
	}
	e.TTFT = c.Wait + tokenTime(c.Prompt-e.Cached, c.Rate)
	return e
}

// reported returns the share of hinted tokens that the target is known to have.
func (w Weigher) reported(c Candidate) float64 {
	if w.Certain {
		return 1
	}
	return bounded(c.Reported)
}

// probability returns the probability that the hinted prefix is still cached, by its age and
// what was sent since.
func (w Weigher) probability(c Candidate) float64 {
	left := c.Left
	if w.Cache > 0 && left > 0 {
		left = w.Cache
	}
	switch {
	case w.Cache < 0 || left <= 0 || c.Age > MaxAge || c.Age < 0:
		return 0
	case w.Certain:
		return 1
	}
	aged := 1 - (1-agedShare)*float64(c.Age)/float64(MaxAge)
	return aged * kept(c.Sent, left)
}

// kept returns the probability that a prefix has not been evicted by tokens sent since.
func kept(sent, left int) float64 {
	if left == Unbounded {
		return 1
	}
	return bounded((surelyGone - float64(max(0, sent))/float64(left)) / (surelyGone - safeShare))
}

func bounded(v float64) float64 { return max(0, min(1, v)) }

func tokenTime(tokens, rate int) time.Duration {
	return time.Duration(float64(tokens) / float64(max(1, rate)) * float64(time.Second))
}

// IsWrong reports whether a target that reported some cached tokens of a request had fewer of
// them than expected.
func IsWrong(expected, reported int) bool {
	return expected > 0 && expected-reported > max(minTolerated, int(toleratedShare*float64(expected)))
}

// Reports is the mean of what one target has reported as cached, relative to the hinted
// tokens. The zero value has no reports.
type Reports struct {
	missing float64 // mean share of the hinted tokens that was not cached
	at      time.Time
}

// Share returns the share of hinted tokens that is cached by the reports. It returns to one
// as they get old.
func (r *Reports) Share(now time.Time) float64 {
	if r.missing == 0 {
		return 1
	}
	return 1 - r.missing*math.Exp(-float64(max(0, now.Sub(r.at)))/float64(recoveryTime))
}

// Add adds a report for a request with hinted tokens. Those within a block tell nothing.
func (r *Reports) Add(now time.Time, hinted, reported int) {
	if hinted <= minTolerated {
		return
	}
	missing := 0.0
	if IsWrong(hinted, reported) {
		missing = 1 - bounded(float64(reported)/float64(hinted))
	}
	before := 1 - r.Share(now)
	r.missing, r.at = before+reportWeight*(missing-before), now
}
