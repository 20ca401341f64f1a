package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/admitter"
	"bramleyshunt/chainer"
	"bramleyshunt/configurer"
	"bramleyshunt/ganger"
	"bramleyshunt/limiter"
	"bramleyshunt/measurer"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/watcher"
)

const (
	tick      = 10 * time.Millisecond  // between looks at the queue without an event
	lookEvery = 100 * time.Millisecond // between views that differ in targets alone
	backlog   = 1024                   // events waiting for the control goroutine
)

// control owns the deciders. All its fields belong to its own goroutine, which
// runs the functions it is sent one at a time.
type control struct {
	cfg    Config
	events chan func()
	done   chan struct{}

	view      *watcher.View
	looked    time.Time
	measurer  measurer.Measurer
	limiter   limiter.Limiter
	retrier   retrier.Retrier
	scheduler scheduler.Scheduler
	waiting   map[string]chan scheduler.Placement
	risky     map[string]string // target by request, of those that lost another one; empty until placed

	ganger   ganger.Ganger
	gangs    map[string]*gang         // by request
	segments map[string]*segment      // by attempt, until freed
	offered  map[string]*watcher.View // by model
	spawn    func(func(context.Context))
}

func newControl(cfg Config) (*control, func()) {
	c := &control{
		cfg:      cfg,
		events:   make(chan func(), backlog),
		done:     make(chan struct{}),
		retrier:  retrier.Retrier{Seed: cfg.Seed},
		waiting:  map[string]chan scheduler.Placement{},
		risky:    map[string]string{},
		offered:  map[string]*watcher.View{},
		gangs:    map[string]*gang{},
		segments: map[string]*segment{},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: cfg.Seed},
			Router:   router.Router{Seed: cfg.Seed},
		},
	}
	stop := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { c.run(stop) })
	return c, func() {
		close(stop)
		wg.Wait()
	}
}

func (c *control) run(stop chan struct{}) {
	defer close(c.done)
	var due <-chan time.Time // nil while nothing waits
	for {
		if due == nil && c.busy() {
			due = time.After(tick)
		}
		select {
		case <-stop:
			return
		case f := <-c.events:
			f()
		case <-due:
			due = nil
			c.look()
			c.pump()
			c.tickGangs()
		}
	}
}

// busy reports whether anything may change without an event.
func (c *control) busy() bool {
	return len(c.waiting) > 0 || len(c.gangs) > 0 || len(c.segments) > 0 || !c.ganger.Idle()
}

// do runs f on the control goroutine and waits for it.
func (c *control) do(f func()) {
	ended := make(chan struct{})
	select {
	case c.events <- func() { f(); close(ended) }:
	case <-c.done:
		return
	}
	select {
	case <-ended:
	case <-c.done:
	}
}

// look takes over a new view. Each target's report makes one, so that views of
// the same configuration are taken no oftener than lookEvery.
func (c *control) look() {
	v, now := c.cfg.View(), c.cfg.Now()
	if v == nil || v == c.view {
		return
	}
	if c.view != nil && v.Version == c.view.Version && now.Sub(c.looked) < lookEvery {
		return
	}
	c.view, c.looked = v, now
	c.scheduler.Router.Update(now, declared(v))
}

// declared returns the targets of a view with the speed and the memory that their
// services declare, for those that don't report any.
func declared(v *watcher.View) []messenger.Target {
	out := slices.Clone(v.Targets)
	for i := range out {
		p := predictor.Predictor{Engine: v.Config.Services[out[i].Service].Engine}
		if p.HasPrefillRate() && out[i].Load.Speed == 0 {
			out[i].Load = p.Load()
		}
	}
	return out
}

func (c *control) queued() (n int) {
	c.do(func() { n = len(c.waiting) })
	return n
}

// measure predicts tokens. A plain call has none; it counts as one in limits.
func (c *control) measure(r *chainer.Request) {
	if r.Model == "" {
		r.Prompt, r.Output = 1, 0
		return
	}
	c.do(func() {
		s := c.measurer.Predict(r.Model, r.Config.Models[r.Model], r.Text, r.Bound)
		r.Prompt, r.Output = s.Prompt, s.Output
	})
}

func (c *control) learn(r *chainer.Request, u messenger.Usage) {
	c.do(func() { c.measurer.RecordUsage(r.Model, r.Text, u) })
}

func (c *control) take(r *chainer.Request, a configurer.Account) (err error) {
	c.do(func() { err = c.limiter.Acquire(c.cfg.Now(), r.Account, a, r.Prompt+r.Output) })
	return err
}

func (c *control) give(r *chainer.Request, spare int) {
	c.do(func() { c.limiter.Release(r.Account, spare) })
}

// admit decides on a new request and counts it towards the retry budget.
func (c *control) admit(r *chainer.Request) (err error) {
	c.do(func() {
		c.look()
		if r.Gang = c.scheduler.ExceedsTarget(ticket(r, nil)) && r.Via == nil; !r.Gang {
			err = c.scheduler.Admit(c.cfg.Now(), ticket(r, nil))
		}
		if err == nil {
			c.retrier.RecordRequest(r.Service, r.Config.Limits.Retries)
		}
	})
	return err
}

func ticket(r *chainer.Request, exclude []string) *scheduler.Ticket {
	t := &scheduler.Ticket{
		ID: r.ID, Service: r.Service, Account: r.Account, Share: r.Config.Accounts[r.Account].Share,
		Priority: r.Priority, Prompt: r.Prompt, Output: r.Output, PromptBytes: r.Text, PrefixHashes: r.Prefix,
		Deadline: r.Deadline, Exclude: exclude, Objective: aim(r), MaxGap: gap(r),
	}
	t.Predict(r.Spec.Engine)
	return t
}

