package conductor

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/admitter"
	"bramleyshunt/chainer"
	"bramleyshunt/configurer"
	"bramleyshunt/estimator"
	"bramleyshunt/ganger"
	"bramleyshunt/limiter"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/watcher"
)

const (
	pollInterval        = 10 * time.Millisecond  // between checks for work when no event arrives
	viewRefreshInterval = 100 * time.Millisecond // between views that differ only in their targets
	partsPollInterval   = 250 * time.Millisecond // between checks for isolated parts when no event arrives
	eventBufferSize     = 1024                   // functions queued for the control goroutine
)

// control holds the state that scheduling decisions depend on. The state belongs to
// the control goroutine, which runs the functions submitted to it one at a time.
type control struct {
	cfg    Config
	events chan func()
	done   chan struct{}

	view          *watcher.View
	viewRefreshed time.Time                 // when view was last replaced
	isolated      *messenger.Isolated       // adopted last
	evacuated     map[string][]string       // evacuated zones with targets in use, by service
	adopt         func(*messenger.Isolated) // adopts the isolated parts of a new view
	estimator     estimator.Estimator
	limiter       limiter.Limiter
	retrier       retrier.Retrier
	scheduler     scheduler.Scheduler
	fair          *fairness                           // nil unless accounts are served by their use
	placements    map[string]chan scheduler.Placement // by ticket ID, until placed
	suspects      map[string]string                   // target by ticket ID, of requests that lost another target; empty until placed

	ganger   ganger.Ganger
	gangs    map[string]*gang            // by request ID
	segments map[string]*segment         // by attempt ID, until freed
	offered  map[string]*watcher.View    // view last offered to the ganger, by model
	regions  map[string]int              // targets by region, as last logged
	reconf   reconfigured                // tells queued requests of another configuration
	spawn    func(func(context.Context)) // runs background work that the Conductor waits for when it stops
}

func newControl(cfg Config) (*control, func()) {
	c := &control{
		cfg:        cfg,
		events:     make(chan func(), eventBufferSize),
		done:       make(chan struct{}),
		retrier:    retrier.Retrier{Seed: cfg.Seed, Window: cfg.RetryWindow, Started: cfg.Now()},
		placements: map[string]chan scheduler.Placement{},
		suspects:   map[string]string{},
		offered:    map[string]*watcher.View{},
		gangs:      map[string]*gang{},
		segments:   map[string]*segment{},
		scheduler: scheduler.Scheduler{
			Admitter: admitter.Admitter{Seed: cfg.Seed},
			Router:   router.Router{Seed: cfg.Seed, Disabled: cfg.Disabled.Router(), IDPerStart: cfg.IDPerStart, EjectFailing: cfg.EjectFailing},
			Disabled: cfg.Disabled.Scheduler(),
		},
	}
	c.scheduler.WhyNoTarget = c.whyNoTarget
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
	var due <-chan time.Time // nil while nothing is pending
	parts := time.NewTicker(partsPollInterval)
	defer parts.Stop()
	for {
		if due == nil && c.needsPolling() {
			due = time.After(pollInterval)
		}
		select {
		case <-stop:
			return
		case f := <-c.events:
			f()
		case <-parts.C:
			c.adoptParts()
			c.adoptEvacuated()
			c.updateShares(c.cfg.Now())
			c.tickFair()
		case <-due:
			due = nil
			c.refreshView()
			c.deliverPlacements()
			c.askForQueued()
			c.tickGangs()
		}
	}
}

// needsPolling reports whether the state may change without an event.
func (c *control) needsPolling() bool {
	return len(c.placements) > 0 || c.scheduler.Asks() > 0 || len(c.gangs) > 0 || len(c.segments) > 0 || !c.ganger.Idle()
}

// do runs f on the control goroutine and waits for it. If the goroutine has stopped, f
// may not run.
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

