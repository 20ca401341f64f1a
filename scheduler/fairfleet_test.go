package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/apportioner"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

const (
	simStep      = 5 * time.Millisecond
	simObjective = 300 * time.Millisecond
	simTimeout   = 4 * time.Second
	simAskAgain  = 20 * time.Millisecond  // as package conductor does
	simExchange  = 100 * time.Millisecond // between two exchanges of counts and uses
)

// pattern is the load of a fairFleet and what happens to it.
type pattern struct {
	entries  int
	fair     bool
	noRelay  bool                        // entries pick targets by their own counts
	usesAge  time.Duration               // of the uses that entries receive
	lost     func(at time.Duration) bool // the relay is gone
	arrivals func(at time.Duration) []arrival
	seconds  int
	seed     uint64
}

// arrival is the load of one account: requests a second, at one entry or, if that is negative, at
// all of them.
type arrival struct {
	account  string
	entry    int
	perS     float64
	prompt   int
	answer   int
	priority int
}

// fairFleet plays a load in virtual time over real schedulers. A target holds a request for its
// prefill and its decode passes.
type fairFleet struct {
	pattern
	at      time.Time
	rng     *rand.Rand
	nodes   []*fairNode
	targets []messenger.Target
	flying  []*fairCall
	later   map[time.Time][]func()
	due     map[string]float64
	reports []usesReport
	created int
	asks    map[string]func(router.Pick, bool) // that the relay keeps, by ID

	outcomes map[string]*outcome // by account
	above    map[string]bool     // accounts above their share at some entry at 8 s
	busy     float64             // part of the places in use while accounts burst
}

type fairNode struct {
	name  string
	s     *scheduler.Scheduler
	a     *apportioner.Apportioner
	calls map[string]*fairCall // queued, by ticket
}

type fairCall struct {
	node    *fairNode
	t       *scheduler.Ticket
	pick    router.Pick
	arrived time.Time
	start   time.Time
	until   time.Time
	retried bool
}

type usesReport struct {
	at   time.Time
	uses [][]messenger.Use
}

