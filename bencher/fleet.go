package bencher

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/switcher"
)

// Fleet simulates one run of a site: the production decision logic of its entries in
// front of the engines modelled by package passer.
type Fleet struct {
	Site      Site
	Kind      Kind
	Seed      uint64
	Disabled  switcher.Switcher // parts of the policy that are switched off
	RestartAt time.Duration     // when all entries are killed; never if zero
	Faults    Faults
	Crashes   Crashes
	Holds     Holds

	loop
	rnd        *rand.Rand
	entries    []*fleetEntry
	announced  []messenger.Target // by the entries
	nodes      []*node
	calls      []*call   // including those that continue calls cut off by a restart
	upAt       time.Time // when the entries have restarted
	unfinished int       // number of calls without an outcome

	faultRnd    *rand.Rand
	faultCounts FaultCounts
	crashes     crashes
}

// call is one request of a caller and its outcome.
type call struct {
	id      string
	traffic Traffic
	kind    int // index in Site.Traffic
	account int
	at      time.Duration // of arrival, since the start
	prompt  int
	events  int // of the answer

	entry     *fleetEntry
	node      *node
	crashing  bool // its prompt has a part that crashes targets
	losses    int  // targets lost while they ran the call
	retries   int  // of the caller
	done      bool
	cut       bool          // by a restart of the entries; another call continues it
	complete  bool          // the whole answer was received
	refused   bool          // the latest attempt was refused
	ttft      time.Duration // to the first event, since arrival; zero if none
	maxGap    time.Duration // longest gap between two events
	lastEvent time.Time     // time of the latest event, or of the arrival
	emitted   int           // events received
}

const (
	// A caller cancels once it has received no event for the longest of callerMinWait,
	// callerWaitObjectives times its TTFT objective and callerWaitGaps times its
	// maximum gap.
	callerMinWait        = 2 * time.Second
	callerWaitObjectives = 4
	callerWaitGaps       = 8
	// A caller retries a refused request callerRetries times. It waits for at most its
	// remaining time divided by retryDelayDivisor before a retry.
	callerRetries     = 1
	retryDelayDivisor = 3
)

// Run simulates the site's traffic until every call has an outcome.
func (f *Fleet) Run() *FleetResult {
	f.now, f.oneWay = start, f.Site.OneWay
	f.rnd = rand.New(rand.NewPCG(f.Seed, seedStream))
	for i := range f.Site.Targets {
		f.nodes = append(f.nodes, newNode(f, i))
	}
	f.scheduleFaults()
	for i := range f.Site.Entries {
		f.entries = append(f.entries, newFleetEntry(f, i))
	}
	f.calls = f.Site.drawCalls(f.Seed)
	f.unfinished = len(f.calls)
	f.scheduleCrashes()
	for _, c := range f.calls {
		f.after(c.at, func() { f.arrive(c) })
	}
	if f.RestartAt > 0 {
		f.after(f.RestartAt, f.restart)
	}
	for f.unfinished > 0 {
		f.runNext()
	}
	calls := slices.DeleteFunc(f.calls, func(c *call) bool { return c.cut || c.crashing })
	f.countEmptied()
	return &FleetResult{Site: f.Site, Faults: f.faultCounts, Crashes: f.crashes.counts, calls: calls, runs: [][]*call{calls}}
}

// arrive sends a new call to a random entry. While the entries are down, the caller tries
// again until they are back.
func (f *Fleet) arrive(c *call) {
	if f.now.Before(f.upAt) {
		f.after(f.upAt.Sub(f.now)+f.returnDelay(), func() { f.arrive(c) })
		return
	}
	if c.lastEvent.IsZero() {
		c.lastEvent = f.now
	}
	c.entry = f.entries[f.rnd.IntN(len(f.entries))]
	c.entry.arrive(c)
	f.watchCaller(c)
}

// watchCaller cancels the call once it has received no event for too long or reaches its
// deadline.
func (f *Fleet) watchCaller(c *call) {
	wait := max(callerMinWait, callerWaitObjectives*c.traffic.Objective, callerWaitGaps*c.traffic.MaxGap)
	timeout := c.lastEvent.Add(wait)
	if end := c.deadline(); timeout.After(end) {
		timeout = end
	}
	f.after(timeout.Sub(f.now), func() {
		switch {
		case c.done:
		case f.now.Sub(c.lastEvent) >= wait || !f.now.Before(c.deadline()):
			f.finish(c)
			c.entry.callerLeft(c)
		default:
			f.watchCaller(c)
		}
	})
}

func (c *call) deadline() time.Time { return start.Add(c.at + c.traffic.Timeout) }

func (f *Fleet) finish(c *call) {
	if !c.done {
		c.done = true
		f.unfinished--
	}
}

// refuse replies that a request did not run. The caller retries once, after the given
// delay or a third of its remaining time, whichever is shorter.
func (f *Fleet) refuse(c *call, retry time.Duration) {
	if c.done {
		return
	}
	c.refused = true
	remaining := c.deadline().Sub(f.now)
	if c.retries >= callerRetries || remaining <= 0 {
		f.finish(c)
		return
	}
	c.retries++
	f.after(min(retry, remaining/retryDelayDivisor), func() {
		if c.done {
			return
		}
		c.refused, c.lastEvent = false, f.now
		c.entry = f.entries[f.rnd.IntN(len(f.entries))]
		c.entry.arrive(c)
	})
}

// recordEvent records an event of an answer that has reached the entry.
func (f *Fleet) recordEvent(c *call) {
	if c.done {
		return
	}
	if c.ttft == 0 {
		c.ttft = f.now.Sub(start.Add(c.at))
	} else {
		c.maxGap = max(c.maxGap, f.now.Sub(c.lastEvent))
	}
	c.lastEvent = f.now
	c.emitted++
}

// recordComplete finishes a call whose answer is complete.
func (c *call) recordComplete(f *Fleet) {
	if !c.done {
		c.complete = true
	}
	f.finish(c)
}