// refreshView adopts the current view. Each load report of a target creates a view, so
// views of the same configuration and evacuated zones are adopted at most once per
// viewRefreshInterval.
func (c *control) refreshView() {
	v, now := c.cfg.View(), c.cfg.Now()
	c.logEndedHolds(now)
	c.adoptParts()
	if v == nil || v == c.view {
		return
	}
	if c.view != nil && v.Version == c.view.Version && !c.needsEvacuation(v) && now.Sub(c.viewRefreshed) < viewRefreshInterval {
		return
	}
	if c.view != nil && v.Version != c.view.Version {
		c.reconf.notify()
	}
	update := c.scheduler.Router.Update
	if c.needsEvacuation(v) {
		c.logEvacuated(c.view, v)
		update = c.scheduler.UpdateTargets
	}
	c.view, c.viewRefreshed = v, now
	c.configureFair(v.Version, v.Config)
	c.scheduler.Router.ColdBound = c.coldBounds(v.Config)
	update(now, c.withoutEvacuated(v, withDeclaredLoads(v)))
	c.scheduler.Router.SetEntries(c.cfg.Settings.Node, c.entries())
	c.observeRegions(v)
	c.updateShares(now)
}

// adoptParts adopts the isolated parts of prompts if they have changed.
func (c *control) adoptParts() {
	if v := c.cfg.View(); v != nil && v.Isolated != c.isolated {
		c.isolated = v.Isolated
		c.adopt(v.Isolated)
	}
}

// withDeclaredLoads returns the targets of a view. Targets that report no load get the
// speed and memory declared by their service.
func withDeclaredLoads(v *watcher.View) []messenger.Target {
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
	c.do(func() { n = len(c.placements) })
	return n
}

// predictTokens sets the predicted token counts. A plain call has no tokens and counts
// as one token towards limits.
func (c *control) predictTokens(r *chainer.Request) {
	if r.Model == "" {
		r.Prompt, r.Output = 1, 0
		return
	}
	c.do(func() {
		s := c.estimator.Predict(r.Model, r.Config.Models[r.Model], r.PromptBytes, r.MaxOutput)
		r.Prompt, r.Output = s.Prompt, s.Output
	})
}

func (c *control) recordUsage(r *chainer.Request, u messenger.Usage) {
	c.do(func() { c.estimator.RecordUsage(r.Model, r.PromptBytes, u) })
}

func (c *control) acquireLimit(r *chainer.Request, a configurer.Account) (err error) {
	c.do(func() { err = c.limiter.Acquire(c.cfg.Now(), r.Account, a, r.Prompt+r.Output) })
	return err
}

func (c *control) releaseLimit(r *chainer.Request, unused int) {
	c.do(func() { c.limiter.Release(r.Account, unused) })
}

// admit decides on a new request and credits it to the retry budget of its service.
func (c *control) admit(r *chainer.Request) (err error) {
	c.do(func() {
		c.refreshView()
		if r.Gang = c.scheduler.ExceedsTarget(newTicket(r, nil)) && r.PathConfig == nil; !r.Gang {
			err = c.scheduler.Admit(c.cfg.Now(), newTicket(r, nil))
		}
		if errors.Is(err, scheduler.ErrAboveShare) {
			c.recordRefusal(r.Account)
		}
		if err == nil {
			c.retrier.RecordRequest(r.Service, cmp.Or(r.Config.Limits.Retries, c.cfg.RetryRatio))
		}
	})
	return err
}

func newTicket(r *chainer.Request, exclude []string) *scheduler.Ticket {
	t := &scheduler.Ticket{
		ID: r.ID, Service: r.Service, Account: r.Account, Share: r.Config.Accounts[r.Account].Share,
		Priority: r.Priority, Prompt: r.Prompt, Output: r.Output, PromptBytes: r.PromptBytes, PrefixHashes: r.PrefixHashes,
		Regions:  r.Regions,
		Deadline: r.Deadline, Exclude: exclude, Objective: ttftObjective(r), MaxGap: gapObjective(r),
	}
	t.Predict(r.Spec.Engine)
	return t
}

// ttftObjective returns the time-to-first-token objective of the request's path, zero
// for none.
func ttftObjective(r *chainer.Request) time.Duration {
	if r.PathConfig == nil {
		return 0
	}
	return seconds(r.PathConfig.Objective, 0)
}

// gapObjective returns the inter-token gap that the request's path allows, zero for no
// bound.
func gapObjective(r *chainer.Request) time.Duration {
	if r.PathConfig == nil {
		return 0
	}
	return seconds(r.PathConfig.Gap, 0)
}

// enqueue adds a ticket to its queue; the placement is sent on the returned channel. A
// suspect request, which lost a target before, is not placed on a target that runs
// another suspect, until requestEnded or abandon.
func (c *control) enqueue(t *scheduler.Ticket, suspect bool) chan scheduler.Placement {
	placed := make(chan scheduler.Placement, 1)
	c.do(func() {
		c.refreshView()
		if suspect {
			t.Exclude = c.excludeSuspectTargets(t.Service, t.Exclude, t.Regions...)
			c.suspects[t.ID] = ""
		}
		c.placements[t.ID] = placed
		c.scheduler.Enqueue(t)
		c.deliverPlacements()
	})
	return placed
}