func newFairFleet(p pattern) *fairFleet {
	f := &fairFleet{
		pattern: p, at: now, rng: rand.New(rand.NewPCG(p.seed, 1)), later: map[time.Time][]func(){}, due: map[string]float64{}, asks: map[string]func(router.Pick, bool){}, outcomes: map[string]*outcome{},
	}
	f.targets = (&trace{declared: true}).targets()
	var names []string
	for i := range p.entries {
		names = append(names, fmt.Sprint("e", i))
	}
	for _, name := range names {
		n := &fairNode{name: name, s: &scheduler.Scheduler{}, calls: map[string]*fairCall{}}
		n.s.Router.Update(now, f.targets)
		n.s.Router.SetEntries(name, names)
		if p.fair {
			n.a = &apportioner.Apportioner{}
			n.s.SetFair(n.a)
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// play runs the pattern and returns the outcomes by account.
func play(p pattern) *fairFleet {
	f := newFairFleet(p)
	for step := range int(time.Duration(p.seconds) * time.Second / simStep) {
		f.at = now.Add(time.Duration(step) * simStep)
		f.end()
		for _, fn := range f.later[f.at] {
			fn()
		}
		delete(f.later, f.at)
		f.arrive()
		if f.at.Sub(now)%simExchange == 0 {
			f.exchange()
		}
		for i := range f.nodes {
			n := f.nodes[(i+step)%len(f.nodes)]
			f.dispatch(n)
			f.askForQueued(n)
		}
		f.measure()
	}
	return f
}

func (f *fairFleet) elapsed() time.Duration { return f.at.Sub(now) }

func (f *fairFleet) after(d time.Duration, fn func()) {
	at := f.at.Add((d + simStep - 1) / simStep * simStep)
	f.later[at] = append(f.later[at], fn)
}

func (f *fairFleet) outcome(account string) *outcome {
	if f.outcomes[account] == nil {
		f.outcomes[account] = &outcome{}
	}
	return f.outcomes[account]
}

// arrive has the requests of this step arrive.
func (f *fairFleet) arrive() {
	for _, a := range f.arrivals(f.elapsed()) {
		key := fmt.Sprint(a.account, a.entry)
		for f.due[key] += a.perS * simStep.Seconds() * (0.5 + f.rng.Float64()); f.due[key] >= 1; f.due[key]-- {
			entry := a.entry
			if entry < 0 {
				entry = f.rng.IntN(f.entries)
			}
			f.created++
			t := &scheduler.Ticket{
				ID: fmt.Sprint(f.created), Service: "s", Account: a.account, Share: 1, Priority: a.priority, Prompt: a.prompt/2 + f.rng.IntN(a.prompt),
				Output: 4 * a.answer, Deadline: f.at.Add(simTimeout), Objective: simObjective, MaxGap: 250 * time.Millisecond,
			}
			t.Predict(declaredEngine)
			t.LikelyOutput = a.answer
			f.outcome(a.account).sent++
			f.admit(&fairCall{node: f.nodes[entry], t: t, arrived: f.at})
		}
	}
}

func (f *fairFleet) admit(c *fairCall) {
	err := c.node.s.Admit(f.at, c.t)
	if err == nil {
		c.node.calls[c.t.ID] = c
		c.node.s.Enqueue(c.t)
		f.after(c.t.Deadline.Sub(f.at)-c.node.s.PredictDuration(c.t), func() { f.giveUp(c) })
		return
	}
	o := f.outcome(c.t.Account)
	o.refused++
	if !c.retried { // a caller comes back once
		again := *c.t
		again.ID += "again"
		f.after(coder.Of(err).Retry, func() {
			again.Deadline = f.at.Add(simTimeout)
			f.admit(&fairCall{node: c.node, t: &again, arrived: f.at, retried: true})
		})
	}
}

// giveUp ends the wait of a request that can't be served in time.
func (f *fairFleet) giveUp(c *fairCall) {
	if c.node.calls[c.t.ID] == c && c.node.s.Abandon(c.t) {
		delete(c.node.calls, c.t.ID)
		f.outcome(c.t.Account).given++
	}
}

func (f *fairFleet) dispatch(n *fairNode) {
	if n == f.nodes[0] {
		f.grant(true)
		defer f.grant(false)
	}
	for _, p := range n.s.Dispatch(f.at) {
		c := n.calls[p.Ticket.ID]
		if p.Err != nil {
			delete(n.calls, p.Ticket.ID)
			f.outcome(c.t.Account).given++
			continue
		}
		c.pick = p.Pick
		f.askRelay(c)
	}
}

// askRelay has the first entry confirm or replace the targets of a placement.
func (f *fairFleet) askRelay(c *fairCall) {
	n := c.node
	if f.hasRelay(n) {
		f.grant(false)
		pick, ok, err := f.nodes[0].s.PlaceFor(f.at, describe(c.t), c.t.QueueTime(f.at), func([]messenger.Sent) {})
		if err == nil && !ok {
			f.returned(c)
			return
		}
		if ok && n.s.Move(f.at, c.t, c.pick, pick) {
			c.pick = pick
		}
	}
	f.send(c)
}

// describe returns a ticket as it reaches the relay.
func describe(t *scheduler.Ticket) *scheduler.Ticket {
	return &scheduler.Ticket{
		Service: t.Service, Prompt: t.Prompt, Output: t.Output, Prefill: t.Prefill, PrefillTargets: t.PrefillTargets, Objective: t.Objective,
		MaxGap: t.MaxGap, PassTime: t.PassTime,
	}
}

// hasRelay reports whether an entry has another one that picks targets for it.
func (f *fairFleet) hasRelay(n *fairNode) bool {
	return n != f.nodes[0] && !f.noRelay && (f.lost == nil || !f.lost(f.elapsed()))
}

// ask asks the relay for the targets of a queued request. The answer may come later.
func (f *fairFleet) ask(c *fairCall, answer func(router.Pick, bool)) {
	n, relay := c.node, f.nodes[0].s
	use, _ := n.s.AskUse(f.at, c.t)
	f.created++
	a := scheduler.Ask{ID: fmt.Sprint(n.name, c.t.ID, "/", f.created), Use: use, Priority: c.t.Priority, Ticket: describe(c.t), Queued: c.t.QueueTime(f.at)}
	f.asks[a.ID] = answer
	relay.KeepAsk(a)
	f.grant(false)
	f.after(scheduler.HoldAsk, func() {
		if relay.ForgetAsk(a.ID) {
			delete(f.asks, a.ID)
			answer(router.Pick{}, false)
		}
	})
}

// grant has the relay answer the questions that it keeps.
func (f *fairFleet) grant(first bool) {
	for _, g := range f.nodes[0].s.Grants(f.at, first) {
		answer := f.asks[g.ID]
		delete(f.asks, g.ID)
		answer(g.Pick, true)
	}
}

// askForQueued asks the relay for requests for which an entry knows no place.
func (f *fairFleet) askForQueued(n *fairNode) {
	if !f.hasRelay(n) {
		return
	}
	for _, t := range n.s.AskFor(f.at) {
		c := n.calls[t.ID]
		f.ask(c, func(pick router.Pick, ok bool) {
			n.s.AskEnded(t)
			if ok && n.s.PlaceAt(f.at, t, pick) {
				c.pick = pick
				f.send(c)
			}
		})
	}
}

// returned queues a request again that the relay did not place.
func (f *fairFleet) returned(c *fairCall) {
	n := c.node
	n.s.PrefillDone(c.t, c.pick, 0)
	n.s.Ended(c.t, c.pick)
	n.s.Returned(c.t)
	if n.s.ShouldAsk(f.at, c.t) {
		f.ask(c, func(pick router.Pick, ok bool) {
			if ok && n.s.PlaceAt(f.at, c.t, pick) {
				c.pick = pick
				f.send(c)
				return
			}
			f.queueAgain(c)
		})
		return
	}
	f.after(simAskAgain, func() { f.queueAgain(c) })
}

// queueAgain queues a returned request again, or ends it if there is no time left.
func (f *fairFleet) queueAgain(c *fairCall) {
	n := c.node
	if f.at.After(c.t.Deadline.Add(-n.s.PredictDuration(c.t))) {
		n.s.NotReturned(c.t)
		delete(n.calls, c.t.ID)
		f.outcome(c.t.Account).given++
		return
	}
	n.s.Enqueue(c.t)
}

// send starts a request. If its target has no place, the target queues it.
func (f *fairFleet) send(c *fairCall) {
	delete(c.node.calls, c.t.ID)
	var busy []time.Time
	for _, x := range f.flying {
		if x.pick.Target.ID == c.pick.Target.ID {
			busy = append(busy, x.until)
		}
	}
	slices.SortFunc(busy, time.Time.Compare)
	start := f.at
	if over := len(busy) - declaredEngine.Slots; over >= 0 {
		start = busy[over]
	}
	c.start = start
	passes := (c.t.LikelyOutput + declaredEngine.Stride - 1) / declaredEngine.Stride
	c.until = start.Add(c.t.Prefill + time.Duration(passes)*c.t.PassTime)
	wait := start.Sub(c.arrived)
	o := f.outcome(c.t.Account)
	o.waits = append(o.waits, wait)
	if wait+c.t.Prefill > simObjective {
		o.late++
	}
	f.flying = append(f.flying, c)
}

// end ends the requests whose answers are complete.
func (f *fairFleet) end() {
	f.flying = slices.DeleteFunc(f.flying, func(c *fairCall) bool {
		if f.at.Before(c.until) {
			return false
		}
		n := c.node
		n.s.PrefillDone(c.t, c.pick, 50*time.Millisecond)
		n.s.Settle(f.at, c.t, scheduler.Spent{Ran: true, Started: true, Output: c.t.LikelyOutput})
		n.s.Ended(c.t, c.pick)
		o := f.outcome(c.t.Account)
		o.served++
		o.work += float64((c.t.Prefill + c.t.DecodeTime*time.Duration(c.t.LikelyOutput)).Microseconds()) / 1e3
		return true
	})
}
