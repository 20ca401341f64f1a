package ganger

import (
	"fmt"
	"slices"
	"time"

	"bramleyshunt/coder"
)

// phase is the progress of a member.
type phase uint8

const (
	unreserved phase = iota
	reserving
	reserved
	running
	held
)

// member is one target of a gang with its segment.
type member struct {
	Candidate
	attempt    string
	tokens     int
	output     int
	start, end int // byte range of the prompt text
	phase      phase
	lastSent   time.Time // time of the last Reserve or Renew
}

// gang is one job with its current members.
type gang struct {
	Job
	members        []member // sorted by target ID; empty while the gang waits
	export         []byte
	starts         int       // how often members were planned
	freedAt        time.Time // when the last members were released
	notBefore      time.Time // earliest time of the next start
	segmentStarted bool
	finalStarted   bool // the last segment was started
	answerStarted  bool // part of the answer was passed on
	closed         bool
	losses         int
	avoid          []failedTarget
}

// failedTarget is an incarnation of a target that has failed the gang.
type failedTarget struct {
	id          string
	incarnation uint64
}

// advance fails gangs that cannot meet their deadline, renews reservations and starts
// gangs up to the limit per model.
func (g *Ganger) advance() {
	active := map[string]int{}
	for _, x := range g.gangs {
		if len(x.members) > 0 {
			active[x.Model]++
		}
	}
	for _, x := range g.gangs {
		switch {
		case x.closed:
		case !g.now.Before(x.Deadline):
			g.fail(x, coder.Errorf(coder.DeadlineExceeded, "gang of %d tries", x.starts))
		case len(x.members) > 0:
			g.checkReservations(x)
		case g.failUnservable(x):
		case active[x.Model] < g.maxGangs() && g.start(x):
			active[x.Model]++
		}
	}
	g.gangs = slices.DeleteFunc(g.gangs, func(x *gang) bool { return x.closed })
}

// failUnservable fails a waiting gang that no candidate can serve before its deadline.
func (g *Ganger) failUnservable(x *gang) bool {
	candidates := g.candidates(x)
	if len(candidates) == 0 && len(x.Regions) > 0 {
		g.fail(x, &coder.Error{Code: coder.NoRegion, Text: x.Model, Retry: retryAfter})
		return true
	}
	if len(candidates) == 0 {
		g.fail(x, &coder.Error{Code: coder.NoTarget, Text: x.Model, Retry: retryAfter})
		return true
	}
	if shortest := minDuration(x, candidates); g.now.Add(shortest).After(x.Deadline) {
		g.fail(x, &coder.Error{Code: coder.Overloaded, Text: fmt.Sprintf("%d tokens take %s at least", x.Prompt, shortest), Retry: retryAfter})
		return true
	}
	return false
}

// start plans the members and reserves the first. It returns false if the gang keeps
// waiting or has failed.
func (g *Ganger) start(x *gang) bool {
	if g.now.Before(x.notBefore) || g.awaitsFree(x) {
		return false
	}
	members, err := plan(x, g.candidates(x), g.now)
	if err != nil {
		g.fail(x, err)
		return false
	}
	if members == nil {
		return false
	}
	x.starts++
	for i := range members {
		members[i].attempt = fmt.Sprintf("%s.%d.%d", x.ID, x.starts, i)
	}
	x.members, x.export = members, nil
	g.sendReserve(x, 0, Reserve)
	return true
}

// awaitsFree reports whether a release for the gang may still be in flight.
func (g *Ganger) awaitsFree(x *gang) bool {
	if g.now.Sub(x.freedAt) >= freeConfirmWait {
		return false
	}
	return slices.ContainsFunc(g.pendingFrees, func(f pendingFree) bool { return f.action.ID == x.ID })
}

// checkReservations enforces the time limit on pending reservations and renews granted
// ones that have not been run.
func (g *Ganger) checkReservations(x *gang) {
	for i := range x.members {
		m := &x.members[i]
		age := g.now.Sub(m.lastSent)
		switch {
		case m.phase == reserving && age >= reserveTimeout:
			g.restart(x, i, coder.Errorf(coder.Silent, "target %s", m.ID))
			return
		case m.phase == reserved && age >= renewInterval:
			g.sendReserve(x, i, Renew)
		}
	}
}

// sendReserve sends a reservation, or repeats it to renew its lease.
func (g *Ganger) sendReserve(x *gang, i int, kind ActionKind) {
	m := &x.members[i]
	m.lastSent = g.now
	if kind == Reserve {
		m.phase = reserving
	}
	a := m.action(x)
	a.Kind, a.Tokens, a.Output, a.Remaining = kind, m.tokens, m.output, x.Deadline.Sub(g.now)
	g.emit(a)
}

