package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// freeTimeout bounds one attempt to free a member of a gang.
const freeTimeout = 2 * time.Second

// gang connects the ganger with the targets for one request that is spread over
// several of them. segments and finishing belong to the control goroutine.
type gang struct {
	gate          attemptGate
	cd            *Conductor
	ctx           context.Context
	r             *chainer.Request
	done          chan error
	segments      map[string]*segment // members that are not freed, by attempt ID
	finishing     bool                // the answer is complete; the goroutine that writes its end sends to done
	answerStarted atomic.Bool         // the last segment of a non-idempotent request was run
}

// segment is the exchange with one member of a gang.
type segment struct {
	attempt  string
	address  string
	zone     string
	stream   *muxer.Stream
	prefill  atomic.Bool // prefills only; the answer comes from another member
	exported bool        // the prefill has ended; accessed only by the goroutine of runMember
	received uint64      // chunks of the answer
	share    segmentShare
	cancel   context.CancelFunc
}

// runGang runs a request as a gang. When ctx ends, it cancels the gang and waits for
// its outcome.
func (cd *Conductor) runGang(ctx context.Context, r *chainer.Request) error {
	g := &gang{cd: cd, ctx: ctx, r: r, done: make(chan error, 1), segments: map[string]*segment{}}
	defer g.gate.close()
	cd.control.do(func() { cd.control.beginGang(g) })
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
	}
	cd.control.sendGangEvent(ganger.Event{Kind: ganger.Cancel, ID: r.ID})
	select {
	case err := <-g.done:
		return g.outcome(coder.Of(err))
	case <-cd.ctx.Done():
		return coder.Errorf(coder.OutcomeUnknown, "entry stopped")
	}
}

// outcome returns the error to report for a gang whose context has ended.
func (g *gang) outcome(err *coder.Error) error {
	if err == nil {
		return nil
	}
	if err.Code != coder.Cancelled || context.Cause(g.ctx) != context.DeadlineExceeded {
		return err
	}
	return &coder.Error{Code: coder.DeadlineExceeded, Run: err.Run}
}

// beginGang starts a gang. It runs on the control goroutine, like the other methods of
// control in this file except sendGangEvent.
func (c *control) beginGang(g *gang) {
	c.gangs[g.r.ID] = g
	c.offerCandidates(g.r.Service, g.r.Model)
	c.stepGanger(ganger.Event{Kind: ganger.Begin, Job: ganger.Job{
		ID: g.r.ID, Model: g.r.Model, TextBytes: len(g.r.PromptText), Prompt: g.r.Prompt, Output: g.r.Output, Deadline: g.r.Deadline,
		Regions: g.r.Regions,
	}})
}

// offerCandidates passes the targets that may hold a segment to the ganger, once per
// view. Between views the ganger itself tracks what it has reserved and what was
// refused.
func (c *control) offerCandidates(service, model string) {
	if c.offered[model] == c.view {
		return
	}
	c.offered[model] = c.view
	var out []ganger.Candidate
	for _, t := range c.scheduler.Router.Targets(service) {
		l := t.Load
		out = append(out, ganger.Candidate{
			ID: t.ID, Incarnation: t.Incarnation, Memory: l.Memory, Free: max(0, l.Memory-l.Used), PrefillRate: l.Speed, DecodeRate: l.Pace,
			Region: t.Region,
		})
	}
	c.stepGanger(ganger.Event{Kind: ganger.Offer, Model: model, Candidates: out})
}

// tickGangs passes new candidates and the time to the ganger.
func (c *control) tickGangs() {
	for _, g := range c.gangs {
		c.offerCandidates(g.r.Service, g.r.Model)
	}
	if c.ganger.Idle() {
		clear(c.segments)
		return
	}
	c.stepGanger(ganger.Event{Kind: ganger.Tick})
}

// sendGangEvent passes an event to the ganger from outside the control goroutine.
func (c *control) sendGangEvent(e ganger.Event) { c.do(func() { c.stepGanger(e) }) }

// stepGanger passes an event to the ganger and carries out the resulting actions.
func (c *control) stepGanger(e ganger.Event) {
	for _, a := range c.ganger.Step(c.cfg.Now(), e) {
		g := c.gangs[a.ID]
		switch {
		case a.Kind == ganger.Free:
			c.freeMember(g, a)
		case g == nil:
		case a.Kind == ganger.Done:
			delete(c.gangs, a.ID)
		case a.Kind == ganger.Failed:
			delete(c.gangs, a.ID)
			if !g.finishing {
				g.done <- a.Err
			}
		default:
			g.perform(a)
		}
	}
}

// perform carries out an action on one member. Reserve and Run continue on goroutines
// of their own.
func (g *gang) perform(a ganger.Action) {
	s := g.segments[a.Attempt]
	if s == nil {
		t := g.cd.control.scheduler.Router.Target(a.Target)
		s = &segment{attempt: a.Attempt, address: t.Address, zone: t.Zone}
		g.segments[a.Attempt] = s
		g.cd.control.segments[a.Attempt] = s
	}
	switch a.Kind {
	case ganger.Reserve:
		ctx, cancel := context.WithCancel(g.cd.ctx)
		s.cancel = cancel
		g.cd.wg.Go(func() { g.runMember(ctx, s, a) })
	case ganger.Renew:
		if s.stream != nil {
			_ = s.stream.Send(messenger.KindReserve, g.reservation(a))
		}
	case ganger.Run:
		s.prefill.Store(a.Prefill)
		g.cd.wg.Go(func() { g.runSegment(s, a) })
	}
}

// freeMember cancels a member at its agent and closes its stream.
func (c *control) freeMember(g *gang, a ganger.Action) {
	s := c.segments[a.Attempt]
	if s == nil {
		c.stepGanger(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt})
		return
	}
	if g != nil {
		delete(g.segments, a.Attempt)
	}
	if s.cancel != nil {
		s.cancel()
	}
	c.spawn(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, freeTimeout)
		defer stop()
		conn, err := c.cfg.Pool.Get(ctx, s.address)
		if err != nil {
			return
		}
		var out messenger.Cancelled
		if conn.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: a.Attempt}, &out) != nil {
			return
		}
		c.do(func() {
			delete(c.segments, a.Attempt)
			c.stepGanger(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt})
		})
	})
}
