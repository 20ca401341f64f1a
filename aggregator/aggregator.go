// Package aggregator adds up the requests that the entries of a fleet have in flight, so
// that what an entry knows of the others has an age that does not grow with their number.
// The entries of an availability zone form groups. The first entry of a group, the relay,
// adds up the counts of its members, exchanges the sum with the other relays, and sends the
// sum over the fleet back. Nothing is agreed upon: every entry divides the entries of its
// view alike, any entry relays for those that ask it to, and a silent relay is replaced by
// the next entry of the group.
package aggregator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

const (
	// ReportTTL is how long the counts of other entries are used.
	ReportTTL = time.Second
	// MaxInterval is the longest interval between two messages to the same entry. Several
	// of them may be lost before counts expire or a relay counts as silent.
	MaxInterval = 200 * time.Millisecond

	// baseInterval and intervalPerPeer add up to the shortest interval between two messages
	// to the same entry: a relay sends one to each member and to each other relay.
	baseInterval    = 20 * time.Millisecond
	intervalPerPeer = time.Millisecond
	// maxGroup bounds the entries of a group, as the relay sends each of them the sum over
	// the fleet.
	maxGroup = 32
	// relayTimeout is the silence after which the relay of a group is replaced.
	relayTimeout = 500 * time.Millisecond
	// relayRetry is the time after which a replaced relay is asked again.
	relayRetry = time.Second
	// maxUnconfirmed bounds the own reports that are kept until a sum includes them.
	maxUnconfirmed = 64
)

// Message is a Share and the entries to send it to.
type Message struct {
	To    []messenger.Target
	Share messenger.Share
}

// Aggregator decides what one entry sends to the others, and adds up what it receives. It is
// not safe for concurrent use.
type Aggregator struct {
	Node string // of this entry

	peers   []messenger.Target // of the last Round
	before  []messenger.Target // entries of the own group that precede this one
	relays  []messenger.Target // first entries of the other groups
	size    int                // of the own group
	entries map[string]*report // counts of single entries, by node
	groups  map[string]*report // sums of other groups, by node of their relay
	fleet   *report            // sum over the fleet that was received last
	asked   map[string]*asked  // entries asked to relay, by node

	seq         uint64
	unconfirmed []messenger.Share // own reports sent to relays, oldest first
	own         messenger.Share   // last own report
}

// report is a Share that was received.
type report struct {
	messenger.Share
	at time.Time
}

// asked is what is known of an entry that was asked to relay.
type asked struct {
	since    time.Time // first report to it, or the last answer
	silentAt time.Time // when it was replaced; zero if it was not
	retried  time.Time // last report to it since then
}

// Record records what another entry has sent.
func (a *Aggregator) Record(now time.Time, m messenger.Share) {
	if a.entries == nil {
		a.entries, a.groups = map[string]*report{}, map[string]*report{}
	}
	r := &report{Share: m, at: now}
	switch m.Scope {
	case messenger.ScopeEntry, messenger.ScopeMember:
		a.entries[m.Node] = r
		delete(a.groups, m.Node) // it does not relay any more
	case messenger.ScopeGroup:
		a.groups[m.Node] = r
		delete(a.entries, m.Node)
	case messenger.ScopeFleet:
		a.fleet = r
		if s := a.asked[m.Node]; s != nil {
			*s = asked{since: now}
		}
	}
}

// Round returns what to send now, given the live entries, including this one, and the counts
// and limits of this one.
func (a *Aggregator) Round(now time.Time, peers []messenger.Target, own messenger.Share) []Message {
	a.expire(now)
	a.divide(peers)
	own.Node = a.Node
	var out []Message
	if direct := a.withoutAggregator(); len(direct) > 0 {
		out = append(out, Message{To: direct, Share: own})
	}
	a.own = own
	to, found := a.relayFor(now)
	if len(to) > 0 && len(a.members()) == 0 {
		out = append(out, Message{To: to, Share: a.memberReport(now, own)})
	}
	if !found || len(a.members()) > 0 {
		out = append(out, a.relayed(now)...)
	}
	return out
}

// memberReport returns the own report as sent to a relay, and keeps it until a sum includes
// it.
func (a *Aggregator) memberReport(now time.Time, own messenger.Share) messenger.Share {
	a.seq = max(a.seq+1, uint64(now.UnixNano())) // differs from those of an earlier start
	own.Scope, own.Seq = messenger.ScopeMember, a.seq
	a.unconfirmed = append(a.unconfirmed, own)
	a.unconfirmed = slices.Delete(a.unconfirmed, 0, max(0, len(a.unconfirmed)-maxUnconfirmed))
	return own
}

// relayed returns what a relay sends: the sum of its group to the other relays, and the sum
// over the fleet to its members.
func (a *Aggregator) relayed(now time.Time) []Message {
	members := a.members()
	group := []*report{{Share: a.own, at: now}}
	var included []messenger.Included
	for _, r := range members {
		group = append(group, r)
		included = append(included, messenger.Included{Node: r.Node, Seq: r.Seq})
	}
	var out []Message
	if relays := a.otherRelays(); len(relays) > 0 {
		out = append(out, Message{To: relays, Share: a.sum(now, messenger.ScopeGroup, group)})
	}
	if to := a.targets(members); len(to) > 0 {
		all := a.sum(now, messenger.ScopeFleet, append(group, sortedReports(a.groups)...))
		all.Included = included
		out = append(out, Message{To: to, Share: all})
	}
	return out
}

