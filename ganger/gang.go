package ganger

import (
	"fmt"
	"slices"
	"time"

	"bramleyshunt/coder"
)

// phase is how far a member has come.
type phase uint8

const (
	unasked phase = iota
	asked
	granted
	running
	held
)

// member is one target of a gang with its segment.
type member struct {
	Candidate
	attempt    string
	tokens     int
	output     int
	start, end int // bytes
	phase      phase
	at         time.Time // of the last Reserve or Renew
}

// gang is one job and its present members.
type gang struct {
	Job
	members []member // in order of target ids; none while it waits
	export  []byte
	tries   int
	since   time.Time // when its members were freed
	later   time.Time // not started anew before
	ran     bool      // a segment was started
	final   bool      // the last segment was started
	first   bool      // a piece of the answer was passed on
	over    bool
	losses  int
	avoid   []lost
}

// lost is an incarnation that failed the gang.
type lost struct {
	id          string
	incarnation uint64
}

// advance starts gangs that may start, renews reservations, and ends gangs that
// are out of time.
func (g *Ganger) advance() {
	active := map[string]int{}
	for _, x := range g.gangs {
		if len(x.members) > 0 {
			active[x.Model]++
		}
	}
	for _, x := range g.gangs {
		switch {
		case x.over:
		case !g.now.Before(x.Deadline):
			g.end(x, coder.Errorf(coder.DeadlineExceeded, "gang of %d tries", x.tries))
		case len(x.members) > 0:
			g.watch(x)
		case g.failExpired(x):
		case active[x.Model] < g.most() && g.start(x):
			active[x.Model]++
		}
	}
	g.gangs = slices.DeleteFunc(g.gangs, func(x *gang) bool { return x.over })
}

// failExpired ends a waiting gang that nothing can serve in time any more.
func (g *Ganger) failExpired(x *gang) bool {
	candidates := g.offers[x.Model]
	if len(candidates) == 0 {
		g.end(x, &coder.Error{Code: coder.NoTarget, Text: x.Model, Retry: retryAfter})
		return true
	}
	if least := fastest(x, candidates); g.now.Add(least).After(x.Deadline) {
		g.end(x, &coder.Error{Code: coder.Overloaded, Text: fmt.Sprintf("%d tokens take %s at least", x.Prompt, least), Retry: retryAfter})
		return true
	}
	return false
}

// start plans members and asks the first. It returns false if the gang waits or ended.
func (g *Ganger) start(x *gang) bool {
	if g.now.Before(x.later) || g.waits(x) {
		return false
	}
	members, err := plan(x, g.offers[x.Model], g.now)
	if err != nil {
		g.end(x, err)
		return false
	}
	if members == nil {
		return false
	}
	x.tries++
	for i := range members {
		members[i].attempt = fmt.Sprintf("%s.%d.%d", x.ID, x.tries, i)
	}
	x.members, x.export = members, nil
	g.ask(x, 0, Reserve)
	return true
}

// waits reports whether a release of the gang may still be on its way.
func (g *Ganger) waits(x *gang) bool {
	if g.now.Sub(x.since) >= freeWait {
		return false
	}
	return slices.ContainsFunc(g.free, func(f freeing) bool { return f.action.ID == x.ID })
}

// watch bounds the wait for a grant and renews the reservations not yet run.
func (g *Ganger) watch(x *gang) {
	for i := range x.members {
		m := &x.members[i]
		age := g.now.Sub(m.at)
		switch {
		case m.phase == asked && age >= askLimit:
			g.restart(x, i, coder.Errorf(coder.Silent, "target %s", m.ID))
			return
		case m.phase == granted && age >= renewEvery:
			g.ask(x, i, Renew)
		}
	}
}

// ask sends a reservation, or sends it again to renew its lease.
func (g *Ganger) ask(x *gang, i int, kind ActionKind) {
	m := &x.members[i]
	m.at = g.now
	if kind == Reserve {
		m.phase = asked
	}
	a := m.action(x)
	a.Kind, a.Tokens, a.Output, a.Remaining = kind, m.tokens, m.output, x.Deadline.Sub(g.now)
	g.act(a)
}

