package router

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// score predicts the wait at one target and reports whether it may be sent to.
func (r *Router) score(now time.Time, s *state, c Case) (Pick, bool) {
	r.Examined++
	l := s.target.Load
	p := Pick{Target: s.target, Speed: first(l.Speed, DefaultSpeed), Pace: first(l.Pace, DefaultPace)}
	if !r.Disabled.Cached {
		p.Cached = r.cached(now, s, c)
	}
	p.Wait = Span(r.waiting(now, s, messenger.ClassOf(c.Prompt)), p.Speed)
	if slices.Contains(c.Exclude, s.target.ID) {
		return p, false
	}
	return p, r.fits(now, s, c, p)
}

// waiting returns the tokens that are prefilled before a prompt of a class. Those
// reported are worked off since at the target's speed.
func (r *Router) waiting(now time.Time, s *state, c messenger.Class) int {
	if r.Disabled.ClassWait {
		c = messenger.Huge
	}
	reported := s.others
	if r.Disabled.OwnSends {
		reported = s.target.Load.ByClass
	}
	n := reported.upTo(c)
	if !r.Disabled.Aging {
		speed := first(s.target.Load.Speed, DefaultSpeed)
		n = max(0, n-int(now.Sub(s.at).Seconds()*float64(speed)))
	}
	if r.Disabled.OwnSends {
		return n
	}
	return n + s.own.upTo(c)
}

// all returns the tokens of every class.
func (s *state) all() int { return s.others.upTo(messenger.Huge) + s.own.upTo(messenger.Huge) }

// fits applies memory, refusals, the bound on the wait, and the rule that short
// prompts enter the long lane only while it is idle.
func (r *Router) fits(now time.Time, s *state, c Case, p Pick) bool {
	l := s.target.Load
	if now.Before(s.until) {
		return false
	}
	if !r.Disabled.RoomCheck && l.Memory > 0 && l.Used+s.held+c.Prompt+c.Output > l.Memory {
		return false
	}
	if r.Disabled.RoomCheck {
		return true
	}
	if r.Disabled.WaitBound {
		return true
	}
	if !r.Disabled.Lanes && s.target.Lane == LaneLong && c.Prompt <= r.long() && s.all() > 0 {
		return false
	}
	return p.Wait <= r.wait()
}

func (r *Router) cached(now time.Time, s *state, c Case) int {
	id, i := r.history.find(now, c.Prefix, r.byID)
	if id != s.target.ID || c.Text <= 0 {
		return 0
	}
	return min(c.Prompt-1, int(int64(c.Prompt)*int64(Cut(i))/int64(c.Text)))
}
