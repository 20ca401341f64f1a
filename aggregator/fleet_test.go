package aggregator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
)

const (
	step      = time.Millisecond // of the simulation
	oneWay    = 2                // steps that a message takes
	zones     = 5
	ownTarget = 1000 // plus the number of an entry, of which it alone has requests in flight
	targets   = 100
)

// fleet simulates entries that exchange counts over a network that delivers in order.
type fleet struct {
	now   time.Time
	nodes []*node
	rng   *rand.Rand

	messages map[string]int                           // sent, by sender
	sent     func(x *node, to int, m messenger.Share) // called with each message; may be nil
}

// node is one entry.
type node struct {
	name      string
	own       []messenger.Sent
	agg       aggregator.Aggregator
	inbox     []delivery
	nextRound time.Time
	changed   bool
	frozen    bool // neither sends nor receives; what is sent to it arrives later
	gone      bool // is not live any more
	unseen    bool // is cut off from all others
	limits    []messenger.Limit
	uses      []messenger.Use
}

type delivery struct {
	at time.Time
	m  messenger.Share
}

// newFleet returns entries of which each has some requests in flight.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 0)), messages: map[string]int{}}
	for i := range n {
		x := &node{}
		f.nodes = append(f.nodes, x)
		f.restart(i)
	}
	return f
}

func nodeName(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, i%250) }

// restart starts an entry without any knowledge, and with other requests.
func (f *fleet) restart(i int) {
	x := f.nodes[i]
	*x = node{name: nodeName(i), nextRound: f.now.Add(time.Duration(f.rng.IntN(5)) * step)}
	x.agg.Node = x.name
	f.change(i)
}

// change changes the requests in flight of an entry.
func (f *fleet) change(i int) {
	x := f.nodes[i]
	x.own = []messenger.Sent{{Target: uint64(ownTarget + i), InFlight: 1 + f.rng.IntN(9)}}
	for range 4 {
		x.own = append(x.own, messenger.Sent{
			Target: uint64(f.rng.IntN(targets)), InFlight: 1 + f.rng.IntN(3), PendingPrefill: f.rng.IntN(100), Memory: f.rng.IntN(1e6), MinGap: 250,
		})
	}
	x.own = aggregator.Sum(x.own)
	x.changed = true
}

// live returns the announcements of the entries that are live.
func (f *fleet) live() []messenger.Target {
	var out []messenger.Target
	for i, x := range f.nodes {
		if !x.gone {
			out = append(out, messenger.Target{ID: x.name, Zone: fmt.Sprint("zone-", i%zones), Aggregates: true})
		}
	}
	return out
}

// run simulates the fleet for a time.
func (f *fleet) run(d time.Duration) {
	live := f.live()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, x := range f.nodes {
			if x.frozen || x.gone {
				continue
			}
			f.receive(x)
			if !f.now.Before(x.nextRound) && (x.changed || !f.now.Before(x.nextRound.Add(aggregator.MaxInterval-x.agg.Interval()))) {
				f.round(x, live)
			}
		}
	}
}

func (f *fleet) receive(x *node) {
	n := slices.IndexFunc(x.inbox, func(d delivery) bool { return d.at.After(f.now) })
	if n < 0 {
		n = len(x.inbox)
	}
	for _, d := range x.inbox[:n] {
		x.agg.Record(f.now, d.m)
		x.changed = x.changed || d.m.Scope != messenger.ScopeFleet
	}
	x.inbox = slices.Delete(x.inbox, 0, n)
}

func (f *fleet) round(x *node, live []messenger.Target) {
	x.changed = false
	for _, m := range x.agg.Round(f.now, live, messenger.Share{Sends: x.own, Limits: x.limits, Uses: x.uses}) {
		f.messages[x.name] += len(m.To)
		if f.sent != nil {
			f.sent(x, len(m.To), m.Share)
		}
		m.Share.Sends = slices.Clone(m.Share.Sends)
		for _, to := range m.To {
			y := f.nodes[slices.IndexFunc(f.nodes, func(y *node) bool { return y.name == to.ID })]
			if !x.unseen && !y.unseen && !y.gone {
				y.inbox = append(y.inbox, delivery{f.now.Add(oneWay * step), m.Share})
			}
		}
	}
	x.nextRound = f.now.Add(x.agg.Interval())
}

// changeTenTimes changes the requests of each entry ten times on average during a run.
func (f *fleet) changeTenTimes(d time.Duration) {
	const steps = 100
	for range steps {
		for range max(1, 10*len(f.nodes)/steps) {
			f.change(f.rng.IntN(len(f.nodes)))
		}
		f.run(d / steps)
	}
}

// relays returns the entries that relay.
func (f *fleet) relays() (out []*node) {
	for _, x := range f.nodes {
		if _, ok := x.agg.Relay(); !ok && !x.gone {
			out = append(out, x)
		}
	}
	return out
}

// others returns the requests in flight of all live entries but one.
func (f *fleet) others(x *node) []messenger.Sent {
	var all [][]messenger.Sent
	for _, y := range f.nodes {
		if y != x && !y.gone {
			all = append(all, y.own)
		}
	}
	return aggregator.Sum(all...)
}

// wrong returns a description of an entry whose knowledge of the others is not exact, empty if
// there is none.
func (f *fleet) wrong() string {
	for _, x := range f.nodes {
		if x.gone || x.frozen {
			continue
		}
		m, _ := x.agg.Others(f.now)
		// The shortest gap of a sum over the fleet includes the receiver's own streams.
		known, exact := withoutGaps(m.Sends), withoutGaps(f.others(x))
		if !slices.Equal(known, exact) {
			n := 0
			for n < len(known) && n < len(exact) && known[n] == exact[n] {
				n++
			}
			return fmt.Sprintf("%s knows %v, others have %v, from target %d on", x.name, known[n:min(n+3, len(known))], exact[n:min(n+3, len(exact))], n)
		}
		if live := len(f.live()); m.Entries != live-1 {
			return fmt.Sprintf("%s knows %d entries of %d", x.name, m.Entries, live)
		}
	}
	return ""
}

func withoutGaps(sends []messenger.Sent) []messenger.Sent {
	out := slices.Clone(sends)
	for i := range out {
		out[i].MinGap = 0
	}
	return out
}

// knows reports whether an entry knows exactly the requests that only another one has.
func (f *fleet) knows(x *node, i int) bool {
	m, _ := x.agg.Others(f.now)
	for _, s := range m.Sends {
		if s.Target == uint64(ownTarget+i) {
			return s.InFlight == f.nodes[i].own[len(f.nodes[i].own)-1].InFlight
		}
	}
	return false
}
