package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

// shareHolds is how long another entry's counts are believed. Entries tell theirs
// several times in it.
const shareHolds = time.Second

// share is what one other entry told.
type share struct {
	at    time.Time
	sends []messenger.Sent
}

// Sends returns what this entry has at targets that tell their slots, for the
// other entries.
func (r *Router) Sends() []messenger.Sent {
	var out []messenger.Sent
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		c := &r.byID[id].counts
		if c.flying > 0 || c.reading > 0 || c.held > 0 {
			out = append(out, messenger.Sent{
				Target: xxhash.Sum64String(id), Flying: c.flying, Reading: int(c.reading.Milliseconds()), Held: c.held, Tight: c.tight,
				Gap: int(c.gaps.least().Milliseconds()),
			})
		}
	}
	return out
}

// Learn takes what another entry has at targets.
func (r *Router) Learn(now time.Time, node string, sends []messenger.Sent) {
	if r.shares == nil {
		r.shares = map[string]share{}
	}
	r.shares[node] = share{at: now, sends: sends}
	r.total(now)
}

// total adds up what the other entries have at each target.
func (r *Router) total(now time.Time) {
	sums := map[uint64]messenger.Sent{}
	for node, s := range r.shares {
		if now.Sub(s.at) > shareHolds {
			delete(r.shares, node)
			continue
		}
		for _, one := range s.sends {
			sum := sums[one.Target]
			sum.Flying += one.Flying
			sum.Reading += one.Reading
			sum.Held += one.Held
			sum.Tight += one.Tight
			sum.Gap = shorter(sum.Gap, one.Gap)
			sums[one.Target] = sum
		}
	}
	for id, s := range r.byID {
		s.counts.shared, s.counts.sharing = sums[xxhash.Sum64String(id)], len(r.shares) > 0
	}
}
