// Package router selects a target for each request. It works on hints that may be
// out of date: the load that targets reported, the requests that this entry has sent
// since, and the targets that recently received a prompt with the same prefix. The
// only cost of a wrong selection is a refusal by the target's agent.
package router

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
)

const (
	// LaneShort is the lane of targets reserved for short prompts.
	LaneShort = "short"
	// LaneLong is the lane of targets reserved for long prompts.
	LaneLong = "long"

	// DefaultLongPrompt is the prompt length in tokens above which a request is kept
	// off the short lane.
	DefaultLongPrompt = 32768
	// DefaultPrefillRate is assumed for targets that report no prefill rate, in tokens
	// per second.
	DefaultPrefillRate = 8000
	// DefaultDecodeRate is assumed for targets that report no decode rate, in tokens
	// per second and request.
	DefaultDecodeRate = 25
	// DefaultMaxWait is the maximum predicted wait before prefill at an eligible target.
	DefaultMaxWait = 250 * time.Millisecond

	maxCandidates = 2 // eligible targets sampled at random, besides those with a cached prefix
	extraDraws    = 4 // samples beyond twice the binary logarithm of the number of replicas
	seedStream    = 0x726f7574
)

// Request describes a request that needs a target.
type Request struct {
	Service      string
	Prompt       int      // tokens
	Output       int      // tokens
	PrefixHashes []uint64 // hashes of the prompt's prefixes, shortest first
	PromptBytes  int      // bytes of prompt text
	Exclude      []string // targets that failed or refused it
	Regions      []string // that its targets must lie in; empty for any
	Sender       string   // node name of the entry that targets are picked for; empty for this one

	Prefill        time.Duration // predicted prefill time on one target; zero if unknown
	PrefillTargets int           // number of targets that should share the prefill
	Objective      time.Duration // time-to-first-token objective; zero for none
	MaxGap         time.Duration // longest allowed inter-token gap; zero for no bound
	PassTime       time.Duration // duration of a decode pass at a busy target, without prefill
	QueueTime      time.Duration // time spent in the entry's queue so far
	Cache          int           // tokens of finished prompts that an engine keeps; -1 for none, 0 for unknown
}

// Pick is a selected target with its predictions.
type Pick struct {
	Target      messenger.Target
	Wait        time.Duration // predicted time until prefill starts
	Cached      int           // prompt tokens expected in the target's prefix cache
	Hinted      int           // the same without regard to what the target reported as cached before
	Prefix      int           // prompt tokens of the longest prefix that was sent there, cached or not
	Probability float64       // that the prefix which was sent there is still cached; zero for none
	TTFT        time.Duration // predicted time to first token; zero where targets report their slots, unless prompts are cached there
	PrefillRate int           // prefill tokens per second
	DecodeRate  int           // decode tokens per second and request

	Helpers      []messenger.Target // targets that prefill a part of the prompt
	HelperMemory []int              // tokens of memory to reserve at each helper
	Running      int                // known requests at the target, if it reports its slots

	PeerEntries int           // other entries whose requests were known
	PeerAge     time.Duration // age of the oldest report of them
	Relay       string        // node name of the entry that picked the targets; empty for this one
}

// Router tracks the state of targets. Zero fields select the defaults.
type Router struct {
	Seed       uint64
	LongPrompt int           // prompts above this many tokens are long
	MaxWait    time.Duration // maximum predicted wait before prefill at an eligible target
	Disabled   Features      // disabled for ablation benchmarks

	EjectFailing bool // take targets that break off requests out of use for a time

	IDPerStart bool // a target uses a new id at each start, so that a hold binds every incarnation of its id

	ColdBound map[string]ramper.Limit // bounds on the requests to each target, by service; none for services without

	Examined uint64 // number of targets examined, read by benchmarks

	rnd     *rand.Rand
	byID    map[string]*targetState
	byName  map[string]*serviceIndex
	history history
	peers   peerSums // of the other entries
	self    string   // node name of this entry
	entries []string // node names of all live entries

	holds        map[holdKey]*hold
	lastPauseEnd time.Time // of all pauses
	endedHolds   []Hold    // not yet returned by EndedHolds

	ramper  ramper.Ramper
	bounded int // targets in the view with a bound
}

// Features selects parts of the router that a benchmark disables.
type Features struct {
	Lanes     bool // keep long and short prompts on their lanes
	OwnSends  bool // add requests sent by this entry to the reported load
	Cached    bool // prefer targets with a cached prefix
	Weighing  bool // weigh a cached prefix by its probability, at several holders
	WaitBound bool // reject targets whose predicted wait exceeds MaxWait
	ClassWait bool // leave longer prompts out of the wait of shorter ones
	RoomCheck bool // check memory, wait and the long lane at the entry instead of relying on refusals
	Aging     bool // reduce reported tokens by the prefill done since the report

	Fill   bool // fill targets in rank order with prompts that are not split
	Pieces bool // split prompts among several targets
	Heavy  bool // refuse heavy prompts rather than delay the streams of a target
	Apart  bool // place long prefills beside streams whose allowed gap leaves room for them

	Group     bool // decode for split prompts on few targets
	IdleQueue bool // let prefills queue at targets without streams, as far as the objective allows
	Spare     bool // fill some targets more than needed where there are many entries
}

// Report records the load that a target or its agent sent with an answer. Reports of
// other incarnations are ignored.
func (r *Router) Report(now time.Time, id string, incarnation uint64, l messenger.Load) {
	s := r.byID[id]
	if s != nil && s.slots() > 0 {
		if s.target.Incarnation == incarnation {
			s.recordRunning(now, l)
		}
		return
	}
	if s != nil && s.target.Incarnation == incarnation && l.Seq > s.target.Load.Seq {
		s.recordLoad(now, l)
	}
}

