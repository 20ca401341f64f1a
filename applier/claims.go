package applier

import (
	"container/heap"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// HeldTime is how long a claim whose run has not begun keeps others out. Its
	// owner renews it by asking for ClaimHeld again.
	HeldTime = time.Minute
	// DefaultKept is how long an ended claim is kept when limits.kept is zero.
	DefaultKept = 10 * time.Minute
	// DefaultLongest is how long a run may last when its service bounds no time.
	DefaultLongest = time.Hour
	// MaxClaims bounds the claims held at once; further ones are refused.
	MaxClaims = 1 << 18
	// MaxAnswer is the largest answer kept with a claim, in bytes.
	MaxAnswer = 64 << 10
	// MaxAnswers bounds the bytes of all kept answers; the oldest go first.
	MaxAnswers = 8 << 20
)

// claimKey names a claim.
type claimKey struct {
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Service string
	Key     string
}

// claim is the state of one idempotency key.
type claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key     claimKey
	Digest  uint64
	Owner   string
	State   messenger.State
	Target  string
	Answer  []byte
	Ended   uint64 // index of the log entry that ended the run
	Expires int64  // nanoseconds since the epoch
}

// claims is all claims with their expiry.
type claims struct {
	held    map[claimKey]*claim
	expiry  expiries
	answers []answer // oldest first; claims that have gone leave theirs behind
	bytes   int      // of kept answers
}

// answer names a kept answer.
type answer struct {
	key   claimKey
	ended uint64
}

// moment is when and under which configuration a command is applied.
type moment struct {
	index  uint64
	now    time.Time
	config *configurer.Configurer
}

// kept returns how long an ended claim is kept.
func (m moment) kept() time.Duration {
	if m.config.Limits.Kept > 0 {
		return seconds(m.config.Limits.Kept)
	}
	return DefaultKept
}

