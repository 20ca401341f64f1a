// Package router picks a target for a request from hints that may be old: the
// load that targets reported, this entry's own sends since, and the prompts it
// sent where. A wrong pick costs a refusal by the target's agent, nothing more.
package router

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"bramleyshunt/messenger"
)

const (
	// LaneShort is the lane of targets kept for short prompts.
	LaneShort = "short"
	// LaneLong is the lane of targets kept for long prompts.
	LaneLong = "long"

	// DefaultLong is the prompt above which a request is kept off the short
	// lane, in tokens.
	DefaultLong = 32768
	// DefaultSpeed is the prefill of a target that reported none, in tokens a second.
	DefaultSpeed = 8000
	// DefaultPace is the decode of a target that reported none, in tokens a
	// second and request.
	DefaultPace = 25
	// DefaultWait is the most predicted wait at a target that may be sent to.
	DefaultWait = 250 * time.Millisecond

	wanted     = 2 // candidates scored beside the cached one
	extraDraws = 4 // draws beyond twice the logarithm of the replicas
	seedStream = 0x726f7574
)

// Case is one request to be placed.
type Case struct {
	Service string
	Prompt  int      // tokens
	Output  int      // tokens
	Prefix  []uint64 // hashes of the prompt's beginnings, shortest first
	Text    int      // bytes of prompt text
	Exclude []string // targets that failed or refused it

	Read   time.Duration // predicted on one target; zero if unknown
	Pieces int           // targets that should read it together
	Aim    time.Duration // for the first token; zero for none
	Gap    time.Duration // longest pause between events; zero for none
	Pass   time.Duration // of a busy target, without reads
	Waited time.Duration // in its queue
}

// Pick is a chosen target and what is expected of it.
type Pick struct {
	Target messenger.Target
	Wait   time.Duration // before prefill starts
	Cached int           // tokens expected in its cache
	Speed  int           // prefill tokens a second
	Pace   int           // decode tokens a second

	Helpers []messenger.Target // that read a part of the prompt
	Shares  []int              // tokens of memory to set aside at each helper
	Busy    int                // requests known at the target, where it tells its slots
}

// Router keeps what is known of targets. Zero fields take the defaults.
type Router struct {
	Seed     uint64
	Long     int           // tokens
	Wait     time.Duration // most predicted wait
	Disabled Parts         // parts switched off, for measurements

	Examined uint64 // candidates looked at, for measurements

	rnd     *rand.Rand
	byID    map[string]*state
	byName  map[string]*index
	history history
	shares  map[string]share // by entry
}

// Parts names what can be switched off.
type Parts struct {
	Lanes     bool
	OwnSends  bool // own sends
	Cached    bool
	WaitBound bool // the bound on the wait
	ClassWait bool // long prompts don't count in the wait of short ones
	RoomCheck bool // targets that report no room are not asked
	Aging     bool // reported tokens are worked off with time

	Fill   bool // prompts read in one piece fill targets in rank
	Pieces bool // prompts are read by several targets
	Heavy  bool // heavy prompts are refused rather than read where they hold others up
	Apart  bool // long reads go beside streams that bear them
}

// Report takes the load that a target or its agent sent with an answer.
func (r *Router) Report(now time.Time, id string, incarnation uint64, l messenger.Load) {
	s := r.byID[id]
	if s != nil && s.slots() > 0 {
		if s.target.Incarnation == incarnation {
			s.reportCounted(now, l)
		}
		return
	}
	if s != nil && s.target.Incarnation == incarnation && l.Seq > s.target.Load.Seq {
		s.report(now, l)
	}
}

// Sent records a request given to a target.
func (r *Router) Sent(now time.Time, p Pick, c Case) {
	s := r.byID[p.Target.ID]
	if s == nil {
		return
	}
	if s.slots() > 0 {
		r.sentCounted(p, c)
		return
	}
	s.own[messenger.ClassOf(c.Prompt)] += c.Prompt - p.Cached
	s.held += c.Prompt + c.Output
	r.history.add(now, c.Prefix, s.target)
}

// Started records that the prefill of a request sent earlier ended or that the
// request is over, whichever came first.
func (r *Router) Started(p Pick, c Case) {
	s := r.byID[p.Target.ID]
	if s != nil && s.slots() > 0 {
		r.reading(p, c, -1)
		return
	}
	if s != nil && s.target.Incarnation == p.Target.Incarnation {
		n := &s.own[messenger.ClassOf(c.Prompt)]
		*n = max(0, *n-(c.Prompt-p.Cached))
	}
}

