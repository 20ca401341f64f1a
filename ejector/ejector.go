// Package ejector takes a target out of use for a short time after it broke off requests, and
// lets it back gradually. A target whose connections are reset has no requests left, so
// that it would otherwise look like the least loaded one and receive the next requests too.
// A short first time suffices for a single failure; it grows with the share of
// requests that fail.
package ejector

import "time"

const (
	// minTime is the time for which a target is ejected after a failure that follows many
	// successes.
	minTime = 300 * time.Millisecond
	// maxTime is the time for a target all of whose requests fail. Other targets have
	// taken over its requests by then, and one that recovers is missed no longer than that.
	maxTime = 8 * time.Second
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.2
)

// Ejector decides for one target. The zero value is one without any outcome.
type Ejector struct {
	failureRate float64
	until       time.Time // end of the last ejection
	length      time.Duration
}

// Failed records that a request sent at the given time was broken off, and reports whether
// this ejects the target. Failures of requests that were sent before the last ejection
// ended say nothing new.
func (e *Ejector) Failed(now, sent time.Time) bool {
	if sent.Before(e.until) {
		return false
	}
	e.failureRate += failureWeight * (1 - e.failureRate)
	e.eject(now, minTime+time.Duration(e.failureRate*e.failureRate*float64(maxTime-minTime)))
	return true
}

// Succeeded records that a request was answered.
func (e *Ejector) Succeeded() { e.failureRate -= failureWeight * e.failureRate }

// Adopt ejects the target for a time that is left of an ejection elsewhere, unless it is
// ejected for longer. It reports whether the target was not ejected before.
func (e *Ejector) Adopt(now time.Time, left time.Duration) bool {
	left = min(left, maxTime)
	if !now.Add(left).After(e.until) {
		return false
	}
	fresh := !e.Ejected(now)
	e.eject(now, left)
	return fresh
}

func (e *Ejector) eject(now time.Time, d time.Duration) { e.until, e.length = now.Add(d), d }

// Ejected reports whether the target gets no requests.
func (e *Ejector) Ejected(now time.Time) bool { return now.Before(e.until) }

// Left returns the rest of the ejection.
func (e *Ejector) Left(now time.Time) time.Duration { return max(0, e.until.Sub(now)) }

// Limit returns the number of requests that the target may have at once, of the given number of
// slots: none while it is ejected, then one, and all of them after as long again as it was
// ejected.
func (e *Ejector) Limit(now time.Time, slots int) int {
	since := now.Sub(e.until)
	switch {
	case since < 0:
		return 0
	case since >= e.length:
		return slots
	default:
		return min(slots, 1+int(int64(slots)*int64(since)/int64(e.length)))
	}
}
