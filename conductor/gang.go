package conductor

import (
	"context"
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// freeLimit bounds one try to free a gang's member.
const freeLimit = 2 * time.Second

// gang is the shell of one request that is spread over several targets. Its
// fields but done and outlet belong to the control goroutine.
type gang struct {
	outlet  outlet
	cd      *Conductor
	ctx     context.Context
	r       *chainer.Request
	done    chan error
	members map[string]*segment
	ending  bool // the answer is whole and being written; its writer tells done
	started bool // the last segment of a request that is not idempotent was run
}

// segment is one member's exchange.
type segment struct {
	attempt string
	address string
	stream  *muxer.Stream
	prefill bool
	held    bool // exported; read and written by the member's reader only
	got     uint64
	cancel  context.CancelFunc
}

// runGang runs a request as a gang.
func (cd *Conductor) runGang(ctx context.Context, r *chainer.Request) error {
	x := &gang{cd: cd, ctx: ctx, r: r, done: make(chan error, 1), members: map[string]*segment{}}
	defer x.outlet.shut()
	cd.control.do(func() { cd.control.begin(x) })
	select {
	case err := <-x.done:
		return err
	case <-ctx.Done():
	}
	cd.control.step(ganger.Event{Kind: ganger.Cancel, ID: r.ID})
	select {
	case err := <-x.done:
		return x.ended(coder.Of(err))
	case <-cd.ctx.Done():
		return coder.Errorf(coder.OutcomeUnknown, "entry stopped")
	}
}

// ended is the outcome of a gang whose context has ended.
func (x *gang) ended(err *coder.Error) error {
	if err == nil {
		return nil
	}
	if err.Code != coder.Cancelled || context.Cause(x.ctx) != context.DeadlineExceeded {
		return err
	}
	return &coder.Error{Code: coder.DeadlineExceeded, Run: err.Run}
}

// begin starts a gang on the control goroutine.
func (c *control) begin(x *gang) {
	c.gangs[x.r.ID] = x
	c.offer(x.r.Service, x.r.Model)
	c.gang(ganger.Event{Kind: ganger.Begin, Job: ganger.Job{
		ID: x.r.ID, Model: x.r.Model, TextBytes: len(x.r.Full), Prompt: x.r.Prompt, Output: x.r.Output, Deadline: x.r.Deadline,
	}})
}

// offer tells the ganger of the targets that may hold a segment, once a view:
// in between the ganger keeps count itself of what it reserved and was refused.
func (c *control) offer(service, model string) {
	if c.offered[model] == c.view {
		return
	}
	c.offered[model] = c.view
	var out []ganger.Candidate
	for _, t := range c.scheduler.Router.Targets(service) {
		l := t.Load
		out = append(out, ganger.Candidate{
			ID: t.ID, Incarnation: t.Incarnation, Memory: l.Memory, Free: max(0, l.Memory-l.Used), Speed: l.Speed, Pace: l.Pace,
		})
	}
	c.gang(ganger.Event{Kind: ganger.Offer, Model: model, Candidates: out})
}

// tickGangs passes time and fresh hints to the gangs.
func (c *control) tickGangs() {
	for _, x := range c.gangs {
		c.offer(x.r.Service, x.r.Model)
	}
	if c.ganger.Idle() {
		clear(c.segments)
		return
	}
	c.gang(ganger.Event{Kind: ganger.Tick})
}

// step gives the ganger an event from a traffic goroutine.
func (c *control) step(e ganger.Event) { c.do(func() { c.gang(e) }) }

// gang steps the ganger and carries out what follows.
func (c *control) gang(e ganger.Event) {
	for _, a := range c.ganger.Step(c.cfg.Now(), e) {
		x := c.gangs[a.ID]
		switch {
		case a.Kind == ganger.Free:
			c.free(x, a)
		case x == nil:
		case a.Kind == ganger.Done:
			delete(c.gangs, a.ID)
		case a.Kind == ganger.Failed:
			delete(c.gangs, a.ID)
			if !x.ending {
				x.done <- a.Err
			}
		default:
			x.act(a)
		}
	}
}

// act sends one message of a member, outside the control goroutine.
func (x *gang) act(a ganger.Action) {
	s := x.members[a.Attempt]
	if s == nil {
		s = &segment{attempt: a.Attempt, address: x.cd.control.scheduler.Router.Target(a.Target).Address}
		x.members[a.Attempt] = s
		x.cd.control.segments[a.Attempt] = s
	}
	switch a.Kind {
	case ganger.Reserve:
		ctx, cancel := context.WithCancel(x.cd.ctx)
		s.cancel = cancel
		x.cd.wg.Go(func() { x.member(ctx, s, a) })
	case ganger.Renew:
		if s.stream != nil {
			_ = s.stream.Send(messenger.KindReserve, x.reserve(a))
		}
	case ganger.Run:
		s.prefill = a.Prefill
		x.cd.wg.Go(func() { x.run(s, a) })
	}
}

// free cancels a member at its agent and closes its stream.
func (c *control) free(x *gang, a ganger.Action) {
	s := c.segments[a.Attempt]
	if s == nil {
		c.gang(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt})
		return
	}
	if x != nil {
		delete(x.members, a.Attempt)
	}
	if s.cancel != nil {
		s.cancel()
	}
	c.spawn(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, freeLimit)
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
			c.gang(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt})
		})
	})
}