// longest returns how long a run of a service may last. A claim outlives that,
// so that no resend can start a second run beside the first.
func (m moment) longest(service string) time.Duration {
	s := m.config.Services[service]
	if bound := max(s.Timeout, s.Longest); s.Longest > 0 {
		return seconds(bound)
	}
	return DefaultLongest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// claim moves a claim to the wanted state if its holder asks and the state allows.
func (s *claims) claim(m moment, w *messenger.Claim) *messenger.Claimed {
	k := claimKey{Account: w.Account, Service: w.Service, Key: w.Key}
	c := s.held[k]
	switch w.State {
	case messenger.ClaimHeld:
		return s.hold(m, k, c, w)
	case messenger.ClaimRun:
		return s.run(m, c, w)
	case messenger.ClaimDone:
		return s.done(m, c, w)
	case messenger.ClaimVoid:
		return s.void(m, k, c, w)
	default:
		return &messenger.Claimed{Code: coder.Malformed}
	}
}

// outcome tells the state that stands.
func (c *claim) outcome(code coder.Code) *messenger.Claimed {
	return &messenger.Claimed{Code: code, State: c.State, Owner: c.Owner, Target: c.Target, Answer: c.Answer}
}

// hold takes a claim that is new or voided, and renews one that its owner holds.
func (s *claims) hold(m moment, k claimKey, c *claim, w *messenger.Claim) *messenger.Claimed {
	if c != nil {
		if code := c.refusal(w); code != coder.OK {
			return c.outcome(code)
		}
	}
	if c == nil && len(s.held) >= MaxClaims {
		return &messenger.Claimed{Code: coder.Overloaded}
	}
	c = s.add(k, w)
	s.expire(c, m.now.Add(HeldTime))
	return c.outcome(coder.OK)
}

func (s *claims) add(k claimKey, w *messenger.Claim) *claim {
	if s.held == nil {
		s.held = map[claimKey]*claim{}
	}
	c := &claim{Key: k, Digest: w.Digest, Owner: w.Owner, State: messenger.ClaimHeld}
	s.held[k] = c
	return c
}

// refusal tells why a claim that exists stands against w, OK if it does not. An
// owner that withdrew does not get the claim again: only a late frame asks that.
func (c *claim) refusal(w *messenger.Claim) coder.Code {
	mine := c.Owner == w.Owner
	switch {
	case c.State == messenger.ClaimVoid && mine:
		return coder.Voided
	case c.State == messenger.ClaimVoid:
		return coder.OK
	case c.Digest != w.Digest:
		return coder.KeyReused
	case c.State == messenger.ClaimHeld && mine:
		return coder.OK
	case c.State == messenger.ClaimDone:
		return coder.AlreadyRan
	default:
		return coder.ClaimHeld
	}
}

// mine reports whether the claim stands and belongs to the asking owner.
func (c *claim) mine(w *messenger.Claim) bool { return c != nil && c.Owner == w.Owner }

// lost answers an owner whose claim has gone to another or has ended.
func lost(c *claim) *messenger.Claimed {
	if c == nil {
		return &messenger.Claimed{Code: coder.Voided, State: messenger.ClaimNone}
	}
	if c.State == messenger.ClaimVoid {
		return c.outcome(coder.Voided)
	}
	return c.outcome(coder.ClaimHeld)
}

// run lets the owner start at a target, or at another one after the first said
// that it did not run.
func (s *claims) run(m moment, c *claim, w *messenger.Claim) *messenger.Claimed {
	if !c.mine(w) || (c.State != messenger.ClaimHeld && c.State != messenger.ClaimRun) {
		return lost(c)
	}
	c.State, c.Target = messenger.ClaimRun, w.Target
	s.expire(c, m.now.Add(m.longest(w.Service)+m.kept()))
	return c.outcome(coder.OK)
}

func (s *claims) done(m moment, c *claim, w *messenger.Claim) *messenger.Claimed {
	switch {
	case !c.mine(w):
		return lost(c)
	case c.State == messenger.ClaimDone:
		return c.outcome(coder.OK)
	case c.State != messenger.ClaimRun:
		return lost(c)
	}
	c.State, c.Ended = messenger.ClaimDone, m.index
	s.keep(c, w.Answer)
	s.expire(c, m.now.Add(m.kept()))
	return c.outcome(coder.OK)
}

// void records that the owner's attempt never ran. It leaves a tombstone where
// there is no claim, so that the owner's late ClaimHeld takes none.
func (s *claims) void(m moment, k claimKey, c *claim, w *messenger.Claim) *messenger.Claimed {
	if c == nil {
		c = s.add(k, w)
	}
	if !c.mine(w) || c.State == messenger.ClaimDone {
		return lost(c)
	}
	c.State = messenger.ClaimVoid
	s.expire(c, m.now.Add(HeldTime))
	return c.outcome(coder.OK)
}

// keep stores an answer and drops the oldest ones beyond MaxAnswers.
func (s *claims) keep(c *claim, data []byte) {
	if len(data) == 0 || len(data) > MaxAnswer {
		return
	}
	c.Answer = data
	s.bytes += len(data)
	s.answers = append(s.answers, answer{c.Key, c.Ended})
	for s.bytes > MaxAnswers {
		oldest := s.answers[0]
		s.answers = s.answers[1:]
		if c := s.held[oldest.key]; c != nil && c.Ended == oldest.ended {
			s.dropAnswer(c)
		}
	}
}

func (s *claims) dropAnswer(c *claim) {
	s.bytes -= len(c.Answer)
	c.Answer = nil
}

func (s *claims) expire(c *claim, at time.Time) {
	c.Expires = at.UnixNano()
	heap.Push(&s.expiry, expiry{at: c.Expires, key: c.Key})
}

// sweep removes the claims that have expired.
func (s *claims) sweep(now time.Time) {
	for len(s.expiry) > 0 && s.expiry[0].at <= now.UnixNano() {
		e := heap.Pop(&s.expiry).(expiry)
		c := s.held[e.key]
		if c != nil && c.Expires <= now.UnixNano() {
			s.dropAnswer(c)
			delete(s.held, e.key)
		}
	}
}

// expiry is one entry of the heap; a claim whose expiry moved leaves its old
// entry behind.
type expiry struct {
	at  int64
	key claimKey
}

type expiries []expiry

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiries) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiries) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
