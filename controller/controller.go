// Package controller runs the scaler and the placer once a second on the leading keeper,
// adds fencing tokens to their orders and sends them.
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
	// Interval is the time between two runs of the scaler and the placer.
	Interval = time.Second
	// SettleTime is the time for which a new leader waits before it sends orders. It
	// exceeds the lease of a target, so that every live target has announced itself.
	SettleTime = 5 * time.Second
	// OrderTimeout is the maximum time to get a fencing token for an order and to send it.
	OrderTimeout = 5 * time.Second
)

// Config configures a Controller. The functions are called from several goroutines. All
// are required except Now.
type Config struct {
	Targets func() []messenger.Target                                // announced targets whose leases have not expired
	Leading func() bool                                              // reports whether this keeper leads and no other can
	View    func() *configurer.Configurer                            // the configuration in force; nil if none
	Fence   func(ctx context.Context, target string) (uint64, error) // returns a new fencing token
	Send    func(ctx context.Context, addr string, o messenger.Order) error
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// Controller brings the targets to the desired state while its keeper leads.
type Controller struct {
	cfg          Config
	leadingSince time.Time // start of the leadership; zero while this keeper does not lead
	scaler       scaler.Scaler
	placer       placer.Placer
	desired      map[scaler.Key]int // replicas last logged

	wg      conc.WaitGroup
	mu      sync.Mutex
	sending map[string]bool // targets to which an order is being sent
}

// New starts a Controller. The returned function stops it and waits until its goroutines
// have ended.
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
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// tick runs the scaler and the placer once. At the start of a leadership it discards the
// state of the previous one.
func (c *Controller) tick(ctx context.Context) {
	now := c.cfg.Now()
	if !c.cfg.Leading() {
		if !c.leadingSince.IsZero() {
			c.cfg.Log.Info("scaler and placer stopped: this keeper does not lead any more")
		}
		c.leadingSince = time.Time{}
		return
	}
	if c.leadingSince.IsZero() {
		c.leadingSince = now
		c.scaler, c.placer, c.desired = scaler.Scaler{}, placer.Placer{}, map[scaler.Key]int{}
		c.cfg.Log.Info("scaler and placer started: this keeper leads")
	}
	view := c.cfg.View()
	if now.Sub(c.leadingSince) < SettleTime || view == nil {
		return
	}
	targets := c.cfg.Targets()
	desired := c.scaler.Update(now, scaler.Samples(targets), view.Services)
	c.recordDesired(desired)
	addresses := make(map[string]string, len(targets))
	for i := range targets {
		addresses[targets[i].ID] = targets[i].Address
	}
	for _, o := range c.placer.Reconcile(now, desired, targets, view) {
		c.dispatch(ctx, addresses[o.Target], o)
	}
}

// recordDesired updates the metrics of the desired replicas and logs changes.
func (c *Controller) recordDesired(desired []scaler.Desired) {
	for _, d := range desired {
		name := "controller.wanted." + d.Key.Service
		if d.Key.Lane != "" {
			name += "." + d.Key.Lane
		}
		metrics.GetOrRegisterGauge(name, c.cfg.Metrics).Update(int64(d.Replicas))
		if c.desired[d.Key] != d.Replicas {
			c.desired[d.Key] = d.Replicas
			c.cfg.Log.WithFields(logrus.Fields{"service": d.Key.Service, "lane": d.Key.Lane, "replicas": d.Replicas}).Info("desired number of replicas changed")
		}
	}
}

// dispatch sends an order in the background, unless another one is being sent to the same
// target. In that case the placer repeats the order later.
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

// send adds a fencing token to an order and sends it.
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
