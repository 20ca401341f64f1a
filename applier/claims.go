package applier

import (
	"container/heap"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// HoldTimeout is how long a claim whose run has not begun excludes other owners.
	// Its owner renews it by requesting ClaimHeld again.
	HoldTimeout = time.Minute
	// DefaultRetention is how long a completed claim is kept if limits.kept is zero.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRunTime is how long a run may last if its service sets no limit.
	DefaultMaxRunTime = time.Hour
	// MaxClaims is the largest number of claims; further ones are refused.
	MaxClaims = 1 << 18
	// MaxAnswerBytes is the size of the largest answer that is stored with a claim.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes is the limit of all stored answers together; the oldest
	// answers are dropped first.
	MaxTotalAnswerBytes = 8 << 20
)

// claimKey identifies a claim.
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
	Expires int64  // nanoseconds since the Unix epoch
}

// claims holds all claims, their expiry times and their stored answers.
type claims struct {
	byKey       map[claimKey]*claim
	expiry      expiryHeap
	answers     []answerRef // oldest first; references of removed claims stay until they are the oldest
	answerBytes int         // total size of the stored answers
}

// answerRef refers to the stored answer of a claim.
type answerRef struct {
	key   claimKey
	ended uint64
}

// applyContext is the log index, time and configuration with which a command is applied.
type applyContext struct {
	index  uint64
	now    time.Time
	config *configurer.Configurer
}

// retention returns how long a completed claim is kept.
func (ac applyContext) retention() time.Duration {
	if ac.config.Limits.AnswerRetention > 0 {
		return seconds(ac.config.Limits.AnswerRetention)
	}
	return DefaultRetention
}

