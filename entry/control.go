package entry

import (
	"slices"
	"time"

	"bramleyshunt/admitter"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/limiter"
	"bramleyshunt/measurer"
	"bramleyshunt/messenger"
	"bramleyshunt/queuer"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
)

const (
	tick    = 10 * time.Millisecond // between looks at the queue without an event
	backlog = 1024                  // events waiting for the control goroutine
)

// control owns the deciders. All its fields belong to its own goroutine, which
// runs the functions it is sent one at a time.
type control struct {
	cfg    Config
	events chan func()
	done   chan struct{}

	view     *View
	measurer measurer.Measurer
	limiter  limiter.Limiter
	admitter admitter.Admitter
	retrier  retrier.Retrier
	router   router.Router
	queues   map[lane]*queuer.Queuer
	order    []lane // of queues, as they came into being
	waiting  map[string]*waiting
}

// lane names one queue.
type lane struct {
	service string
	long    bool
}

// waiting is a queued request and where its placement goes.
type waiting struct {
	r       *chainer.Request
	exclude []string
	placed  chan placement
}

// placement is a target for a request, or why there is none.
type placement struct {
	pick router.Pick
	err  error
}

func newControl(cfg Config) (*control, func()) {
	c := &control{
		cfg:      cfg,
		events:   make(chan func(), backlog),
		done:     make(chan struct{}),
		admitter: admitter.Admitter{Seed: cfg.Seed},
		retrier:  retrier.Retrier{Seed: cfg.Seed},
		router:   router.Router{Seed: cfg.Seed},
		queues:   map[lane]*queuer.Queuer{},
		waiting:  map[string]*waiting{},
	}
	stop := make(chan struct{})
	go c.run(stop)
	return c, func() {
		close(stop)
		<-c.done
	}
}

func (c *control) run(stop chan struct{}) {
	defer close(c.done)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case f := <-c.events:
			f()
		case <-t.C:
			c.look()
			c.pump()
		}
	}
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

// look takes over a new view.
func (c *control) look() {
	if v := c.cfg.View(); v != nil && v != c.view {
		c.view = v
		c.router.Update(v.Targets)
	}
}

func (c *control) queued() (n int) {
	c.do(func() { n = len(c.waiting) })
	return n
}

func (c *control) measure(r *chainer.Request) {
	c.do(func() {
		s := c.measurer.Predict(r.Model, r.Config.Models[r.Model], r.Text, r.Bound)
		r.Prompt, r.Output = s.Prompt, s.Output
	})
}

func (c *control) learn(r *chainer.Request, u messenger.Usage) {
	c.do(func() { c.measurer.Learn(r.Model, r.Text, u) })
}

func (c *control) take(r *chainer.Request, a configurer.Account) (err error) {
	c.do(func() { err = c.limiter.Take(c.cfg.Now(), r.Account, a, r.Prompt+r.Output) })
	return err
}

func (c *control) give(r *chainer.Request, spare int) {
	c.do(func() { c.limiter.Done(r.Account, spare) })
}

// admit decides on a new request and counts it towards the retry budget.
func (c *control) admit(r *chainer.Request) (err error) {
	c.do(func() {
		c.look()
		err = c.admission(r)
		if err == nil {
			c.retrier.First(r.Service, r.Config.Limits.Retries)
		}
	})
	return err
}

func (c *control) admission(r *chainer.Request) error {
	now := c.cfg.Now()
	l := lane{service: r.Service, long: c.router.IsLong(r.Prompt)}
	sum := c.router.Sum(l.service, l.long)
	if sum.Targets == 0 {
		return retry(coder.Errorf(coder.NoTarget, "service %q", r.Service), c.admitter.Retry(0))
	}
	return c.admitter.Admit(admitter.Case{
		Left: r.Deadline.Sub(now), Wait: c.wait(r, l, sum),
		Prompt: r.Prompt, Output: r.Output, Speed: sum.Speed / sum.Targets, Pace: sum.Pace,
	})
}

// wait predicts how long a new request waits for its prefill to start. While
// others wait, every target is filled up to the router's bound.
func (c *control) wait(r *chainer.Request, l lane, sum router.Sum) time.Duration {
	q := c.queues[l]
	if q == nil || q.Len() == 0 {
		return 0
	}
	ahead := q.Ahead(r.Account, r.Config.Accounts[r.Account].Share)
	return router.DefaultWait + router.Span(ahead, sum.Speed)
}