// Others returns the counts and limits of all other entries: Entries of them are known, and
// Oldest is the age of the oldest report. It returns false if nothing is known.
func (a *Aggregator) Others(now time.Time) (messenger.Share, bool) {
	a.expire(now)
	reports := sortedReports(a.entries)
	if a.usesFleet() {
		reports = slices.DeleteFunc(reports, func(r *report) bool { return r.Scope == messenger.ScopeMember })
		reports = append(reports, a.fleet, a.confirmed())
	} else {
		reports = append(reports, sortedReports(a.groups)...)
	}
	if len(reports) == 0 {
		return messenger.Share{}, false
	}
	out := a.sum(now, messenger.ScopeFleet, reports)
	if a.usesFleet() {
		out.Entries-- // this one
	}
	out.Limits = slices.DeleteFunc(out.Limits, func(l messenger.Limit) bool { return l.Observer == a.Node })
	return out, true
}

// usesFleet reports whether the sum that was received is used, in place of one of its own.
func (a *Aggregator) usesFleet() bool {
	return a.fleet != nil && len(a.members()) == 0 && len(a.groups) == 0
}

// confirmed returns the own report that the sum over the fleet includes, with negative
// counts.
func (a *Aggregator) confirmed() *report {
	out := &report{at: a.fleet.at}
	for _, i := range a.fleet.Included {
		if i.Node != a.Node {
			continue
		}
		for _, own := range a.unconfirmed {
			if own.Seq == i.Seq {
				out.Sends = negated(own.Sends)
			}
		}
	}
	return out
}

func negated(sends []messenger.Sent) []messenger.Sent {
	out := slices.Clone(sends)
	for i := range out {
		s := &out[i]
		s.InFlight, s.PendingPrefill, s.Memory, s.Unsplit, s.MinGap = -s.InFlight, -s.PendingPrefill, -s.Memory, -s.Unsplit, 0
	}
	return out
}

// Interval returns the shortest interval between two messages to the same entry.
func (a *Aggregator) Interval() time.Duration {
	return baseInterval + time.Duration(a.size+len(a.relays))*intervalPerPeer
}

// relayFor returns the entries of the group to send the own report to, and reports whether
// one of them relays. Otherwise this entry relays itself.
func (a *Aggregator) relayFor(now time.Time) (to []messenger.Target, found bool) {
	if a.asked == nil {
		a.asked = map[string]*asked{}
	}
	for _, t := range a.before {
		s := a.asked[t.ID]
		if s == nil {
			s = &asked{since: now}
			a.asked[t.ID] = s
		}
		switch {
		case s.silentAt.IsZero() && now.Sub(s.since) < relayTimeout:
			return append(to, t), true
		case s.silentAt.IsZero():
			s.silentAt, s.retried = now, now
		case now.Sub(s.retried) >= relayRetry:
			s.retried = now
			to = append(to, t)
		}
	}
	return to, false
}

// expire drops what is older than ReportTTL.
func (a *Aggregator) expire(now time.Time) {
	for _, m := range []map[string]*report{a.entries, a.groups} {
		for node, r := range m {
			if now.Sub(r.at) > ReportTTL {
				delete(m, node)
			}
		}
	}
	if a.fleet != nil && now.Sub(a.fleet.at) > ReportTTL {
		a.fleet = nil
	}
}

// divide divides the entries into groups.
func (a *Aggregator) divide(peers []messenger.Target) {
	if slices.EqualFunc(a.peers, peers, func(x, y messenger.Target) bool {
		return x.ID == y.ID && x.Zone == y.Zone && x.Aggregates == y.Aggregates && x.Address == y.Address
	}) {
		return
	}
	a.peers, a.before, a.relays, a.size = slices.Clone(peers), nil, nil, 1
	for _, g := range groupsOf(peers) {
		at := slices.IndexFunc(g, func(t messenger.Target) bool { return t.ID == a.Node })
		if at < 0 {
			a.relays = append(a.relays, g[0])
			continue
		}
		a.before, a.size = g[:at], len(g)
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

// withoutAggregator returns the entries that add up nothing and expect the counts of each
// other entry from itself.
func (a *Aggregator) withoutAggregator() []messenger.Target {
	return slices.DeleteFunc(slices.Clone(a.peers), func(t messenger.Target) bool { return t.Aggregates || t.ID == a.Node })
}

// members returns the reports of the entries that this one relays for.
func (a *Aggregator) members() []*report {
	return slices.DeleteFunc(sortedReports(a.entries), func(r *report) bool { return r.Scope != messenger.ScopeMember })
}

// otherRelays returns the entries to exchange sums of groups with: the first of each group,
// and those that have sent one. The first of the own group is one of them if another one
// relays in its place.
func (a *Aggregator) otherRelays() []messenger.Target {
	out := slices.Clone(a.relays)
	if len(a.before) > 0 {
		out = append(out, a.before[0])
	}
	for _, t := range a.targets(sortedReports(a.groups)) {
		if !slices.ContainsFunc(out, func(o messenger.Target) bool { return o.ID == t.ID }) {
			out = append(out, t)
		}
	}
	return out
}

// targets returns the live entries that have sent the given reports.
func (a *Aggregator) targets(reports []*report) []messenger.Target {
	var out []messenger.Target
	for _, r := range reports {
		if i := slices.IndexFunc(a.peers, func(t messenger.Target) bool { return t.ID == r.Node }); i >= 0 {
			out = append(out, a.peers[i])
		}
	}
	return out
}
