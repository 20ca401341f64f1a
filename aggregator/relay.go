package aggregator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// relayed returns what a relay sends: the sum of its group to the other relays, and the sum
// over the fleet to its members.
func (a *Aggregator) relayed(now time.Time) []Message {
	members := a.members()
	group := append([]*report{{Share: a.own, at: now, uses: uses{list: a.own.Uses, at: now}}}, members...)
	group = append(group, a.reservations(now)...)
	var out []Message
	if relays := a.otherRelays(); len(relays) > 0 && now.Sub(a.toGroups.last) >= relayInterval {
		if m, ok := a.groupSum(now, group); ok {
			out = append(out, Message{To: relays, Share: m})
		}
	}
	if to := a.targets(members); len(to) > 0 && now.Sub(a.toFleet.last) >= fleetInterval {
		a.toFleet.last = now
		reports := append(group, sortedReports(a.groups)...)
		all := a.sum(now, messenger.ScopeFleet, reports)
		for _, r := range members {
			all.Included = append(all.Included, messenger.Included{Node: r.Node, Seq: r.Seq})
		}
		if a.allUses.due(now) {
			all.Uses, all.UsesAge = sumUses(now, reports)
		}
		out = append(out, Message{To: to, Share: all})
	}
	return out
}

// groupSum returns the sum of the own group, or what has changed since the last one. It
// returns false if nothing has.
func (a *Aggregator) groupSum(now time.Time, group []*report) (messenger.Share, bool) {
	m := a.sum(now, messenger.ScopeGroup, group)
	sums := m.Sends
	if now.Sub(a.toGroups.full) >= MaxInterval {
		a.toGroups.full = now
	} else {
		m.Sends, m.Base = changedSums(a.sentSums, sums), a.sentSumSeq
		if len(m.Sends) == 0 {
			return m, false
		}
	}
	a.toGroups.last, a.sentSums = now, sums
	a.sentSumSeq = max(a.sentSumSeq+1, uint64(now.UnixNano())) // differs from those of an earlier start
	m.Seq = a.sentSumSeq
	if a.groupUses.due(now) {
		m.Uses, m.UsesAge = sumUses(now, group)
	}
	return m, true
}

// reservations returns the reservations that are in force.
func (a *Aggregator) reservations(now time.Time) []*report {
	a.reserved = slices.DeleteFunc(a.reserved, func(r reservation) bool { return now.Sub(r.at) > reservedFor })
	out := make([]*report, 0, len(a.reserved))
	for _, r := range a.reserved {
		out = append(out, &report{Share: messenger.Share{Sends: r.sends}, at: now})
	}
	return out
}