// aim returns the time that the request's path allows for the first token.
func aim(r *chainer.Request) time.Duration {
	if r.Via == nil {
		return 0
	}
	return seconds(r.Via.Aim, 0)
}

// gap returns the pause that the request's path allows between events.
func gap(r *chainer.Request) time.Duration {
	if r.Via == nil {
		return 0
	}
	return seconds(r.Via.Gap, 0)
}

// endRisk ends what enqueue notes of a risky request.
func (c *control) endRisk(id string) { c.do(func() { delete(c.risky, id) }) }

// apart adds the targets to exclude that have a request which lost another
// target, so that one of them can't take the others down with it. If no target
// were left, they may meet.
func (c *control) apart(service string, exclude []string) []string {
	if c.view == nil {
		return exclude
	}
	all := slices.Clone(exclude)
	for _, target := range c.risky {
		if target != "" && !slices.Contains(all, target) {
			all = append(all, target)
		}
	}
	for _, t := range c.view.ByService[service] {
		if !slices.Contains(all, t.ID) {
			return all
		}
	}
	return exclude
}

// enqueue puts a ticket in its queue; its placement comes on the channel. A
// risky one, which lost a target before, is placed apart from others of its kind until endRisk.
func (c *control) enqueue(t *scheduler.Ticket, risky bool) chan scheduler.Placement {
	placed := make(chan scheduler.Placement, 1)
	c.do(func() {
		c.look()
		if risky {
			t.Exclude = c.apart(t.Service, t.Exclude)
			c.risky[t.ID] = ""
		}
		c.waiting[t.ID] = placed
		c.scheduler.Enqueue(t)
		c.pump()
	})
	return placed
}

// abandon takes a ticket out of its queue. A placement made meanwhile is undone.
func (c *control) abandon(t *scheduler.Ticket, placed chan scheduler.Placement) {
	c.do(func() {
		delete(c.waiting, t.ID)
		if c.scheduler.Abandon(t) {
			return
		}
		select {
		case p := <-placed:
			if p.Err == nil {
				c.scheduler.PrefillDone(t, p.Pick, 0)
			}
		default:
		}
	})
}

// Sends returns what this process has at targets that tell their slots.
func (cd *Conductor) Sends() (out []messenger.Sent) {
	cd.control.do(func() { out = cd.control.scheduler.Router.Sends() })
	return out
}

// Learn takes what another entry has at targets.
func (cd *Conductor) Learn(node string, sends []messenger.Sent) {
	c := cd.control
	c.do(func() { c.scheduler.Router.RecordPeer(c.cfg.Now(), node, sends) })
}

// changed says that what this process has at targets has changed.
func (c *control) changed() {
	if c.cfg.Changed != nil {
		c.cfg.Changed()
	}
}

// pump hands out the placements that can be made now.
func (c *control) pump() {
	for _, p := range c.scheduler.Dispatch(c.cfg.Now()) {
		if _, ok := c.risky[p.Ticket.ID]; ok {
			c.risky[p.Ticket.ID] = p.Pick.Target.ID
		}
		c.changed()
		c.waiting[p.Ticket.ID] <- p
		delete(c.waiting, p.Ticket.ID)
	}
}

// ended ends the count of a request at its target.
func (c *control) ended(t *scheduler.Ticket, pick router.Pick) {
	c.do(func() {
		c.scheduler.Ended(t, pick)
		c.changed()
		c.pump()
	})
}

// report takes a load that came with an answer.
func (c *control) report(pick router.Pick, l messenger.Load) {
	c.do(func() {
		c.scheduler.Report(c.cfg.Now(), pick, l)
		c.pump()
	})
}

// started ends the count of a request's prompt against its target.
func (c *control) started(t *scheduler.Ticket, pick router.Pick, after time.Duration) {
	c.do(func() {
		c.scheduler.PrefillDone(t, pick, after)
		c.changed()
		c.pump()
	})
}

// again decides on another attempt after a failed one.
func (c *control) again(k retrier.Failure) (delay time.Duration, err error) {
	c.do(func() {
		c.budget()
		delay, err = c.retrier.Retry(k)
	})
	return delay, err
}

// reserve reports whether another attempt may follow a failed one, and keeps a retry
// for it.
func (c *control) reserve(k retrier.Failure) (ok bool) {
	c.do(func() {
		c.budget()
		ok = c.retrier.Reserve(k)
	})
	return ok
}

// budget takes over this entry's part of the retries that all may save up.
func (c *control) budget() {
	if c.cfg.Saved != nil {
		c.retrier.MaxBudget = c.cfg.Saved(c.view)
	}
}

// refused leaves a target alone for as long as it asked, and at least a tick.
func (c *control) refused(pick router.Pick, after time.Duration) {
	c.do(func() {
		c.scheduler.Router.Refused(pick.Target.ID, c.cfg.Now().Add(max(after, tick)))
	})
}

// needs returns the time from a ticket's placement to its last token.
func (c *control) needs(t *scheduler.Ticket) (d time.Duration) {
	c.do(func() { d = c.scheduler.PredictDuration(t) })
	return d
}

// backoff returns when a request that could not be placed should come back.
func (c *control) backoff(t *scheduler.Ticket) (d time.Duration) {
	c.do(func() { d = c.scheduler.RetryAfter(c.cfg.Now(), t) })
	return d
}
