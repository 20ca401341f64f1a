// Package controller runs the scaler and the placer on the leading keeper, once a
// second, and has their orders numbered and sent.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/placer"
	"bramleyshunt/scaler"
)

const (
	// Interval is the time between two decisions.
	Interval = time.Second
	// SettleTime is the time for which a new leader listens before it decides. It
	// exceeds a target's lease, so that every live target has announced itself.
	SettleTime = 5 * time.Second
	// OrderTimeout bounds the time in which an order is numbered and sent.
	OrderTimeout = 5 * time.Second
)

// Config is what a Controller needs. Functions are called from several
// goroutines; none may be nil but Now.
type Config struct {
	Targets func() []messenger.Target // announced, their leases running
	Leading func() bool               // whether this keeper surely leads
	View    func() *configurer.Configurer
	Fence   func(ctx context.Context, target string) (uint64, error)
	Send    func(ctx context.Context, addr string, o messenger.Order) error
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// Controller drives the targets to the wanted state while its keeper leads.
type Controller struct {
	cfg          Config
	leadingSince time.Time // of leading; zero while another leads
	scaler       scaler.Scaler
	placer       placer.Placer
	desired      map[scaler.Key]int

	wg      conc.WaitGroup
	mu      sync.Mutex
	sending map[string]bool // targets with an order on its way
}

// New starts a Controller. The returned function stops it and waits for its end.
func New(cfg Config) (*Controller, func()) {
	c := &Controller{cfg: cfg.withDefaults(), sending: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	c.wg.Go(func() { c.run(ctx) })
	return c, func() {
		cancel()
		c.wg.Wait()
	}
}

func (c Config) withDefaults() Config {
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	return c
}

func (c *Controller) run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.tick(ctx)
		}
	}
}

// tick decides once. What an earlier leadership knew is dropped.
func (c *Controller) tick(ctx context.Context) {
	now := c.cfg.Now()
	if !c.cfg.Leading() {
		if !c.leadingSince.IsZero() {
			c.cfg.Log.Info("controllers stop")
		}
		c.leadingSince = time.Time{}
		return
	}
	if c.leadingSince.IsZero() {
		c.leadingSince = now
		c.scaler, c.placer, c.desired = scaler.Scaler{}, placer.Placer{}, map[scaler.Key]int{}
		c.cfg.Log.Info("controllers start")
	}
	view := c.cfg.View()
	if now.Sub(c.leadingSince) < SettleTime || view == nil {
		return
	}
	targets := c.cfg.Targets()
	wants := c.scaler.Update(now, scaler.Samples(targets), view.Services)
	c.recordDesired(wants)
	address := make(map[string]string, len(targets))
	for i := range targets {
		address[targets[i].ID] = targets[i].Address
	}
	for _, o := range c.placer.Reconcile(now, wants, targets, view) {
		c.dispatch(ctx, address[o.Target], o)
	}
}

// recordDesired shows the wanted numbers.
func (c *Controller) recordDesired(wants []scaler.Desired) {
	for _, w := range wants {
		name := "controller.wanted." + w.Key.Service
		if w.Key.Lane != "" {
			name += "." + w.Key.Lane
		}
		metrics.GetOrRegisterGauge(name, c.cfg.Metrics).Update(int64(w.Replicas))
		if c.desired[w.Key] != w.Replicas {
			c.desired[w.Key] = w.Replicas
			c.cfg.Log.WithFields(logrus.Fields{"service": w.Key.Service, "lane": w.Key.Lane, "replicas": w.Replicas}).Info("wanted replicas change")
		}
	}
}

// dispatch numbers and sends an order, unless another is on its way to the target:
// then the placer gives it again.
func (c *Controller) dispatch(ctx context.Context, addr string, o messenger.Order) {
	c.mu.Lock()
	busy := c.sending[o.Target]
	c.sending[o.Target] = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.wg.Go(func() {
		defer func() {
			c.mu.Lock()
			delete(c.sending, o.Target)
			c.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
		defer cancel()
		c.count("orders." + o.Verb)
		if err := c.send(ctx, addr, o); err != nil {
			c.count("failed." + coder.Of(err).Code.String())
		}
	})
}

func (c *Controller) send(ctx context.Context, addr string, o messenger.Order) error {
	fence, err := c.cfg.Fence(ctx, o.Target)
	if err != nil {
		return err
	}
	o.Fence = fence
	return c.cfg.Send(ctx, addr, o)
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter("controller."+name, c.cfg.Metrics).Inc(1)
}
