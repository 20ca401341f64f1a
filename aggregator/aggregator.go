// Package aggregator adds up the requests that the entries of a fleet have in flight, so
// that what an entry knows of the others has an age that does not grow with their number.
// The entries of an availability zone form groups. The first entry of a group, the relay,
// adds up the counts of its members, exchanges the sum with the other relays, and sends the
// sum over the fleet back. Nothing is agreed upon: every entry divides the entries of its
// view alike, any entry relays for those that ask it to, and a silent relay is replaced by
// the next entry of the group.
package aggregator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	// ReportTTL is how long the counts of other entries are used.
	ReportTTL = time.Second
	// MaxInterval is the longest interval between two messages to the same entry. Several
	// of them may be lost before counts expire or a relay counts as silent.
	MaxInterval = 200 * time.Millisecond

	// memberInterval is the shortest interval between two reports of a member. A relay
	// places requests by them, and few requests begin or end at one entry.
	memberInterval = 5 * time.Millisecond
	// relayInterval is the shortest interval between two sums that a relay sends to the
	// others: in that time two relays may send a request each to the same target.
	relayInterval = 10 * time.Millisecond
	// fleetInterval is the same for the sums that a relay sends to its members, which place
	// by them only while no relay answers.
	fleetInterval = 100 * time.Millisecond
	// maxGroup bounds the entries of a group, as the relay sends each of them the sum over
	// the fleet.
	maxGroup = 32
	// relayTimeout is the silence after which the relay of a group is replaced.
	relayTimeout = 500 * time.Millisecond
	// relayRetry is the time after which a replaced relay is asked again.
	relayRetry = time.Second
	// gatherTime is the time from which a relay places requests of its members: by then each
	// other entry has sent its counts.
	gatherTime = 2 * MaxInterval
	// maxUnconfirmed bounds the own reports that are kept until a sum includes them: those
	// of fleetInterval, twice, and of a slow network.
	maxUnconfirmed = 64
	// reservedFor is the time after which a reservation is dropped that no report of its
	// entry has confirmed.
	reservedFor = 500 * time.Millisecond
	// transferTime is the time within which a placement reaches the entry that asked for it
	// and the report of it comes back. A report that arrives later includes it.
	transferTime = 20 * time.Millisecond
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
	entries map[string]*report // counts of single entries, by node
	groups  map[string]*report // sums of other groups, by node of their relay
	fleet   *report            // sum over the fleet that was received last
	asked   map[string]*asked  // entries asked to relay, by node
	relay   *messenger.Target  // of this entry; nil if it relays itself
	since   time.Time          // when this entry began to relay; zero if it does not

	reserved []reservation

	ownUses   usePace // of the reports of this entry
	groupUses usePace // of the sums to other relays
	allUses   usePace // of the sums to members
	known     uses    // of all other entries, as Others returned them last

	toGroups   pace             // of sums to other relays
	toFleet    pace             // of sums to members
	sentSums   []messenger.Sent // in the last sum to other relays
	sentSumSeq uint64           // of that message

	seq         uint64
	unconfirmed []messenger.Share // own reports sent to relays, oldest first
	own         messenger.Share   // last own report
}

// report is a Share that was received.
type report struct {
	messenger.Share
	at   time.Time
	uses uses
}

// reservation is a request that this entry has placed for a member, until a report of the
// member includes it.
type reservation struct {
	node  string
	at    time.Time
	sends []messenger.Sent
}

// pace spaces messages out.
type pace struct {
	last time.Time // when one was sent
	full time.Time // when the last one that amends no other was
}

// asked is what is known of an entry that was asked to relay.
type asked struct {
	since    time.Time // first report to it, or the last message that it sent as a relay
	silentAt time.Time // when it was replaced; zero if it was not
	retried  time.Time // last report to it since then
}

// Record records what another entry has sent.
func (a *Aggregator) Record(now time.Time, m messenger.Share) {
	if a.entries == nil {
		a.entries, a.groups = map[string]*report{}, map[string]*report{}
	}
	r := &report{Share: m, at: now}
	r.uses = a.receivedUses(r)
	switch m.Scope {
	case messenger.ScopeEntry, messenger.ScopeMember:
		a.entries[m.Node] = r
		delete(a.groups, m.Node) // it does not relay any more
		a.confirm(now, m.Node)
	case messenger.ScopeGroup:
		if m.Base != 0 && !a.amend(r) {
			return
		}
		a.groups[m.Node] = r
		delete(a.entries, m.Node)
	case messenger.ScopeFleet:
		a.fleet = r
	}
	if s := a.asked[m.Node]; s != nil && m.Scope >= messenger.ScopeGroup {
		*s = asked{since: now}
	}
}

