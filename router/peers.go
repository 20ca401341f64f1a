package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
)

// Peers holds what the other entries have in flight.
type Peers struct {
	Sends   []messenger.Sent // sum over the entries, by target
	Entries int              // number of entries
	Oldest  time.Duration    // age of the oldest report in it
}

// peerSums is the last Peers that was recorded.
type peerSums struct {
	at      time.Time
	entries int
	oldest  time.Duration
	byHash  map[uint64]messenger.Sent // by hash of the target's id
}

// Sends returns the requests in flight of this entry at targets that report their slots.
// It is sent to the other entries.
func (r *Router) Sends() []messenger.Sent {
	var out []messenger.Sent
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		s := r.byID[id]
		c := &s.counts
		if c.inFlight > 0 || c.pendingPrefill > 0 || c.memory > 0 {
			out = append(out, messenger.Sent{
				Target: s.hash, InFlight: c.inFlight, PendingPrefill: int(c.pendingPrefill.Milliseconds()), Memory: c.memory, Unsplit: c.unsplit,
				MinGap: int(c.gaps.shortest().Milliseconds()),
			})
		}
	}
	return out
}

// RecordPeers records the requests in flight of the other entries, in place of those that
// were recorded before.
func (r *Router) RecordPeers(now time.Time, p Peers) {
	r.peers = peerSums{at: now, entries: p.Entries, oldest: p.Oldest, byHash: make(map[uint64]messenger.Sent, len(p.Sends))}
	for _, s := range p.Sends {
		r.peers.byHash[s.Target] = s
	}
	r.applyPeers(now)
}

// AddPeer adds the counts of a request that another entry has in flight, until the next call
// of RecordPeers.
func (r *Router) AddPeer(now time.Time, sends []messenger.Sent) {
	if r.peers.byHash == nil {
		r.peers = peerSums{at: now, byHash: map[uint64]messenger.Sent{}}
	}
	r.peers.entries = max(1, r.peers.entries)
	for _, s := range sends {
		r.peers.byHash[s.Target] = r.peers.byHash[s.Target].Plus(s)
	}
	r.applyPeers(now)
}

// Counts returns what a request adds to the counts of the targets that were picked for it.
func (r *Router) Counts(p Pick, req Request) []messenger.Sent {
	part := int((p.prefill(req) / time.Duration(1+len(p.Helpers))).Milliseconds())
	first := messenger.Sent{
		Target: xxhash.Sum64String(p.Target.ID), InFlight: 1, PendingPrefill: part, Memory: req.Prompt + req.Output, MinGap: int(req.MaxGap.Milliseconds()),
	}
	if req.PrefillTargets <= 1 {
		first.Unsplit = 1
	}
	out := []messenger.Sent{first}
	for i, t := range p.Helpers {
		out = append(out, messenger.Sent{Target: xxhash.Sum64String(t.ID), PendingPrefill: part, Memory: p.HelperMemory[i]})
		out[0].Memory = max(0, out[0].Memory-p.HelperMemory[i])
	}
	return out
}

// Accepts reports whether this entry may send a request to targets that another entry has
// picked for it. Helpers get no request, so bounds on requests do not concern them.
func (r *Router) Accepts(now time.Time, p Pick) bool {
	limit := r.slotLimit(now, r.byName[p.Target.Service])
	for i, t := range append([]messenger.Target{p.Target}, p.Helpers...) {
		s := r.byID[t.ID]
		if s == nil || s.target.Incarnation != t.Incarnation || s.target.Leaving || now.Before(s.refusedUntil) || !s.limit.allows(now) || limit(s) == 0 || i == 0 && !r.mayGet(now, s, Request{}) {
			return false
		}
	}
	return true
}

// Restricted reports whether this entry sends nothing to some target of a service for a reason
// that other entries may not share: a refusal, a pause or a rate limit. It also does if it
// knows no target. A bound on requests is none, as a pick for another entry applies that one's.
func (r *Router) Restricted(now time.Time, service string, regions ...string) bool {
	x := r.index(service, regions)
	return x == nil || slices.ContainsFunc(x.all, func(s *targetState) bool { return now.Before(s.refusedUntil) || !s.limit.allows(now) })
}

// PeerAge returns the age of the oldest report of another entry that is in use, and the
// number of entries whose reports are.
func (r *Router) PeerAge(now time.Time) (oldest time.Duration, entries int) {
	if r.peers.entries == 0 {
		return 0, 0
	}
	return r.peers.oldest + now.Sub(r.peers.at), r.peers.entries
}

// applyPeers assigns the counts of the other entries to the targets, none if they have
// expired.
func (r *Router) applyPeers(now time.Time) {
	if now.Sub(r.peers.at) > aggregator.ReportTTL {
		r.peers = peerSums{}
	}
	for _, s := range r.byID {
		s.counts.peers, s.counts.hasPeers = r.peers.byHash[s.hash], r.peers.entries > 0
	}
}
