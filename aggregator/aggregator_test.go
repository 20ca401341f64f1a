package aggregator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
)

// sizes are numbers of entries: of deployments today, and of the one in two years.
var sizes = []int{4, 30, 103, 370}

// settled is the time after the last fault in which the counts of all entries reach all
// others: reports expire, entries that relay in place of another one notice that it is back, and
// so do their members.
const settled = 5 * time.Second

// Pattern: many dispatchers with outdated reports of each other place their requests at the
// same targets.
func TestCountsReachAllEntries(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g, f := NewWithT(t), newFleet(n, 1)
			f.run(settled)
			g.Expect(f.wrong()).To(BeEmpty())
			for round := range 5 {
				i := round * 7 % n
				f.change(i)
				f.run(40 * time.Millisecond)
				for _, x := range f.relays() {
					g.Expect(x == f.nodes[i] || f.knows(x, i)).To(BeTrue(), "relay %s of %s", x.name, f.nodes[i].name)
				}
				f.run(200 * time.Millisecond)
				g.Expect(f.wrong()).To(BeEmpty())
			}
		})
	}
}

const (
	// memberMessages and relayMessages bound the messages that an entry sends a second. A member
	// sends one for each change and one every MaxInterval.
	memberMessages = 30
	relayMessages  = 1700
)

// Guards against reports whose number grows with the square of the entries.
func TestMessagesPerEntryAreBounded(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g, f := NewWithT(t), newFleet(n, 1)
			f.run(settled)
			clear(f.messages)
			f.changeTenTimes(time.Second)
			g.Expect(len(f.relays())).To(BeNumerically("<=", zones+n/16))
			for _, x := range f.nodes {
				most := relayMessages
				if _, member := x.agg.Relay(); member {
					most = memberMessages
				}
				g.Expect(f.messages[x.name]).To(BeNumerically("<", most), x.name)
			}
		})
	}
}

func TestSilentRelayIsReplaced(t *testing.T) {
	for name, silence := range map[string]func(x *node, silent bool){
		"frozen":  func(x *node, silent bool) { x.frozen = silent },
		"cut off": func(x *node, silent bool) { x.unseen = silent },
	} {
		t.Run(name, func(t *testing.T) {
			g, f := NewWithT(t), newFleet(30, 1)
			f.run(settled)
			relay := f.relays()[0]
			silence(relay, true)
			f.run(2 * time.Second)
			relay.own = nil // nobody can know of it
			for i, x := range f.nodes {
				if x == relay {
					continue
				}
				for j, y := range f.nodes {
					g.Expect(y == x || y == relay || f.knows(y, i)).To(BeTrue(), "%d of %d", j, i)
				}
			}
			silence(relay, false)
			f.change(0)
			f.run(settled)
			g.Expect(f.wrong()).To(BeEmpty())
		})
	}
}

// Guards against counts of an entry that is still live in the views of the others, but sends
// nothing any more: they expire at all others within twice their lifetime.
func TestCountsOfUnresponsiveEntryExpire(t *testing.T) {
	for name, member := range map[string]bool{"member": true, "relay": false} {
		t.Run(name, func(t *testing.T) {
			g, f := NewWithT(t), newFleet(30, 1)
			f.run(settled)
			i := slices.IndexFunc(f.nodes, func(x *node) bool { _, ok := x.agg.Relay(); return ok == member })
			f.nodes[i].frozen = true
			f.run(2 * aggregator.ReportTTL)
			for _, x := range f.nodes {
				g.Expect(x != f.nodes[i] && f.knows(x, i)).To(BeFalse(), x.name)
			}
		})
	}
}

// Guards against requests of a whole zone that a relay places by no counts, as it has just
// started.
func TestRelayPlacesOnlyOnceItKnowsTheCountsOfAllOthers(t *testing.T) {
	g, f := NewWithT(t), newFleet(30, 1)
	f.run(settled)
	relay := f.relays()[0]
	i := slices.Index(f.nodes, relay)
	g.Expect(relay.agg.Places(f.now)).To(BeTrue())
	f.restart(i)
	for range 200 {
		f.run(5 * time.Millisecond)
		if !relay.agg.Places(f.now) {
			continue
		}
		for j := range f.nodes {
			g.Expect(j == i || f.knows(relay, j)).To(BeTrue(), "%d", j)
		}
	}
	g.Expect(relay.agg.Places(f.now)).To(BeTrue())
	for _, x := range f.nodes {
		if _, member := x.agg.Relay(); member {
			g.Expect(x.agg.Places(f.now)).To(BeFalse(), x.name)
		}
	}
}

