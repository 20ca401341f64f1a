package router

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// score predicts the wait at a target and reports whether the target is eligible.
func (r *Router) score(now time.Time, s *targetState, req Request, known *hints) (Pick, bool) {
	r.Examined++
	l := s.target.Load
	p := Pick{Target: s.target, PrefillRate: orDefault(l.Speed, DefaultPrefillRate), DecodeRate: orDefault(l.Pace, DefaultDecodeRate)}
	p.Wait = TokenTime(r.tokensAhead(now, s, messenger.ClassOf(req.Prompt)), p.PrefillRate)
	r.weigh(now, &p, s, req, known.of(s), memoryLeft(s, req))
	if slices.Contains(req.Exclude, s.target.ID) {
		return p, false
	}
	return p, r.fits(now, s, req, p)
}

// tokensAhead returns the tokens that a target prefills before a prompt of a class. The
// reported tokens are reduced by what the target has prefilled since the report, at its
// reported rate.
func (r *Router) tokensAhead(now time.Time, s *targetState, class messenger.Class) int {
	if r.Disabled.ClassWait {
		class = messenger.Huge
	}
	reported := s.otherTokens
	if r.Disabled.OwnSends {
		reported = s.target.Load.ByClass
	}
	n := reported.sumUpTo(class)
	if !r.Disabled.Aging {
		rate := orDefault(s.target.Load.Speed, DefaultPrefillRate)
		n = max(0, n-int(now.Sub(s.reportedAt).Seconds()*float64(rate)))
	}
	if r.Disabled.OwnSends {
		return n
	}
	return n + s.ownTokens.sumUpTo(class)
}

// queuedTokens returns the waiting prompt tokens of all classes.
func (s *targetState) queuedTokens() int {
	return s.otherTokens.sumUpTo(messenger.Huge) + s.ownTokens.sumUpTo(messenger.Huge)
}

// fits checks for refusals, free memory and the maximum wait, and admits short prompts
// to a target of the long lane only while that target is idle.
func (r *Router) fits(now time.Time, s *targetState, req Request, p Pick) bool {
	l := s.target.Load
	if !r.mayGet(now, s, req) {
		return false
	}
	if !r.Disabled.RoomCheck && l.Memory > 0 && l.Used+s.ownMemory+req.Prompt+req.Output > l.Memory {
		return false
	}
	if r.Disabled.RoomCheck {
		return true
	}
	if r.Disabled.WaitBound {
		return true
	}
	if !r.Disabled.Lanes && s.target.Lane == LaneLong && req.Prompt <= r.longPrompt() && s.queuedTokens() > 0 {
		return false
	}
	return p.Wait <= r.maxWait()
}