// maxRunTime returns how long a run of a service may last. A claim is kept for longer
// than that, so that a resend can't start a second run concurrently with the first.
func (ac applyContext) maxRunTime(service string) time.Duration {
	s := ac.config.Services[service]
	if bound := max(s.Timeout, s.MaxTimeout); s.MaxTimeout > 0 {
		return seconds(bound)
	}
	return DefaultMaxRunTime
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// transition moves a claim to the wanted state if the owner and the current state of
// the claim allow it.
func (s *claims) transition(ac applyContext, want *messenger.Claim) *messenger.Claimed {
	k := claimKey{Account: want.Account, Service: want.Service, Key: want.Key}
	c := s.byKey[k]
	switch want.State {
	case messenger.ClaimHeld:
		return s.hold(ac, k, c, want)
	case messenger.ClaimRun:
		return s.run(ac, c, want)
	case messenger.ClaimDone:
		return s.done(ac, c, want)
	case messenger.ClaimVoid:
		return s.void(ac, k, c, want)
	default:
		return &messenger.Claimed{Code: coder.Malformed}
	}
}

// result returns the current state of the claim with a code.
func (c *claim) result(code coder.Code) *messenger.Claimed {
	return &messenger.Claimed{Code: code, State: c.State, Owner: c.Owner, Target: c.Target, Answer: c.Answer}
}

// hold grants a claim that is new or voided, and renews one that its owner holds.
func (s *claims) hold(ac applyContext, k claimKey, c *claim, want *messenger.Claim) *messenger.Claimed {
	if c != nil {
		if code := c.conflictCode(want); code != coder.OK {
			return c.result(code)
		}
	}
	if c == nil && len(s.byKey) >= MaxClaims {
		return &messenger.Claimed{Code: coder.Overloaded}
	}
	c = s.add(k, want)
	s.setExpiry(c, ac.now.Add(HoldTimeout))
	return c.result(coder.OK)
}

func (s *claims) add(k claimKey, want *messenger.Claim) *claim {
	if s.byKey == nil {
		s.byKey = map[claimKey]*claim{}
	}
	c := &claim{Key: k, Digest: want.Digest, Owner: want.Owner, State: messenger.ClaimHeld}
	s.byKey[k] = c
	return c
}

// conflictCode returns why the existing claim excludes want, or OK if it does not. An
// owner that voided its claim does not get it again, because only a delayed frame can
// request that.
func (c *claim) conflictCode(want *messenger.Claim) coder.Code {
	sameOwner := c.Owner == want.Owner
	switch {
	case c.State == messenger.ClaimVoid && sameOwner:
		return coder.Voided
	case c.State == messenger.ClaimVoid:
		return coder.OK
	case c.Digest != want.Digest:
		return coder.KeyReused
	case c.State == messenger.ClaimHeld && sameOwner:
		return coder.OK
	case c.State == messenger.ClaimDone:
		return coder.AlreadyRan
	default:
		return coder.ClaimHeld
	}
}

// ownedBy reports whether the claim exists and belongs to the owner in want.
func (c *claim) ownedBy(want *messenger.Claim) bool { return c != nil && c.Owner == want.Owner }

// lostClaim answers a request that the current owner or state of the claim doesn't allow.
func lostClaim(c *claim) *messenger.Claimed {
	if c == nil {
		return &messenger.Claimed{Code: coder.Voided, State: messenger.ClaimNone}
	}
	if c.State == messenger.ClaimVoid {
		return c.result(coder.Voided)
	}
	return c.result(coder.ClaimHeld)
}

// run allows the owner to start the request at a target, or at another target after
// the first one reported that it did not run the request.
func (s *claims) run(ac applyContext, c *claim, want *messenger.Claim) *messenger.Claimed {
	if !c.ownedBy(want) || (c.State != messenger.ClaimHeld && c.State != messenger.ClaimRun) {
		return lostClaim(c)
	}
	c.State, c.Target = messenger.ClaimRun, want.Target
	s.setExpiry(c, ac.now.Add(ac.maxRunTime(want.Service)+ac.retention()))
	return c.result(coder.OK)
}

func (s *claims) done(ac applyContext, c *claim, want *messenger.Claim) *messenger.Claimed {
	switch {
	case !c.ownedBy(want):
		return lostClaim(c)
	case c.State == messenger.ClaimDone:
		return c.result(coder.OK)
	case c.State != messenger.ClaimRun:
		return lostClaim(c)
	}
	c.State, c.Ended = messenger.ClaimDone, ac.index
	s.storeAnswer(c, want.Answer)
	s.setExpiry(c, ac.now.Add(ac.retention()))
	return c.result(coder.OK)
}

// void records that the owner's attempt never ran. If there is no claim it leaves a
// tombstone, so that a delayed ClaimHeld of the same owner is refused.
func (s *claims) void(ac applyContext, k claimKey, c *claim, want *messenger.Claim) *messenger.Claimed {
	if c == nil {
		c = s.add(k, want)
	}
	if !c.ownedBy(want) || c.State == messenger.ClaimDone {
		return lostClaim(c)
	}
	c.State = messenger.ClaimVoid
	s.setExpiry(c, ac.now.Add(HoldTimeout))
	return c.result(coder.OK)
}

// storeAnswer stores an answer of at most MaxAnswerBytes and drops the oldest answers
// beyond MaxTotalAnswerBytes.
func (s *claims) storeAnswer(c *claim, data []byte) {
	if len(data) == 0 || len(data) > MaxAnswerBytes {
		return
	}
	c.Answer = data
	s.answerBytes += len(data)
	s.answers = append(s.answers, answerRef{c.Key, c.Ended})
	for s.answerBytes > MaxTotalAnswerBytes {
		oldest := s.answers[0]
		s.answers = s.answers[1:]
		if c := s.byKey[oldest.key]; c != nil && c.Ended == oldest.ended {
			s.dropAnswer(c)
		}
	}
}

func (s *claims) dropAnswer(c *claim) {
	s.answerBytes -= len(c.Answer)
	c.Answer = nil
}

func (s *claims) setExpiry(c *claim, at time.Time) {
	c.Expires = at.UnixNano()
	heap.Push(&s.expiry, expiry{at: c.Expires, key: c.Key})
}

// removeExpired removes the claims whose expiry time has passed.
func (s *claims) removeExpired(now time.Time) {
	for len(s.expiry) > 0 && s.expiry[0].at <= now.UnixNano() {
		e := heap.Pop(&s.expiry).(expiry)
		c := s.byKey[e.key]
		if c != nil && c.Expires <= now.UnixNano() {
			s.dropAnswer(c)
			delete(s.byKey, e.key)
		}
	}
}

// expiry is one element of the heap. When the expiry time of a claim changes, its old
// element stays in the heap and is ignored by removeExpired.
type expiry struct {
	at  int64
	key claimKey
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
