package apportioner

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// Report returns the decayed uses of this entry for the others: the largest
// messenger.MaxUses accounts, and the sum of the rest.
func (a *Apportioner) Report(now time.Time) []messenger.Use {
	a.advance(now)
	by := 1 / a.scale(a.now)
	out := make([]messenger.Use, 0, len(a.accounts)+1)
	for i := range a.accounts {
		if work := int(a.accounts[i].own*by + 0.5); work > 0 {
			out = append(out, messenger.Use{Account: a.accounts[i].hash, Work: work})
		}
	}
	rest := messenger.Use{Work: int(a.evicted.own*by + 0.5)}
	if len(out) > messenger.MaxUses { // most accounts need not be looked up by SumUses
		slices.SortFunc(out, func(x, y messenger.Use) int { return cmp.Compare(y.Work, x.Work) })
		for _, u := range out[messenger.MaxUses:] {
			rest.Work += u.Work
		}
		out = out[:messenger.MaxUses]
	}
	return messenger.SumUses(append(out, rest))
}

// SetPeers replaces the uses of the other entries by a report whose oldest part has the given
// age. Reports older than MaxAge and impossible ones are ignored: the uses received before
// remain until they are too old.
func (a *Apportioner) SetPeers(now time.Time, uses []messenger.Use, age time.Duration) {
	a.advance(now)
	if age < 0 || age > MaxAge {
		return
	}
	a.dropPeers()
	if a.peers == nil {
		a.peers = make(map[uint64]float64, len(uses))
	}
	a.peerAge, a.peersAt = age, a.now
	for _, u := range uses {
		work := float64(max(0, u.Work)) * a.scale(a.now)
		a.peerTotal += work
		if u.Account != 0 {
			a.peers[u.Account] += work
		}
	}
}

func (a *Apportioner) dropPeers() {
	clear(a.peers)
	a.peerTotal, a.peersAt = 0, time.Time{}
	a.changed()
}

// Figures describe one account, or several as a sum.
type Figures struct {
	Account string // empty for a sum
	Use     float64
	Share   float64 // both in milliseconds
	Refused int     // requests refused because their account was above its share
	Late    int     // requests whose first token came later than their objective, or not at all
}

// Figures returns the figures of the n accounts with the largest use, and the sum of the
// others.
func (a *Apportioner) Figures(now time.Time, n int) (largest []Figures, others Figures) {
	a.advance(now)
	by := 1 / a.scale(a.now)
	all := make([]Figures, 0, len(a.accounts))
	for i := range a.accounts {
		x := &a.accounts[i]
		all = append(all, Figures{Account: x.name, Use: a.use(x.name) * by, Share: a.share(x.name) * by, Refused: x.refused, Late: x.late})
	}
	slices.SortFunc(all, func(x, y Figures) int {
		return cmp.Or(cmp.Compare(y.Use, x.Use), cmp.Compare(x.Account, y.Account))
	})
	n = min(n, len(all))
	others = Figures{Use: a.evicted.own * by, Refused: a.evicted.refused, Late: a.evicted.late}
	for _, f := range all[n:] {
		others.Use += f.Use
		others.Share += f.Share
		others.Refused += f.Refused
		others.Late += f.Late
	}
	return all[:n], others
}
