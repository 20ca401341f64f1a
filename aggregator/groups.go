package aggregator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

// divide divides the entries into groups.
func (a *Aggregator) divide(peers []messenger.Target) {
	if slices.EqualFunc(a.peers, peers, func(x, y messenger.Target) bool {
		return x.ID == y.ID && x.Zone == y.Zone && x.Region == y.Region && x.Aggregates == y.Aggregates && x.Address == y.Address
	}) {
		return
	}
	a.peers, a.before, a.relays = slices.Clone(peers), nil, nil
	for _, g := range groupsOf(peers) {
		at := slices.IndexFunc(g, func(t messenger.Target) bool { return t.ID == a.Node })
		if at < 0 {
			a.relays = append(a.relays, g[0])
			continue
		}
		a.before = g[:at]
	}
	for node := range a.asked {
		if !slices.ContainsFunc(a.before, func(t messenger.Target) bool { return t.ID == node }) {
			delete(a.asked, node)
		}
	}
}

// groupsOf divides the entries that aggregate into groups of at most maxGroup of one zone. As
// entries come and go, few others change their group.
func groupsOf(peers []messenger.Target) [][]messenger.Target {
	byZone := map[string][]messenger.Target{}
	for _, t := range peers {
		if t.Aggregates {
			byZone[t.Zone] = append(byZone[t.Zone], t)
		}
	}
	var out [][]messenger.Target
	for _, zone := range sortedKeys(byZone) {
		all := byZone[zone]
		slices.SortFunc(all, func(x, y messenger.Target) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID)), cmp.Compare(x.ID, y.ID))
		})
		n := (len(all) + maxGroup - 1) / maxGroup
		for i := range n {
			out = append(out, all[i*len(all)/n:(i+1)*len(all)/n])
		}
	}
	return out
}

// chooseRelay returns the entry of the group that relays for this one, nil if this one relays
// itself, and those to be asked besides whether they relay again.
func (a *Aggregator) chooseRelay(now time.Time) (relay *messenger.Target, retry []messenger.Target) {
	if a.asked == nil {
		a.asked = map[string]*asked{}
	}
	for i, t := range a.before {
		s := a.asked[t.ID]
		if s == nil {
			s = &asked{since: now}
			a.asked[t.ID] = s
		}
		switch {
		case s.silentAt.IsZero() && now.Sub(s.since) < relayTimeout:
			return &a.before[i], retry
		case s.silentAt.IsZero():
			s.silentAt, s.retried = now, now
		case now.Sub(s.retried) >= relayRetry:
			s.retried = now
			retry = append(retry, t)
		}
	}
	return nil, nil // the others answer the sums that this one sends them as a relay
}
