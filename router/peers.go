package router

import (
	"maps"
	"slices"
	"time"

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