// amend completes a sum that holds only what has changed since another one. It returns false
// if that one is not known; a whole sum follows then.
func (a *Aggregator) amend(r *report) bool {
	base := a.groups[r.Node]
	if base == nil || base.Seq != r.Base {
		return false
	}
	changed := make(map[uint64]bool, len(r.Sends))
	for _, s := range r.Sends {
		changed[s.Target] = true
	}
	sends := slices.DeleteFunc(slices.Clone(r.Sends), isZero)
	for _, s := range base.Sends {
		if !changed[s.Target] {
			sends = append(sends, s)
		}
	}
	r.Sends = sends
	return true
}

// Reserve counts a request that this entry has placed for a member until the member reports
// it.
func (a *Aggregator) Reserve(now time.Time, node string, sends []messenger.Sent) {
	a.reserved = append(a.reserved, reservation{node: node, at: now, sends: sends})
}

// confirm drops the reservations that a report of a member includes.
func (a *Aggregator) confirm(now time.Time, node string) {
	a.reserved = slices.DeleteFunc(a.reserved, func(r reservation) bool { return r.node == node && now.Sub(r.at) >= transferTime })
}

// Relay returns the entry that places requests for this one; false if there is none.
func (a *Aggregator) Relay() (messenger.Target, bool) {
	if a.relay == nil {
		return messenger.Target{}, false
	}
	return *a.relay, true
}

// Places reports whether this entry relays, and for long enough to know the counts of all
// others.
func (a *Aggregator) Places(now time.Time) bool {
	return !a.since.IsZero() && now.Sub(a.since) >= gatherTime
}

// Round returns what to send now, given the live entries, including this one, and the counts
// and limits of this one.
func (a *Aggregator) Round(now time.Time, peers []messenger.Target, own messenger.Share) []Message {
	a.expire(now)
	a.divide(peers)
	own.Node = a.Node
	var out []Message
	if direct := a.withoutAggregator(); len(direct) > 0 {
		out = append(out, Message{To: direct, Share: withoutUses(own)}) // such an entry knows no uses
	}
	a.own = own
	relay, retry := a.chooseRelay(now)
	if relay == nil || len(a.members()) > 0 {
		if a.relay = nil; a.since.IsZero() {
			a.since = now
		}
		return append(out, a.relayed(now)...)
	}
	if a.relay == nil || a.relay.ID != relay.ID {
		a.ownUses.last = time.Time{} // the new relay knows none
	}
	a.relay, a.since = relay, time.Time{}
	return append(out, Message{To: append(retry, *relay), Share: a.memberReport(now, own)})
}

// memberReport returns the own report as sent to a relay, and keeps it until a sum includes
// it.
func (a *Aggregator) memberReport(now time.Time, own messenger.Share) messenger.Share {
	a.seq = max(a.seq+1, uint64(now.UnixNano())) // differs from those of an earlier start
	own.Scope, own.Seq = messenger.ScopeMember, a.seq
	due := a.ownUses.due(now)
	if due {
		a.ownUses.sent = own.Uses
	}
	own.Uses = a.ownUses.sent // in force at the relay
	a.unconfirmed = append(a.unconfirmed, own)
	if !due {
		own.Uses = nil
	}
	a.unconfirmed = slices.Delete(a.unconfirmed, 0, max(0, len(a.unconfirmed)-maxUnconfirmed))
	return own
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
		reports = append(append(reports, sortedReports(a.groups)...), a.reservations(now)...)
	}
	if len(reports) == 0 {
		return messenger.Share{}, false
	}
	out := a.sum(now, messenger.ScopeFleet, reports)
	if a.usesFleet() {
		out.Entries-- // this one
	}
	out.Uses, out.UsesAge = a.othersUses(now, reports)
	out.Limits = slices.DeleteFunc(out.Limits, func(l messenger.Limit) bool { return l.Observer == a.Node })
	out.Ejections = slices.DeleteFunc(out.Ejections, func(e messenger.Ejection) bool { return e.Observer == a.Node })
	return out, true
}

// usesFleet reports whether the sum that was received is used, in place of one of its own.
func (a *Aggregator) usesFleet() bool {
	return a.fleet != nil && a.relay != nil
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

// Interval returns the shortest interval between two rounds.
func (a *Aggregator) Interval() time.Duration {
	if a.relay != nil {
		return memberInterval
	}
	return relayInterval
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
// those that have sent one, and, if this entry relays in their place, those that precede it in
// its group.
func (a *Aggregator) otherRelays() []messenger.Target {
	out := append(slices.Clone(a.relays), a.before...)
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
