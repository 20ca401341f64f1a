package router

import "time"

// rateLimit is the request rate that a target accepts from all entries together.
type rateLimit struct {
	rate       float64   // requests per second; zero for no limit
	observedAt time.Time // when an answer last named it
}

// RecordLimit records the rate limit that a target named in its answer to a request sent
// at the given time, in requests per second; zero if it named none. It returns the limit
// in force before and after.
func (r *Router) RecordLimit(now, sent time.Time, p Pick, rate float64) (from, to float64) {
	s := r.byID[p.Target.ID]
	if s == nil || s.target.Incarnation != p.Target.Incarnation {
		return 0, 0
	}
	from = s.limit.rate
	if rate == 0 && sent.Before(s.limit.observedAt) { // the target may have answered before it named the limit
		return from, from
	}
	if from > 0 || rate > 0 {
		s.limit.rate, s.limit.observedAt = rate, now
	}
	return from, rate
}
