package agent

import (
	"context"
	"time"

	"bramleyshunt/announcer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// Verbs that the agent carries out itself; all others go to the engine.
const (
	VerbDrain = "drain" // take no new work
	VerbStay  = "stay"  // end a drain

	VerbStandby  = "standby"  // as drain, until an activate; no effect on a drained target
	VerbActivate = "activate" // end a standby, but no drain
)

// verbRole changes the lane as well as the engine.
const verbRole = "role"

// learned takes what a keeper answered to an announcement. A fencing number
// counts only if a quorum confirmed it, and only within the lease that it came with.
func (a *Agent) learned(sent time.Time, m messenger.Announced) {
	if !m.Confirmed {
		return
	}
	_ = a.step(func(now time.Time) {
		if a.leased(now) && now.Sub(sent) < announcer.DefaultLease {
			a.fencer.Learn(m.Fence)
		}
	})
}

// leased reports whether the lease holds, on the control goroutine. Once it has
// lapsed, as in a process that was frozen, another agent may have carried out
// orders, so that the fencer must learn the number anew.
func (a *Agent) leased(now time.Time) bool {
	if a.announce == nil {
		return false
	}
	if a.replaced {
		a.fencer.Invalidate()
		return false
	}
	held, lapses := a.announce.Held(now), a.announce.Lapses()
	if !held || lapses != a.lapses {
		a.fencer.Invalidate()
	}
	a.lapses = lapses
	return held
}

// owner reports whether the target is surely this agent's, on the control
// goroutine. An agent that was frozen past its lease may have been replaced: it
// must not free what its successor runs.
func (a *Agent) owner(now time.Time) bool {
	return len(a.cfg.Settings.Keepers) == 0 || a.leased(now)
}

// refused takes a keeper's refusal of the lease. A newer incarnation of the
// target makes this agent leave for good.
func (a *Agent) refused(err error) {
	if c := coder.Of(err).Code; c != coder.WrongIncarnation && c != coder.Fenced {
		return
	}
	_ = a.step(func(time.Time) {
		if a.replaced {
			return
		}
		a.replaced = true
		a.count("replaced")
		a.cfg.Log.WithError(err).Warn("another agent holds the target; taking no more work")
		a.reserver.Leave()
	})
}

// order executes one order at a time, so that an engine that ignores fencing
// numbers never sees two at once.
func (a *Agent) order(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Order
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	select {
	case a.ordering <- struct{}{}:
		defer func() { <-a.ordering }()
	case <-ctx.Done():
		return false
	}
	answer, err := a.executeOrder(ctx, &m)
	if err != nil {
		return a.refuse(s, "", err)
	}
	return s.Send(messenger.KindOrdered, &answer) == nil
}

func (a *Agent) executeOrder(ctx context.Context, m *messenger.Order) (messenger.Ordered, error) {
	var begin bool
	var answer messenger.Ordered
	var err error
	if stopped := a.step(func(now time.Time) {
		a.leased(now)
		begin, answer, err = a.fencer.Begin(m)
	}); stopped != nil {
		return answer, stopped
	}
	if err != nil || !begin {
		return answer, err
	}
	code := coder.OK
	if err = a.execute(ctx, m); err != nil {
		code = coder.Of(err).Code
	}
	stopped := a.step(func(time.Time) { answer = a.fencer.Finish(m, code) })
	a.count("orders." + code.String())
	if err == nil {
		err = stopped
	}
	return answer, err
}

// execute carries an order out. It runs to its end when the controller's
// connection is lost, so that its outcome is known.
func (a *Agent) execute(ctx context.Context, m *messenger.Order) error {
	switch m.Verb {
	case VerbDrain:
		return a.depart(true)
	case VerbStay:
		return a.depart(false)
	case VerbStandby, VerbActivate:
		return a.setStandby(m.Verb == VerbStandby)
	}
	if _, err := a.engine.Order(context.WithoutCancel(ctx), *m); err != nil {
		return err
	}
	if m.Verb != verbRole {
		return nil
	}
	return a.step(func(time.Time) { a.lane = m.Lane })
}