func TestCountsOfLostEntryExpire(t *testing.T) {
	g, f := NewWithT(t), newFleet(30, 1)
	f.run(settled)
	for _, i := range []int{3, 11} {
		f.nodes[i].gone = true
	}
	f.nodes[17].gone = true
	f.run(settled)
	g.Expect(f.wrong()).To(BeEmpty())
	f.restart(17)
	f.run(settled)
	g.Expect(f.wrong()).To(BeEmpty())
}

// Guards against two requests that a relay places at the same target, one after the other,
// before the entry that sends the first one has reported it; and against one counted twice.
func TestReservationCountsUntilItsEntryReportsIt(t *testing.T) {
	g, f := NewWithT(t), newFleet(10, 1)
	f.run(settled)
	relay, i := f.relays()[0], -1
	for n, x := range f.nodes {
		if to, ok := x.agg.Relay(); ok && to.ID == relay.name {
			i = n
		}
	}
	member, placed := f.nodes[i], messenger.Sent{Target: 5000, InFlight: 1, Memory: 10}
	count := func(x *node) int {
		m, _ := x.agg.Others(f.now)
		for _, s := range m.Sends {
			if s.Target == placed.Target {
				return s.InFlight
			}
		}
		return 0
	}
	relay.agg.Reserve(f.now, member.name, []messenger.Sent{placed})
	relay.changed, member.changed = true, true // a report that was sent before crosses the placement
	f.run(12 * time.Millisecond)
	g.Expect(count(relay)).To(Equal(1))
	member.own, member.changed = aggregator.Sum(member.own, []messenger.Sent{placed}), true
	for range 100 {
		f.run(5 * time.Millisecond)
		g.Expect(count(relay)).To(BeNumerically(">=", 1))
	}
	g.Expect(count(relay)).To(Equal(1))
	f.run(settled)
	g.Expect(f.wrong()).To(BeEmpty())

	relay.agg.Reserve(f.now, member.name, []messenger.Sent{{Target: 6000, InFlight: 1}})
	f.run(settled) // the entry never sends the request
	g.Expect(f.wrong()).To(BeEmpty())
}

func TestLimitsReachAllEntriesButTheirObserver(t *testing.T) {
	g, f := NewWithT(t), newFleet(30, 1)
	f.nodes[4].limits = []messenger.Limit{{Target: 1, Rate: 5, Age: 100}}
	f.nodes[9].limits = []messenger.Limit{{Target: 1, Rate: 7, Age: 900}}
	f.run(settled)
	for i, x := range f.nodes {
		m, _ := x.agg.Others(f.now)
		if i == 4 {
			g.Expect(m.Limits).To(BeEmpty())
			continue
		}
		g.Expect(m.Limits).To(HaveLen(1))
		g.Expect(m.Limits[0].Rate).To(Equal(5.0))
		g.Expect(m.Limits[0].Observer).To(Equal(f.nodes[4].name))
		g.Expect(m.Limits[0].Age).To(BeNumerically("<", 1000))
	}
}

// Entries that are killed, restarted, frozen and cut off in any order: once all is calm, every
// live entry knows exactly what the others have in flight.
func TestFleetSettlesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 40).Draw(t, "entries"), rapid.Uint64().Draw(t, "seed"))
		f.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "start")) * time.Millisecond)
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			i := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "entry")
			x := f.nodes[i]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				x.gone = !x.gone
			case 1:
				f.restart(i)
			case 2:
				x.frozen = !x.frozen
			case 3:
				x.unseen = !x.unseen
			default:
				f.change(i)
			}
			f.run(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
		}
		for _, x := range f.nodes {
			x.frozen, x.unseen = false, false
		}
		f.run(settled)
		if w := f.wrong(); w != "" {
			t.Fatal(w)
		}
		if n := len(f.relays()); n > zones {
			t.Fatalf("%d entries relay for %d groups", n, zones)
		}
	})
}