// enqueue puts a request in its queue; its placement comes on the channel.
func (c *control) enqueue(r *chainer.Request, exclude []string) *waiting {
	w := &waiting{r: r, exclude: exclude, placed: make(chan placement, 1)}
	c.do(func() {
		c.waiting[r.ID] = w
		c.queue(r).Push(&queuer.Item{
			ID: r.ID, Account: r.Account, Share: r.Config.Accounts[r.Account].Share,
			Cost: r.Prompt + r.Output, Priority: r.Priority, Deadline: r.Deadline,
		})
		c.look()
		c.pump()
	})
	return w
}

func (c *control) queue(r *chainer.Request) *queuer.Queuer {
	l := lane{service: r.Service, long: c.router.IsLong(r.Prompt)}
	q := c.queues[l]
	if q == nil {
		q = &queuer.Queuer{}
		c.queues[l] = q
		c.order = append(c.order, l)
	}
	return q
}

// abandon takes a request out of its queue. A placement made meanwhile is undone.
func (c *control) abandon(w *waiting) {
	c.do(func() {
		if c.waiting[w.r.ID] == w {
			delete(c.waiting, w.r.ID)
			c.queue(w.r).Remove(w.r.ID)
			return
		}
		select {
		case p := <-w.placed:
			if p.err == nil {
				c.router.Started(p.pick, asked(w.r, nil))
			}
		default:
		}
	})
}

// pump places as many waiting requests as targets can take now.
func (c *control) pump() {
	for _, l := range c.order {
		q := c.queues[l]
		for it := q.Peek(); it != nil && c.place(c.waiting[it.ID]); it = q.Peek() {
			q.Pop()
			delete(c.waiting, it.ID)
		}
	}
}

// place reports whether a request left the queue, with a target or without.
func (c *control) place(w *waiting) bool {
	now := c.cfg.Now()
	ask := asked(w.r, w.exclude)
	pick, ok := c.router.Pick(now, ask)
	if ok {
		c.router.Sent(now, pick, ask)
		w.placed <- placement{pick: pick}
		return true
	}
	sum := c.router.Sum(w.r.Service, c.router.IsLong(w.r.Prompt))
	if sum.Targets > len(w.exclude) {
		return false
	}
	w.placed <- placement{err: retry(coder.Errorf(coder.NoTarget, "service %q", w.r.Service), c.admitter.Retry(0))}
	return true
}

func asked(r *chainer.Request, exclude []string) router.Case {
	return router.Case{
		Service: r.Service, Prompt: r.Prompt, Output: r.Output,
		Prefix: r.Prefix, Text: r.Text, Exclude: exclude,
	}
}

// report takes a load that came with an answer.
func (c *control) report(pick router.Pick, l messenger.Load) {
	c.do(func() {
		c.router.Report(pick.Target.ID, pick.Target.Incarnation, l)
		c.pump()
	})
}

// started ends the count of a request's prompt against its target.
func (c *control) started(r *chainer.Request, pick router.Pick) {
	c.do(func() {
		c.router.Started(pick, asked(r, nil))
		c.pump()
	})
}

// again decides on another attempt after a failed one.
func (c *control) again(k retrier.Case) (delay time.Duration, err error) {
	c.do(func() { delay, err = c.retrier.Again(k) })
	return delay, err
}

// refused leaves a target alone for as long as it asked, and at least a tick.
func (c *control) refused(pick router.Pick, after time.Duration) {
	c.do(func() { c.router.Refused(pick.Target.ID, c.cfg.Now().Add(max(after, tick))) })
}

// needs returns the time from a request's placement to its last token.
func (c *control) needs(r *chainer.Request) (d time.Duration) {
	c.do(func() {
		sum := c.router.Sum(r.Service, c.router.IsLong(r.Prompt))
		if sum.Targets > 0 {
			d = c.admitter.Predict(admitter.Case{
				Prompt: r.Prompt, Output: r.Output, Speed: sum.Speed / sum.Targets, Pace: sum.Pace,
			})
		}
	})
	return d
}

// backoff returns when a request that could not be placed should come back.
func (c *control) backoff(r *chainer.Request) (d time.Duration) {
	c.do(func() {
		l := lane{service: r.Service, long: c.router.IsLong(r.Prompt)}
		d = c.admitter.Retry(c.wait(r, l, c.router.Sum(l.service, l.long)))
	})
	return d
}

// refusal reports whether a code is a target's answer that it can't take the
// request now, which costs no retry budget.
func refusal(c coder.Code) bool {
	return slices.Contains([]coder.Code{coder.Busy, coder.MemoryFull, coder.Leaving, coder.Overloaded}, c)
}
