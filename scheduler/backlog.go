package scheduler

import "time"

const (
	leastBacklog = time.Second      // measured before its rate is taken
	mostBacklog  = 20 * time.Second // after which what was measured counts half
)

// backlog measures how fast a queue is worked off while it isn't empty. The
// speed that targets report leaves out what holds them up beside computation,
// such as a lack of memory.
type backlog struct {
	since  time.Time // zero while the queue is empty
	tokens float64
}

// note takes the state of the queue after a pump that placed so many tokens.
func (b *backlog) note(now time.Time, waiting bool, tokens int) {
	switch {
	case !waiting:
		*b = backlog{}
	case b.since.IsZero():
		b.since = now
	default:
		b.tokens += float64(tokens)
	}
	if took := now.Sub(b.since); waiting && took > mostBacklog {
		b.since = b.since.Add(took / 2)
		b.tokens /= 2
	}
}

// rate returns the tokens a second, at most those reported. The first request in
// the queue counts as placed now: it is the least that could have been worked off
// more slowly, and where requests are few and large it is all there is to go by.
func (b *backlog) rate(now time.Time, reported, first int) int {
	took := now.Sub(b.since)
	if b.since.IsZero() || took < leastBacklog {
		return reported
	}
	return min(reported, max(1, int((b.tokens+float64(first))/took.Seconds())))
}
