package aggregator

import (
	"time"

	"bramleyshunt/messenger"
)

const (
	// usesInterval is the shortest interval between two messages of one kind that hold uses.
	// Uses decay over seconds, and listing 64 accounts takes some 600 bytes.
	usesInterval = MaxInterval
	// memberUsesTTL, groupUsesTTL and ReportTTL are the ages up to which uses are added up at
	// a relay, at another relay and at the last receiver. Each hop takes up to usesInterval,
	// so that the uses of an entry that is lost are left out in time, and do not make the sum
	// that includes them too old to be used.
	memberUsesTTL = 600 * time.Millisecond
	groupUsesTTL  = 800 * time.Millisecond
	// sumInterval is how long the uses that Others returns are not added up again: a relay
	// calls it a hundred times a second.
	sumInterval = usesInterval / 2
)

// uses are the uses of client accounts that were received last from an entry.
type uses struct {
	list []messenger.Use
	at   time.Time       // when they were received
	age  int             // milliseconds, of the oldest part when they were received
	own  []messenger.Use // of ScopeFleet: the part of this entry
}

// usePace spaces out messages that hold uses.
type usePace struct {
	last time.Time
	sent []messenger.Use // in the last one
}

// due reports whether the next message holds uses.
func (p *usePace) due(now time.Time) bool {
	if !p.last.IsZero() && now.Sub(p.last) < usesInterval {
		return false
	}
	p.last = now
	return true
}

func withoutUses(m messenger.Share) messenger.Share {
	m.Uses, m.UsesAge = nil, 0
	return m
}

// receivedUses returns the uses that are in force for the sender of a report: its own ones, or
// those of an earlier report of the same kind.
func (a *Aggregator) receivedUses(r *report) uses {
	if len(r.Uses) == 0 {
		before := a.entries[r.Node]
		switch r.Scope {
		case messenger.ScopeGroup:
			before = a.groups[r.Node]
		case messenger.ScopeFleet:
			before = a.fleet
		}
		if before == nil || before.Node != r.Node {
			return uses{}
		}
		return before.uses
	}
	out := uses{list: r.Uses, at: r.at, age: max(0, r.UsesAge)}
	if r.Scope == messenger.ScopeFleet {
		out.own = a.includedUses(r)
	}
	return out
}

// includedUses returns the uses of this entry that a sum over the fleet includes.
func (a *Aggregator) includedUses(fleet *report) []messenger.Use {
	for _, i := range fleet.Included {
		for _, own := range a.unconfirmed {
			if i.Node == a.Node && own.Seq == i.Seq {
				return own.Uses
			}
		}
	}
	return nil
}

// othersUses returns the uses of all other entries, and their age in milliseconds.
func (a *Aggregator) othersUses(now time.Time, reports []*report) ([]messenger.Use, int) {
	if k := &a.known; k.at.IsZero() || now.Sub(k.at) >= sumInterval {
		*k = uses{at: now}
		k.list, k.age = sumUses(now, reports)
		if a.usesFleet() {
			k.list = withoutOwn(k.list, a.fleet.uses.own)
		}
	}
	if len(a.known.list) == 0 {
		return nil, 0
	}
	return a.known.list, a.known.age + int(now.Sub(a.known.at).Milliseconds())
}

// sumUses adds up the uses of reports that are not too old, and returns the age of the oldest
// of them in milliseconds.
func sumUses(now time.Time, reports []*report) ([]messenger.Use, int) {
	var lists [][]messenger.Use
	oldest := 0
	for _, r := range reports {
		if len(r.uses.list) == 0 {
			continue
		}
		age := int(now.Sub(r.uses.at).Milliseconds()) + r.uses.age
		if time.Duration(age)*time.Millisecond > usesTTL(r.Scope) {
			continue
		}
		lists = append(lists, r.uses.list)
		oldest = max(oldest, age)
	}
	if len(lists) == 0 {
		return nil, 0
	}
	return messenger.SumUses(lists...), oldest
}

func usesTTL(scope messenger.Scope) time.Duration {
	switch scope {
	case messenger.ScopeGroup:
		return groupUsesTTL
	case messenger.ScopeFleet:
		return ReportTTL
	default:
		return memberUsesTTL
	}
}

// withoutOwn takes the uses of this entry out of a sum. An account that the sum does not list
// is part of its rest.
func withoutOwn(sum, own []messenger.Use) []messenger.Use {
	if len(own) == 0 {
		return sum
	}
	listed := make(map[uint64]bool, len(sum))
	for _, u := range sum {
		listed[u.Account] = true
	}
	out := make([]messenger.Use, 0, len(own))
	for _, u := range own {
		if u.Work = -u.Work; !listed[u.Account] {
			u.Account = 0
		}
		out = append(out, u)
	}
	return messenger.SumUses(sum, out)
}
