package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

// peerTTL is how long a report of another entry stays valid. Entries send several
// reports in that time.
const peerTTL = time.Second

// peerReport is the last report of another entry.
type peerReport struct {
	receivedAt time.Time
	sends      []messenger.Sent
}

// Sends returns the requests in flight of this entry at targets that report their slots.
// It is sent to the other entries.
func (r *Router) Sends() []messenger.Sent {
	var out []messenger.Sent
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		c := &r.byID[id].counts
		if c.inFlight > 0 || c.pendingPrefill > 0 || c.memory > 0 {
			out = append(out, messenger.Sent{
				Target: xxhash.Sum64String(id), InFlight: c.inFlight, PendingPrefill: int(c.pendingPrefill.Milliseconds()), Memory: c.memory, Unsplit: c.unsplit,
				MinGap: int(c.gaps.shortest().Milliseconds()),
			})
		}
	}
	return out
}

// RecordPeer records the requests in flight of another entry.
func (r *Router) RecordPeer(now time.Time, node string, sends []messenger.Sent) {
	if r.peers == nil {
		r.peers = map[string]peerReport{}
	}
	r.peers[node] = peerReport{receivedAt: now, sends: sends}
	r.sumPeers(now)
}

// sumPeers drops expired reports and adds up the requests of the other entries at each
// target.
func (r *Router) sumPeers(now time.Time) {
	sums := map[uint64]messenger.Sent{}
	for node, s := range r.peers {
		if now.Sub(s.receivedAt) > peerTTL {
			delete(r.peers, node)
			continue
		}
		for _, sent := range s.sends {
			sum := sums[sent.Target]
			sum.InFlight += sent.InFlight
			sum.PendingPrefill += sent.PendingPrefill
			sum.Memory += sent.Memory
			sum.Unsplit += sent.Unsplit
			sum.MinGap = shorterGap(sum.MinGap, sent.MinGap)
			sums[sent.Target] = sum
		}
	}
	for id, s := range r.byID {
		s.counts.peers, s.counts.hasPeers = sums[xxhash.Sum64String(id)], len(r.peers) > 0
	}
}