// Sent records that a request was sent to the target of a pick.
func (r *Router) Sent(now time.Time, p Pick, req Request) {
	s := r.byID[p.Target.ID]
	if s == nil {
		return
	}
	s.limit.charge(now)
	r.Reserve(p)
	if s.slots() > 0 {
		r.sentBySlots(p, req)
		if req.Cache > 0 && req.PrefillTargets <= 1 {
			r.recordPrefix(now, s, p, req)
		}
		return
	}
	s.ownTokens[messenger.ClassOf(req.Prompt)] += req.Prompt - p.Cached
	s.ownMemory += req.Prompt + req.Output
	r.recordPrefix(now, s, p, req)
}

// PrefillDone records that the prefill of a sent request has ended or that the
// request is over, whichever comes first.
func (r *Router) PrefillDone(p Pick, req Request) {
	s := r.byID[p.Target.ID]
	if s != nil && s.slots() > 0 {
		r.addPrefill(p, req, -1)
		return
	}
	if s != nil && s.target.Incarnation == p.Target.Incarnation {
		n := &s.ownTokens[messenger.ClassOf(req.Prompt)]
		*n = max(0, *n-(req.Prompt-p.Cached))
	}
}

// Refused excludes a target from selection until the given time or until its next
// incarnation.
func (r *Router) Refused(id string, until time.Time) {
	if s := r.byID[id]; s != nil && until.After(s.refusedUntil) {
		s.refusedUntil = until
	}
}

// HasTargets reports whether a service has a target that is not leaving. Like those of the
// other methods, the regions restrict it to their targets; without any there is no
// restriction.
func (r *Router) HasTargets(service string, regions ...string) bool {
	x := r.index(service, regions)
	return x != nil && len(x.all) > 0
}

// HasTargetsBesides reports whether a service has a target that accepts long or short
// prompts and that is neither leaving nor excluded.
func (r *Router) HasTargetsBesides(service string, long bool, exclude []string, regions ...string) bool {
	x := r.index(service, regions)
	return x != nil && slices.ContainsFunc(x.accepting(long && !r.Disabled.Lanes), func(s *targetState) bool { return !slices.Contains(exclude, s.target.ID) })
}

// Target returns the last known description of a target, or the zero value if the
// target is unknown.
func (r *Router) Target(id string) messenger.Target {
	if s := r.byID[id]; s != nil {
		return s.target
	}
	return messenger.Target{}
}

// Targets returns the targets of a service that accept long prompts.
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

// Pick selects a target, or returns false if no candidate can accept the request now.
// The number of targets that it scores grows with the logarithm of the number of
// replicas, except for services whose targets all report their slots: there it
// examines every target.
func (r *Router) Pick(now time.Time, req Request) (Pick, bool) {
	x := r.index(req.Service, req.Regions)
	if x == nil {
		return Pick{}, false
	}
	if x.bySlots {
		p, ok := r.pickBySlots(now, x, req)
		p.PeerAge, p.PeerEntries = r.PeerAge(now)
		return p, ok
	}
	known := r.hints(now, req)
	best, found := r.pickHolder(now, req, &known)
	for _, set := range r.candidateSets(x, req) {
		p, ok := r.sampleBest(now, set, req, &known)
		if ok && (!found || better(p, best)) {
			best, found = p, true
		}
		if found {
			break
		}
	}
	return best, found
}

// candidateSets returns the sets of targets to sample, in the order in which they are
// tried.
func (r *Router) candidateSets(x *serviceIndex, req Request) [][]*targetState {
	if r.Disabled.Lanes {
		return [][]*targetState{x.all}
	}
	if req.Prompt > r.longPrompt() {
		return [][]*targetState{x.long}
	}
	return [][]*targetState{x.short, x.idleLong}
}

// sampleBest scores random targets of a set until two of them can accept the request,
// and returns the better one.
func (r *Router) sampleBest(now time.Time, set []*targetState, req Request, known *hints) (Pick, bool) {
	var best Pick
	n, found := len(set), 0
	for i := range min(n, maxDraws(n)) {
		p, ok := r.score(now, r.sample(set, i), req, known)
		if !ok {
			continue
		}
		if found == 0 || better(p, best) {
			best = p
		}
		found++
		if found == maxCandidates {
			break
		}
	}
	return best, found > 0
}

// maxDraws returns the maximum number of targets to sample out of n.
func maxDraws(n int) int { return 2*bits.Len(uint(n)) + extraDraws }

// sample swaps a random target from position i or later into position i and returns it.
// Successive calls with rising i sample without replacement.
func (r *Router) sample(set []*targetState, i int) *targetState {
	if r.rnd == nil {
		r.rnd = rand.New(rand.NewPCG(r.Seed, seedStream))
	}
	j := i + r.rnd.IntN(len(set)-i)
	set[i], set[j] = set[j], set[i]
	return set[i]
}

// acceptsLength reports whether candidateSets would offer the target to long or short
// prompts.
func (s *targetState) acceptsLength(long bool) bool {
	if long {
		return s.target.Lane != LaneShort
	}
	return s.target.Lane != LaneLong || s.queuedTokens() == 0
}

func (r *Router) longPrompt() int {
	if r.LongPrompt > 0 {
		return r.LongPrompt
	}
	return DefaultLongPrompt
}

func (r *Router) maxWait() time.Duration {
	if r.MaxWait > 0 {
		return r.MaxWait
	}
	return DefaultMaxWait
}

// TokenTime returns the time that tokens take at a rate in tokens per second.
func TokenTime(tokens, rate int) time.Duration {
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
