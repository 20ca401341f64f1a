package bencher

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/router"
)

// Fleet is one run of a site: the real deciders of its entries before engines that
// work in passes, in virtual time.
type Fleet struct {
	Site     Site
	Kind     Kind
	Seed     uint64
	Disabled router.Features
	Alone    bool // entries don't tell each other what they have at targets

	loop
	rnd     *rand.Rand
	entries []*fleetEntry
	nodes   []*node
	left    int // calls without an outcome
}

// call is one request of a caller, and what became of it.
type call struct {
	id      string
	traffic Traffic
	kind    int
	account int
	at      time.Duration
	prompt  int
	events  int

	entry   *fleetEntry
	node    *node
	again   int // times the caller came back
	done    bool
	whole   bool
	refused bool          // the last answer
	first   time.Duration // since arrival; zero without an event
	gap     time.Duration // longest between two events
	last    time.Time     // event, or arrival
}

const (
	// patience is how long a caller waits for an event at least, and how many times
	// the aim or the pause it waits at most.
	patience     = 2 * time.Second
	patienceAims = 4
	patienceGaps = 8
	// comesBack is how often a caller repeats a request that was refused, and
	// backShare the most of its time left that it waits before.
	comesBack = 1
	backShare = 3
)

// Run plays the site's traffic to its end.
func (f *Fleet) Run() *Served {
	f.now, f.oneWay = start, f.Site.OneWay
	f.rnd = rand.New(rand.NewPCG(f.Seed, seedStream))
	for i := range f.Site.Targets {
		f.nodes = append(f.nodes, newNode(f, i))
	}
	for i := range f.Site.Entries {
		f.entries = append(f.entries, newFleetEntry(f, i))
	}
	calls := f.Site.calls(f.Seed)
	f.left = len(calls)
	for _, c := range calls {
		f.after(c.at, func() { f.arrive(c) })
	}
	for f.left > 0 {
		f.next()
	}
	return &Served{Site: f.Site, calls: calls}
}

func (f *Fleet) arrive(c *call) {
	c.last = f.now
	c.entry = f.entries[f.rnd.IntN(len(f.entries))]
	c.entry.arrive(c)
	f.watch(c)
}

// watch has the caller leave once nothing has come for long, or its time is over.
func (f *Fleet) watch(c *call) {
	wait := max(patience, patienceAims*c.traffic.Aim, patienceGaps*c.traffic.Gap)
	due := c.last.Add(wait)
	if end := c.deadline(); due.After(end) {
		due = end
	}
	f.after(due.Sub(f.now), func() {
		switch {
		case c.done:
		case f.now.Sub(c.last) >= wait || !f.now.Before(c.deadline()):
			f.finish(c)
			c.entry.left(c)
		default:
			f.watch(c)
		}
	})
}

func (c *call) deadline() time.Time { return start.Add(c.at + c.traffic.Timeout) }

func (f *Fleet) finish(c *call) {
	if !c.done {
		c.done = true
		f.left--
	}
}

// refuse answers that a request did not run. The caller comes back once, when told.
func (f *Fleet) refuse(c *call, retry time.Duration) {
	if c.done {
		return
	}
	c.refused = true
	left := c.deadline().Sub(f.now)
	if c.again >= comesBack || left <= 0 {
		f.finish(c)
		return
	}
	c.again++
	f.after(min(retry, left/backShare), func() {
		if c.done {
			return
		}
		c.refused, c.last = false, f.now
		c.entry = f.entries[f.rnd.IntN(len(f.entries))]
		c.entry.arrive(c)
	})
}

// event is one event of an answer, at its entry.
func (f *Fleet) event(c *call) {
	if c.done {
		return
	}
	if c.first == 0 {
		c.first = f.now.Sub(start.Add(c.at))
	} else {
		c.gap = max(c.gap, f.now.Sub(c.last))
	}
	c.last = f.now
}

// end ends a call whose answer is whole.
func (c *call) end(f *Fleet) {
	if !c.done {
		c.whole = true
	}
	f.finish(c)
}
