package router

import (
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/weigher"
)

// This file applies package weigher: targets that received a prefix of the prompt before are
// candidates besides others, and all are compared by their expected time to first token.
// Affinity only ranks targets that may be chosen.

// hints returns the targets that may have cached a prefix of the prompt.
func (r *Router) hints(now time.Time, req Request) hints {
	if r.Disabled.Cached || req.Cache < 0 || req.PromptBytes <= 0 {
		return hints{}
	}
	h := r.history.find(now, req.prefixes(), r.byID)
	if r.Disabled.Weighing {
		h.n = min(h.n, 1)
	}
	return h
}

// weigh sets the expected time to first token at a target, and the cached tokens that it
// counts on. The hint is nil if the target is not known to hold a prefix.
func (r *Router) weigh(now time.Time, p *Pick, s *targetState, req Request, h *hint, left int) {
	c := weigher.Candidate{Prompt: req.Prompt, Rate: p.PrefillRate, Wait: p.Wait, Left: left}
	if h != nil {
		c.Hinted = int(int64(req.Prompt) * int64(PrefixBytes(h.index)) / int64(req.PromptBytes))
		c.Age, c.Reported = now.Sub(h.holder.sentAt), s.reports.Share(now)
		c.Sent = (s.sentTokens - h.holder.sentTokens) * max(1, len(r.entries))
	}
	p.Prefix = max(0, min(c.Hinted, req.Prompt-1))
	e := weigher.Weigher{Cache: req.Cache, Certain: r.Disabled.Weighing}.Estimate(c)
	p.TTFT, p.Cached, p.Hinted, p.Probability = e.TTFT, e.Cached, e.Hinted, e.Probability
}

// memoryLeft returns the tokens of memory that are left for cached prompts beside a request.
func memoryLeft(s *targetState, req Request) int {
	l := s.target.Load
	if l.Memory <= 0 {
		return weigher.Unbounded
	}
	return l.Memory - l.Used - s.ownMemory - req.Prompt - req.Output
}

// recordPrefix records that a target received the prefixes of a prompt.
func (r *Router) recordPrefix(now time.Time, s *targetState, p Pick, req Request) {
	if req.Cache < 0 {
		return
	}
	s.sentTokens += max(0, req.Prompt-p.Cached) + req.Output
	r.history.add(now, req.prefixes(), s)
}

// prefixes returns the hashes of prefixes of valid lengths: a list from another entry may have any
// length.
func (rq Request) prefixes() []uint64 {
	return rq.PrefixHashes[:min(len(rq.PrefixHashes), maxPrefixes)]
}

// RecordCached records the tokens that a target reported as cached, of a request that was
// sent by the pick. It reports whether these were fewer than expected.
func (r *Router) RecordCached(now time.Time, p Pick, u messenger.Usage) (wrong bool) {
	if s := r.byID[p.Target.ID]; s != nil && s.target.Incarnation == p.Target.Incarnation {
		s.reports.Add(now, p.Hinted, u.Cached)
	}
	return weigher.IsWrong(p.Cached, u.Cached)
}

// pickHolder returns the best target that received a prefix of the prompt and can accept it, also
// if the prefix is not expected to be there: under overload further candidates find room.
func (r *Router) pickHolder(now time.Time, req Request, known *hints) (best Pick, found bool) {
	long := req.Prompt > r.longPrompt()
	for _, h := range known.list[:known.n] {
		s := h.target
		if s.target.Leaving || s.target.Service != req.Service || !InRegions(s.target, req.Regions) || !r.Disabled.Lanes && !s.acceptsLength(long) {
			continue
		}
		if p, ok := r.score(now, s, req, known); ok && (!found || better(p, best)) {
			best, found = p, true
		}
	}
	return best, found
}

// preferHolder returns the pick, or in its place one of the open targets that received a prefix
// of the prompt if the first token is expected there sooner. It concerns prompts that are not
// split: a wrong hint for a longer one would delay the streams of its target.
func (r *Router) preferHolder(now time.Time, open []*targetState, p Pick, req Request) Pick {
	if req.Cache <= 0 || req.Prompt <= 0 {
		return p
	}
	known := r.hints(now, req)
	best := r.weighBySlots(now, r.byID[p.Target.ID], req, &known)
	for _, s := range open {
		if known.of(s) == nil || !s.acceptsUnsplit(now) {
			continue
		}
		if o := r.weighBySlots(now, s, req, &known); o.Cached > 0 && better(o, best) {
			best = o
		}
	}
	return best
}

// weighBySlots predicts the time to first token at a target that reports its slots.
func (r *Router) weighBySlots(now time.Time, s *targetState, req Request, known *hints) Pick {
	p := Pick{Target: s.target, Running: s.running(now), Wait: s.pendingPrefill()}
	p.PrefillRate = max(1, int(float64(req.Prompt)/req.Prefill.Seconds()))
	left := weigher.Unbounded
	if m := s.target.Load.Memory; m > 0 {
		left = int(memoryFraction*float64(m)) - s.reservedMemory() - req.Prompt - req.Output
	}
	r.weigh(now, &p, s, req, known.of(s), left)
	return p
}

// prefill returns the predicted prefill time of a request without its cached tokens.
func (p Pick) prefill(req Request) time.Duration {
	if p.Cached <= 0 || req.Prompt <= 0 {
		return req.Prefill
	}
	return time.Duration(float64(req.Prefill) * float64(req.Prompt-p.Cached) / float64(req.Prompt))
}

// RecordPlaced records that another entry sends a request to the targets that were picked for
// it here.
func (r *Router) RecordPlaced(now time.Time, p Pick, req Request) {
	if s := r.byID[p.Target.ID]; s != nil && req.Cache > 0 && req.PrefillTargets <= 1 {
		r.recordPrefix(now, s, p, req)
	}
}

// better reports whether a has a shorter expected time to the first token than b.
func better(a, b Pick) bool { return a.TTFT < b.TTFT }