func (m *member) action(x *gang) Action {
	return Action{ID: x.ID, Attempt: m.attempt, Target: m.ID, Incarnation: m.Incarnation}
}

// handleMember handles an agent's answer for member i.
func (g *Ganger) handleMember(x *gang, i int, e Event) {
	m := &x.members[i]
	last := i == len(x.members)-1
	switch {
	case e.Kind == Granted && m.phase == reserving:
		m.phase = reserved
		g.adjustFree(x.Model, m.ID, -m.tokens-m.output)
		g.reserveNext(x, i)
	case e.Kind == Refused && (m.phase == reserving || m.phase == reserved):
		g.adjustFree(x.Model, m.ID, -m.Memory)
		x.recordFailure(m, coder.Of(e.Err))
		g.restart(x, i, coder.Of(e.Err))
	case e.Kind == Exported && m.phase == running && !last:
		m.phase = held
		x.export = e.Export
		g.run(x, i+1)
	case e.Kind == AnswerStarted && last:
		x.answerStarted = true
	case e.Kind == Ended && m.phase == running && last:
		g.finish(x)
	case e.Kind == Lost && m.phase != unreserved:
		g.handleLoss(x, i, coder.Of(e.Err))
	}
}

// handleLoss handles the loss of member i. Code GangLost means that member i itself
// lost another member.
func (g *Ganger) handleLoss(x *gang, i int, err *coder.Error) {
	x.losses++
	x.recordFailure(&x.members[i], err)
	g.restart(x, i, err)
}

// recordFailure ranks a target behind others in later plans if the failure is its own:
// GangLost, MemoryFull and Busy do not count.
func (x *gang) recordFailure(m *member, err *coder.Error) {
	if err == nil || err.Code != coder.GangLost && err.Code != coder.MemoryFull && err.Code != coder.Busy {
		x.avoid = append(x.avoid, failedTarget{m.ID, m.Incarnation})
	}
}

// adjustFree corrects the estimate of free memory at a target until the next Offer.
func (g *Ganger) adjustFree(model, id string, tokens int) {
	for i := range g.offers[model] {
		if c := &g.offers[model][i]; c.ID == id {
			c.Free = max(c.Free+tokens, 0)
		}
	}
}

// reserveNext reserves the member after i, or runs the first segment once all are
// reserved.
func (g *Ganger) reserveNext(x *gang, i int) {
	if i+1 < len(x.members) {
		g.sendReserve(x, i+1, Reserve)
		return
	}
	g.run(x, 0)
}

func (g *Ganger) run(x *gang, i int) {
	m := &x.members[i]
	m.phase = running
	x.segmentStarted = true
	x.finalStarted = x.finalStarted || i == len(x.members)-1
	a := m.action(x)
	a.Kind, a.Start, a.End, a.Import = Run, m.start, m.end, x.export
	a.Output, a.Prefill, a.Remaining = m.output, i < len(x.members)-1, x.Deadline.Sub(g.now)
	g.emit(a)
}

func (g *Ganger) finish(x *gang) {
	x.closed = true
	g.emit(Action{Kind: Done, ID: x.ID})
	g.releaseMembers(x)
}

// restart releases all members after member i failed and schedules another start. It
// fails the gang instead if part of the answer was passed on, if the last segment must
// not start twice, or if too many members were lost.
func (g *Ganger) restart(x *gang, i int, err *coder.Error) {
	if x.answerStarted || x.finalStarted && x.AtMostOnce || x.losses >= maxLosses {
		g.fail(x, &coder.Error{Code: coder.GangLost, Text: "target " + x.members[i].ID, Cause: err})
		return
	}
	g.releaseMembers(x)
	x.notBefore = g.now.Add(min(baseRestartDelay<<min(x.starts, 10), maxRestartDelay))
}

// fail ends a gang with an error. Its outcome is Ran if part of the answer was passed
// on, Unknown if a segment was started, and NotRun otherwise.
func (g *Ganger) fail(x *gang, err *coder.Error) {
	e := *err
	e.Run = coder.NotRun
	if x.segmentStarted {
		e.Run = coder.Unknown
	}
	if x.answerStarted {
		e.Run = coder.Ran
	}
	x.closed = true
	g.emit(Action{Kind: Failed, ID: x.ID, Err: &e})
	g.releaseMembers(x)
}

// releaseMembers releases every member for which a reservation was sent.
func (g *Ganger) releaseMembers(x *gang) {
	for i := range x.members {
		if x.members[i].phase != unreserved {
			g.release(x.members[i].action(x))
		}
	}
	x.members, x.freedAt = nil, g.now
}