func (m *member) action(x *gang) Action {
	return Action{ID: x.ID, Attempt: m.attempt, Target: m.ID, Incarnation: m.Incarnation}
}

// take handles an agent's answer for member i.
func (g *Ganger) take(x *gang, i int, e Event) {
	m := &x.members[i]
	last := i == len(x.members)-1
	switch {
	case e.Kind == Granted && m.phase == asked:
		m.phase = granted
		g.adjust(x.Model, m.ID, -m.tokens-m.output)
		g.next(x, i)
	case e.Kind == Refused && (m.phase == asked || m.phase == granted):
		g.adjust(x.Model, m.ID, -m.Memory)
		x.blame(m, coder.Of(e.Err))
		g.restart(x, i, coder.Of(e.Err))
	case e.Kind == Exported && m.phase == running && !last:
		m.phase = held
		x.export = e.Export
		g.run(x, i+1)
	case e.Kind == First && last:
		x.first = true
	case e.Kind == Ended && m.phase == running && last:
		g.finish(x)
	case e.Kind == Lost && m.phase != unasked:
		g.lose(x, i, coder.Of(e.Err))
	}
}

// lose handles the loss of member i. Code GangLost says that it lost another.
func (g *Ganger) lose(x *gang, i int, err *coder.Error) {
	x.losses++
	x.blame(&x.members[i], err)
	g.restart(x, i, err)
}

// blame makes other targets come before one that failed the gang.
func (x *gang) blame(m *member, err *coder.Error) {
	if err == nil || err.Code != coder.GangLost && err.Code != coder.MemoryFull && err.Code != coder.Busy {
		x.avoid = append(x.avoid, lost{m.ID, m.Incarnation})
	}
}

// adjust changes what is thought free at a target until the next Offer.
func (g *Ganger) adjust(model, id string, tokens int) {
	for i := range g.offers[model] {
		if c := &g.offers[model][i]; c.ID == id {
			c.Free = max(c.Free+tokens, 0)
		}
	}
}

// next asks the member after i, or starts the first segment once all are reserved.
func (g *Ganger) next(x *gang, i int) {
	if i+1 < len(x.members) {
		g.ask(x, i+1, Reserve)
		return
	}
	g.run(x, 0)
}

func (g *Ganger) run(x *gang, i int) {
	m := &x.members[i]
	m.phase = running
	x.ran = true
	x.final = x.final || i == len(x.members)-1
	a := m.action(x)
	a.Kind, a.Start, a.End, a.Import = Run, m.start, m.end, x.export
	a.Output, a.Prefill, a.Remaining = m.output, i < len(x.members)-1, x.Deadline.Sub(g.now)
	g.act(a)
}

func (g *Ganger) finish(x *gang) {
	x.over = true
	g.act(Action{Kind: Done, ID: x.ID})
	g.releaseMembers(x)
}

// restart frees all members after one failed, and lets the gang start anew
// unless its answer must not begin again or too many were lost.
func (g *Ganger) restart(x *gang, i int, err *coder.Error) {
	if x.first || x.final && x.Once || x.losses >= maxLost {
		g.end(x, &coder.Error{Code: coder.GangLost, Text: "target " + x.members[i].ID, Cause: err})
		return
	}
	g.releaseMembers(x)
	x.later = g.now.Add(min(firstDelay<<min(x.tries, 10), longDelay))
}

// end fails a gang. It is not run if no segment was started.
func (g *Ganger) end(x *gang, err *coder.Error) {
	e := *err
	e.Run = coder.NotRun
	if x.ran {
		e.Run = coder.Unknown
	}
	if x.first {
		e.Run = coder.Ran
	}
	x.over = true
	g.act(Action{Kind: Failed, ID: x.ID, Err: &e})
	g.releaseMembers(x)
}

// releaseMembers frees every member that was asked.
func (g *Ganger) releaseMembers(x *gang) {
	for i := range x.members {
		if x.members[i].phase != unasked {
			g.release(x.members[i].action(x))
		}
	}
	x.members, x.since = nil, g.now
}
