package router

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// index holds one service's targets by lane, so that a draw costs the same in
// a large service as in a small one.
type index struct {
	all   []*state
	short []*state // may take short prompts by lane
	long  []*state // may take long prompts
	spare []*state // long lane, open to short prompts while idle
	sums  [2]Sum   // of short and long

	counted bool     // all tell their slots
	ranked  []*state // of these, in the order that all entries use
}

// Sum adds up the targets that a request may be sent to.
type Sum struct {
	Targets int
	Speed   int // prefill tokens a second of all
	Pace    int // decode tokens a second and request, mean
	Memory  int // tokens, of the largest
}

// state is what is known of one target.
type state struct {
	target messenger.Target
	others classes   // prompt tokens waiting there that this entry did not send
	own    classes   // prompt tokens sent by this entry and not yet prefilled
	held   int       // memory taken by this entry's sends since the report
	at     time.Time // of the report
	until  time.Time
	counts counts
}

// classes are tokens by length class.
type classes [messenger.Classes]int

// upTo adds the tokens of a class and of all shorter ones, which an engine
// prefills first.
func (n *classes) upTo(c messenger.Class) int {
	sum := 0
	for _, v := range n[:c+1] {
		sum += v
	}
	return sum
}

// Update takes the targets of a view. Reports older than the known ones are left out.
func (r *Router) Update(now time.Time, targets []messenger.Target) {
	byID := make(map[string]*state, len(targets))
	byName := map[string]*index{}
	for _, t := range targets {
		s := r.byID[t.ID]
		if s == nil || s.target.Incarnation != t.Incarnation {
			s = &state{target: t, others: t.Load.ByClass, at: now}
		}
		s.adopt(now, t)
		byID[t.ID] = s
		if !t.Leaving {
			x := byName[t.Service]
			if x == nil {
				x = &index{}
				byName[t.Service] = x
			}
			x.add(s)
		}
	}
	for _, x := range byName {
		x.sums = [2]Sum{sum(x.short), sum(x.long)}
		if x.counted = !slices.ContainsFunc(x.all, func(s *state) bool { return s.slots() == 0 }); x.counted {
			x.ranked = rank(x.all)
		}
	}
	r.byID, r.byName = byID, byName
	r.total(now)
}

func sum(set []*state) Sum {
	var n Sum
	for _, s := range set {
		n.Targets++
		n.Speed += first(s.target.Load.Speed, DefaultSpeed)
		n.Pace += first(s.target.Load.Pace, DefaultPace)
		n.Memory = max(n.Memory, s.target.Load.Memory)
	}
	n.Pace /= max(1, n.Targets)
	return n
}

func first(v, otherwise int) int {
	if v > 0 {
		return v
	}
	return otherwise
}

// Sum returns the sum of the targets open to short or long prompts of a service.
func (r *Router) Sum(service string, long bool) Sum {
	x := r.byName[service]
	switch {
	case x == nil:
		return Sum{}
	case long:
		return x.sums[1]
	default:
		return x.sums[0]
	}
}

// IsLong reports whether a prompt is kept off the short lane.
func (r *Router) IsLong(prompt int) bool { return prompt > r.long() }

func (s *state) adopt(now time.Time, t messenger.Target) {
	known := s.target.Load
	s.target = t
	if t.Load.Seq <= known.Seq {
		s.target.Load = known
		return
	}
	s.report(now, t.Load)
}

func (s *state) report(now time.Time, l messenger.Load) {
	s.target.Load, s.at = l, now
	for c := range s.others {
		s.others[c] = max(0, l.ByClass[c]-s.own[c])
	}
	s.held = 0
}

func (x *index) add(s *state) {
	x.all = append(x.all, s)
	lane := s.target.Lane
	if lane != LaneLong {
		x.short = append(x.short, s)
	}
	if lane != LaneShort {
		x.long = append(x.long, s)
	}
	if lane == LaneLong {
		x.spare = append(x.spare, s)
	}
}
