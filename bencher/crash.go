package bencher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/passer"
)

const (
	crashStream = 0x63726173 // PCG stream of the crashes, "cras" in ASCII

	// A target that has crashed accepts nothing. It is in no view once its lease has ended,
	// and another one is in the view at its place downTime after the crash.
	leaseLength = 3 * time.Second
	downTime    = 4 * time.Second
	// unreachableBackoff is how long an entry places nothing on a target that it could not
	// reach.
	unreachableBackoff = time.Second
	// maxLosses limits the targets that a call loses before it fails.
	maxLosses = 2

	// Bounds of the platform: requests with the part that reach targets, sent later than
	// contactTime after partCrashes targets have crashed under it.
	partCrashes = 5
	contactTime = 3 * time.Second
)

// Crashes are crashes of targets that a Fleet plays. The zero value has none.
type Crashes struct {
	Own       int     // number of targets that crash without a cause in their requests, each at a random time
	PartShare float64 // share of the calls, in the middle half of the run, whose prompts have a part that crashes each target that begins to answer it
	Refused   bool    // entries refuse the part as soon as the bound of the platform holds
}

// CrashCounts are the figures of the crashes of one or several runs.
type CrashCounts struct {
	Own    int // crashes without a cause in the target's requests
	Part   int // crashes by the part
	Late   int // calls with the part that reached targets beyond the bound of the platform
	Parts  int // calls with the part
	Broken int // attempts of other calls that were lost with a target
	Begun  int // of them, attempts that had begun to answer
}

// CrashHeader returns the header of the table that CrashCounts.Row fills.
func CrashHeader() string {
	return "| case | own crashes | by the part | calls with it | late to targets | others lost | of them begun |\n|---|---|---|---|---|---|---|"
}

// Row returns a row of a Markdown table.
func (n CrashCounts) Row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d |", name, n.Own, n.Part, n.Parts, n.Late, n.Broken, n.Begun)
}

func (n *CrashCounts) add(o CrashCounts) {
	n.Own += o.Own
	n.Part += o.Part
	n.Late += o.Late
	n.Parts += o.Parts
	n.Broken += o.Broken
	n.Begun += o.Begun
}

// crashes is the state of a fleet's crashes.
type crashes struct {
	rnd     *rand.Rand
	counts  CrashCounts
	boundAt time.Time // when the bound of the platform begins to hold; zero if it does not
}

// crashState is the state of a node's crashes.
type crashState struct {
	down bool
	lose map[string]func() // by ID of the calls in progress; called if the node crashes
}

// scheduleCrashes draws the calls with the part and the times of the other crashes.
func (f *Fleet) scheduleCrashes() {
	f.crashes.rnd = rand.New(rand.NewPCG(f.Seed, crashStream))
	for _, c := range f.calls {
		inside := c.at >= f.Site.Length/4 && c.at < f.Site.Length*3/4
		if f.crashes.rnd.Float64() < f.Crashes.PartShare && inside {
			c.crashing = true
			f.crashes.counts.Parts++
		}
	}
	for range f.Crashes.Own {
		f.after(time.Duration(f.crashes.rnd.Int64N(int64(f.Site.Length))), f.crashOne)
	}
}

// crashOne crashes a random target.
func (f *Fleet) crashOne() {
	up := slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.down })
	if len(up) == 0 {
		return
	}
	f.crashes.counts.Own++
	up[f.crashes.rnd.IntN(len(up))].crash()
}

// crashBy crashes the node as a call with the part begins its answer.
func (n *node) crashBy() {
	f := n.f
	f.crashes.counts.Part++
	if f.crashes.counts.Part == partCrashes {
		f.crashes.boundAt = f.now.Add(contactTime)
	}
	n.crash()
}

// crash ends the node with its calls, and has another one take its place later.
func (n *node) crash() {
	f := n.f
	n.down = true
	for _, id := range slices.Sorted(maps.Keys(n.lose)) {
		n.lose[id]()
	}
	n.lose, n.handlers = nil, map[string]func(passer.Kind){}
	f.after(leaseLength, func() { n.viewGone = true; f.updateEntries() })
	f.after(downTime, func() {
		f.nodes = append(f.nodes, newNode(f, len(f.nodes)))
		f.updateEntries()
	})
}

// watchLoss has a placement lose its call if the node crashes before the call's end.
func (n *node) watchLoss(p *placement) {
	if _, running := n.handlers[p.call.id]; running {
		n.lose[p.call.id] = p.lost
	}
}

// reserveMemory reserves memory for a call at another node, unless the node is down.
func (n *node) reserveMemory(tokens int) bool { return !n.down && n.engine.ReserveMemory(tokens) }

// partRefused reports whether the entries refuse calls with the part.
func (f *Fleet) partRefused() bool {
	return f.Crashes.Refused && !f.crashes.boundAt.IsZero() && !f.now.Before(f.crashes.boundAt)
}

// countPart counts a call with the part that reaches a target.
func (p *placement) countPart() {
	x := &p.entry.f.crashes
	if p.call.crashing && !x.boundAt.IsZero() && p.placed.After(x.boundAt) {
		x.counts.Late++
	}
}

// lost has the entry handle the loss of the target while it ran the call.
func (p *placement) lost() {
	f, c := p.entry.f, p.call
	if !c.crashing {
		f.crashes.counts.Broken++
		if p.answered {
			f.crashes.counts.Begun++
		}
	}
	p.freeHelperMemory(len(p.pick.HelperMemory))
	f.send(func() {
		p.end()
		c.node = nil
		if c.done {
			return
		}
		if c.losses++; c.losses == maxLosses || c.crashing && f.partRefused() {
			f.finish(c)
			return
		}
		p.entry.scheduler.Router.Refused(p.pick.Target.ID, f.now.Add(unreachableBackoff))
		c.events, c.emitted = max(1, c.events-c.emitted), 0
		p.requeue(p.pick.Target.ID)
	})
}