// Refused keeps new requests off a target until a time, or its next incarnation.
func (r *Router) Refused(id string, until time.Time) {
	if s := r.byID[id]; s != nil && until.After(s.until) {
		s.until = until
	}
}

// Known reports whether a service has a live target.
func (r *Router) Known(service string) bool {
	x := r.byName[service]
	return x != nil && len(x.all) > 0
}

// Target returns what is known of a target; it is zero if the target is unknown.
func (r *Router) Target(id string) messenger.Target {
	if s := r.byID[id]; s != nil {
		return s.target
	}
	return messenger.Target{}
}

// Targets returns the targets of a service that are open to long prompts.
func (r *Router) Targets(service string) []messenger.Target {
	x := r.byName[service]
	if x == nil {
		return nil
	}
	out := make([]messenger.Target, 0, len(x.long))
	for _, s := range x.long {
		out = append(out, s.target)
	}
	return out
}

// Pick chooses a target, or returns false if none of the candidates can take
// the request now. It looks at a number of targets that grows with the
// logarithm of the replicas.
func (r *Router) Pick(now time.Time, c Case) (Pick, bool) {
	x := r.byName[c.Service]
	if x == nil {
		return Pick{}, false
	}
	if x.counted {
		return r.pickCounted(now, x, c)
	}
	best, found := r.remembered(now, c)
	for _, s := range r.lanes(x, c) {
		p, ok := r.draw(now, s, c)
		if ok && (!found || r.better(p, best)) {
			best, found = p, true
		}
		if found {
			break
		}
	}
	return best, found
}

// better compares the times to the first token.
func (r *Router) better(a, b Pick) bool { return a.Wait-saved(a) < b.Wait-saved(b) }

func saved(p Pick) time.Duration { return Span(p.Cached, p.Speed) }

// lanes returns the sets to draw from, in the order in which they are tried.
func (r *Router) lanes(x *index, c Case) [][]*state {
	if r.Disabled.Lanes {
		return [][]*state{x.all}
	}
	if c.Prompt > r.long() {
		return [][]*state{x.long}
	}
	return [][]*state{x.short, x.spare}
}

// draw scores random targets of a set until two can take the request.
func (r *Router) draw(now time.Time, set []*state, c Case) (Pick, bool) {
	var best Pick
	n, found := len(set), 0
	for i := range min(n, draws(n)) {
		p, ok := r.score(now, r.swap(set, i), c)
		if !ok {
			continue
		}
		if found == 0 || r.better(p, best) {
			best = p
		}
		found++
		if found == wanted {
			break
		}
	}
	return best, found > 0
}

// draws is how many random targets of n are looked at.
func draws(n int) int { return 2*bits.Len(uint(n)) + extraDraws }

// swap moves a random one of a set's later targets to position i.
func (r *Router) swap(set []*state, i int) *state {
	if r.rnd == nil {
		r.rnd = rand.New(rand.NewPCG(r.Seed, seedStream))
	}
	j := i + r.rnd.IntN(len(set)-i)
	set[i], set[j] = set[j], set[i]
	return set[i]
}

// remembered weighs the target that last got the longest beginning of the prompt.
func (r *Router) remembered(now time.Time, c Case) (Pick, bool) {
	if r.Disabled.Cached {
		return Pick{}, false
	}
	id, _ := r.history.find(now, c.Prefix, r.byID)
	s := r.byID[id]
	if s == nil || s.target.Leaving || s.target.Service != c.Service {
		return Pick{}, false
	}
	if !r.Disabled.Lanes && !s.open(c.Prompt > r.long()) {
		return Pick{}, false
	}
	return r.score(now, s, c)
}

// open applies the rule of draw's sets to one target.
func (s *state) open(long bool) bool {
	if long {
		return s.target.Lane != LaneShort
	}
	return s.target.Lane != LaneLong || s.all() == 0
}

func (r *Router) long() int {
	if r.Long > 0 {
		return r.Long
	}
	return DefaultLong
}

func (r *Router) wait() time.Duration {
	if r.Wait > 0 {
		return r.Wait
	}
	return DefaultWait
}

// Span returns the time that tokens take at a rate in tokens a second.
func Span(tokens, rate int) time.Duration {
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