// abandon removes a ticket from its queue. If it was placed in the meantime, it is no
// longer counted at its targets.
func (c *control) abandon(t *scheduler.Ticket, placed chan scheduler.Placement) {
	c.do(func() {
		delete(c.placements, t.ID)
		delete(c.suspects, t.ID)
		if c.scheduler.Abandon(t) {
			return
		}
		select {
		case p := <-placed:
			if p.Err == nil {
				c.scheduler.PrefillDone(t, p.Pick, 0)
				c.scheduler.Ended(t, p.Pick)
				c.notifySendsChanged()
				c.deliverPlacements()
			}
		default:
		}
	})
}

// Sends returns the load that this process has placed on each target that reports its
// slots.
func (cd *Conductor) Sends() (out []messenger.Sent) {
	cd.control.do(func() { out = cd.control.scheduler.Router.Sends() })
	return out
}

// RecordSends records the load that the other entries have placed on targets.
func (cd *Conductor) RecordSends(p router.Peers) {
	c := cd.control
	c.do(func() {
		c.scheduler.Router.RecordPeers(c.cfg.Now(), p)
		c.grantAsks(true)
	})
}

// notifySendsChanged reports that the result of Sends or Limits has changed.
func (c *control) notifySendsChanged() {
	if c.cfg.SendsChanged != nil {
		c.cfg.SendsChanged()
	}
}

// deliverPlacements makes and delivers all placements that are possible now.
func (c *control) deliverPlacements() {
	c.grantAsks(true)
	defer c.grantAsks(false)
	for _, p := range c.scheduler.Dispatch(c.cfg.Now()) {
		if _, ok := c.suspects[p.Ticket.ID]; ok {
			c.suspects[p.Ticket.ID] = p.Pick.Target.ID
		}
		if p.Err != nil {
			delete(c.suspects, p.Ticket.ID)
		}
		c.notifySendsChanged()
		c.placements[p.Ticket.ID] <- p
		delete(c.placements, p.Ticket.ID)
	}
}

// requestEnded stops counting a request at its target.
func (c *control) requestEnded(t *scheduler.Ticket, pick router.Pick) {
	c.do(func() {
		delete(c.suspects, t.ID)
		c.scheduler.Ended(t, pick)
		c.notifySendsChanged()
		c.deliverPlacements()
	})
}

// recordLoad records a load report that came with an answer.
func (c *control) recordLoad(pick router.Pick, l messenger.Load) {
	c.do(func() {
		c.scheduler.Report(c.cfg.Now(), pick, l)
		c.deliverPlacements()
	})
}

// prefillEnded stops counting a request's prompt at its target. after is the time from
// the placement to the first chunk of the answer, zero if there was none.
func (c *control) prefillEnded(t *scheduler.Ticket, pick router.Pick, after time.Duration) {
	c.do(func() {
		c.scheduler.PrefillDone(t, pick, after)
		if after > 0 {
			c.scheduler.Router.RecordSuccess(pick)
		}
		c.notifySendsChanged()
		c.deliverPlacements()
	})
}

// avoidTarget places no requests on a target for the given time, or for one
// pollInterval if that is longer, unless the target has a newer incarnation than the one
// picked.
func (c *control) avoidTarget(pick router.Pick, after time.Duration) {
	c.do(func() {
		if c.scheduler.Router.Target(pick.Target.ID).Incarnation != pick.Target.Incarnation {
			return
		}
		c.scheduler.Router.Refused(pick.Target.ID, c.cfg.Now().Add(max(after, pollInterval)))
	})
}

// serviceTime returns the predicted time from a ticket's placement to its last token.
func (c *control) serviceTime(t *scheduler.Ticket) (d time.Duration) {
	c.do(func() { d = c.scheduler.PredictDuration(t) })
	return d
}

// retryAfter returns when the caller of a request that could not be placed should
// retry.
func (c *control) retryAfter(t *scheduler.Ticket) (d time.Duration) {
	c.do(func() { d = c.scheduler.RetryAfter(c.cfg.Now(), t) })
	return d
}
