package agent

import (
	"context"
	"time"

	"bramleyshunt/announcer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// Verbs that the agent executes itself; it forwards all others to the engine.
const (
	VerbDrain = "drain" // refuse new work
	VerbStay  = "stay"  // end a drain

	VerbStandby  = "standby"  // drain until VerbActivate; no effect on a target that drains already
	VerbActivate = "activate" // end a standby, but not a drain
)

// verbRole is forwarded to the engine and changes the announced lane.
const verbRole = "role"

// handleAnnounced handles a keeper's reply to an announcement. It accepts a fencing
// token only if a quorum confirmed it and the lease granted with it still holds.
func (a *Agent) handleAnnounced(sent time.Time, m messenger.Announced) {
	if !m.Confirmed {
		return
	}
	_ = a.onControl(func(now time.Time) {
		if a.leaseHeld(now) && now.Sub(sent) < announcer.DefaultLease {
			a.fencer.Learn(m.Fence)
		}
	})
}

// leaseHeld reports whether this agent holds the target's lease. It runs on the
// control goroutine. After a lapse, for example while the process was frozen,
// another agent may have executed orders, so the fencer forgets its token until a
// keeper confirms one again.
func (a *Agent) leaseHeld(now time.Time) bool {
	if a.announcer == nil {
		return false
	}
	if a.replaced {
		a.fencer.Invalidate()
		return false
	}
	held, lapses := a.announcer.Held(now), a.announcer.Lapses()
	if !held || lapses != a.seenLapses {
		a.fencer.Invalidate()
	}
	a.seenLapses = lapses
	return held
}

// ownsTarget reports whether this agent is certain to own the target: it holds the
// lease, or no keepers are configured. It runs on the control goroutine. An agent
// that was frozen past its lease may have been replaced and must not free attempts
// that its successor runs.
func (a *Agent) ownsTarget(now time.Time) bool {
	return len(a.cfg.Settings.Keepers) == 0 || a.leaseHeld(now)
}

// handleRefusal handles a keeper's refusal of the lease. If the keeper has recorded a
// newer incarnation of the target, this agent refuses new work permanently, unless that
// may be its own: an engine that has restarted since the announcement began one.
func (a *Agent) handleRefusal(sent messenger.Target, err error) {
	if c := coder.Of(err).Code; c != coder.WrongIncarnation && c != coder.Fenced {
		return
	}
	_ = a.onControl(func(time.Time) {
		if a.replaced || sent.Incarnation != a.reserver.Incarnation {
			return
		}
		a.replaced = true
		a.count("replaced")
		a.cfg.Log.WithError(err).Warn("a newer agent serves the target; refusing new work")
		a.reserver.Leave()
	})
}

// order executes one order at a time, so that an engine that ignores fencing
// tokens never receives two concurrently. It refuses an order for another target, to
// whose former address the sender has sent it: fencing tokens rise across all targets,
// so the fencer alone would let it pass.
func (a *Agent) order(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Order
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	if m.Target != "" && m.Target != a.targetID() {
		return a.refuse(s, "", coder.Errorf(coder.WrongIncarnation, "order for target %q, this is %q", m.Target, a.targetID()))
	}
	select {
	case a.orderSlot <- struct{}{}:
		defer func() { <-a.orderSlot }()
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
	var execute bool
	var answer messenger.Ordered
	var err error
	if stopped := a.onControl(func(now time.Time) {
		a.leaseHeld(now)
		execute, answer, err = a.fencer.Begin(m)
	}); stopped != nil {
		return answer, stopped
	}
	if err != nil || !execute {
		return answer, err
	}
	code := coder.OK
	if err = a.execute(ctx, m); err != nil {
		code = coder.Of(err).Code
	}
	stopped := a.onControl(func(time.Time) { answer = a.fencer.Finish(m, code) })
	a.count("orders." + code.String())
	if err == nil {
		err = stopped
	}
	return answer, err
}

// execute executes an order. It ignores the cancellation of ctx, so that the
// outcome is known even if the controller's connection is lost.
func (a *Agent) execute(ctx context.Context, m *messenger.Order) error {
	switch m.Verb {
	case VerbDrain:
		return a.setDraining(true)
	case VerbStay:
		return a.setDraining(false)
	case VerbStandby, VerbActivate:
		return a.setStandby(m.Verb == VerbStandby)
	}
	if _, err := a.engine.Order(context.WithoutCancel(ctx), *m); err != nil {
		return err
	}
	if m.Verb != verbRole {
		return nil
	}
	return a.onControl(func(time.Time) { a.lane = m.Lane })
}
