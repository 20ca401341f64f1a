// Package agent serves entries on behalf of one target. One control goroutine
// owns the target's reservations (package reserver) and its protection against
// outdated orders (package fencer). Each answer streams on its own goroutine and
// continues for Config.OrphanTimeout after an entry's connection is lost, so
// that the entry can resume it over another connection.
package agent

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/announcer"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/driver"
	"bramleyshunt/fencer"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/reserver"
	"bramleyshunt/setter"
)

const (
	// DefaultOrphanTimeout applies when Config.OrphanTimeout is zero.
	DefaultOrphanTimeout = 5 * time.Second
	// DefaultReportInterval applies when Config.ReportInterval is zero.
	DefaultReportInterval = time.Second

	kindEngine     = "engine"
	kindPlain      = "plain"
	downRetryAfter = time.Second
)

// Config holds the agent's settings and its connections to the target and the keepers.
type Config struct {
	Settings *setter.Setter
	Driver   *driver.Driver // connects to the URL in Settings if nil
	Engine   Engine         // overrides functions of Driver
	Pool     *pooler.Pooler // connections to keepers; required if Settings names keepers
	// Call sends a request to the leading keeper. If it is nil, suspects are not reported.
	Call           func(ctx context.Context, kind messenger.Kind, v, out any) error
	Version        func() uint64 // returns the configuration version in force on this node; may be nil
	MaxBodies      int           // bytes that the bodies of all requests may have together; unbounded if zero
	OrphanTimeout  time.Duration // time without a reader after which an answer is cancelled
	ReportInterval time.Duration // time between polls of the target
	Log            *logrus.Entry
	Metrics        metrics.Registry
	Now            func() time.Time
}

// Agent serves one target. Its methods are safe for concurrent use.
type Agent struct {
	exchanges atomic.Int64 // number of exchanges being served

	cfg    Config
	engine Engine
	ops    chan func()
	ctx    context.Context
	wg     conc.WaitGroup

	// The fields up to lastReport are accessed on the control goroutine only.
	announcer  *announcer.Announcer
	reserver   *reserver.Reserver
	fencer     *fencer.Fencer
	attempts   map[string]*attempt
	ended      []*attempt // ended attempts whose answer is kept for a resume, oldest first
	health     health
	seenLapses int // number of lease lapses when the lease was last checked
	draining   bool
	standby    bool          // draining because of a standby order
	replaced   bool          // a newer agent serves the target
	drained    chan struct{} // closed once the agent drains and is idle
	lane       string
	lastReport driver.Report

	orderSlot chan struct{} // semaphore that admits one order at a time
	reportNow chan struct{} // requests a poll of the target before the next tick
}

// New starts an agent and returns a function that stops it. Stopping ends answers
// that are still streaming with code EngineFailed; call Drain first to let them
// finish.
func New(cfg Config) (*Agent, func(), error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &Agent{
		cfg: cfg, ctx: ctx, ops: make(chan func()),
		orderSlot: make(chan struct{}, 1), reportNow: make(chan struct{}, 1),
		engine: cfg.Engine.withDefaults(cfg.Driver, &cfg.Settings.Target),
		reserver: &reserver.Reserver{
			Incarnation: uint64(cfg.Now().UnixNano()),
			Memory:      cfg.Settings.Target.Memory,
			Slots:       cfg.Settings.Target.Slots,
			MaxBodies:   cfg.MaxBodies,
		},
		fencer:   &fencer.Fencer{},
		attempts: map[string]*attempt{},
		drained:  make(chan struct{}),
		health:   health{down: true},
	}
	a.wg.Go(a.control)
	stop := a.startAnnouncer()
	a.wg.Go(a.watch)
	return a, func() {
		stop()
		cancel(&coder.Error{Code: coder.EngineFailed, Run: coder.Ran, Text: "the agent stopped"})
		a.wg.Wait()
	}, nil
}

// check returns code Invalid for settings that cannot work and code Internal for
// keepers without a Pool.
func (c *Config) check() error {
	t := &c.Settings.Target
	switch {
	case t.Kind != kindEngine && t.Kind != kindPlain:
		return coder.Errorf(coder.Invalid, "target.kind: %q is neither %q nor %q", t.Kind, kindEngine, kindPlain)
	case t.URL == "" && c.Engine.Run == nil:
		return coder.Errorf(coder.Invalid, "target.url: empty")
	case len(c.Settings.Keepers) > 0 && c.Pool == nil:
		return coder.Errorf(coder.Internal, "agent.Config.Pool must be set when keepers are configured")
	default:
		return nil
	}
}

func (c Config) withDefaults() Config {
	if c.OrphanTimeout <= 0 {
		c.OrphanTimeout = DefaultOrphanTimeout
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = DefaultReportInterval
	}
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	if c.Driver == nil {
		c.Driver = &driver.Driver{BaseURL: c.Settings.Target.URL}
	}
	return c
}

// startAnnouncer starts announcing the target to every configured keeper. It returns
// a function that stops the announcements.
func (a *Agent) startAnnouncer() func() {
	ann, stop := announcer.New(announcer.Config{
		Keepers:     a.cfg.Settings.Keepers,
		Pool:        a.cfg.Pool,
		Target:      a.Target,
		OnAnnounced: a.handleAnnounced,
		OnError:     a.handleRefusal,
		Now:         a.cfg.Now,
	})
	_ = a.onControl(func(time.Time) { a.announcer = ann })
	return stop
}

// announceNow announces the target without waiting for the next renewal. It runs on
// the control goroutine.
func (a *Agent) announceNow() {
	if a.announcer != nil {
		a.announcer.RenewNow()
	}
}

// control runs the operations that access the control state, one at a time.
func (a *Agent) control() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case op := <-a.ops:
			op()
			a.completeDrain()
		}
	}
}

// onControl runs f on the control goroutine and waits until it returns. It returns
// code NotReady if the agent has stopped.
func (a *Agent) onControl(f func(now time.Time)) error {
	done := make(chan struct{})
	op := func() {
		defer close(done)
		f(a.cfg.Now())
	}
	select {
	case a.ops <- op:
		<-done
		return nil
	case <-a.ctx.Done():
		return coder.Errorf(coder.NotReady, "agent stopped")
	}
}

// completeDrain closes drained once a draining agent has no reservation, run or hold.
func (a *Agent) completeDrain() {
	if !a.draining || !a.reserver.Idle(a.cfg.Now()) {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

// targetID returns the id of the target: the configured one, or the name of the node.
func (a *Agent) targetID() string {
	return cmp.Or(a.cfg.Settings.Target.ID, a.cfg.Settings.Node)
}

// Target returns the target's current state as the agent announces it.
func (a *Agent) Target() messenger.Target {
	s := a.cfg.Settings
	t := messenger.Target{
		ID: a.targetID(), Service: s.Target.Service, Model: s.Target.Model,
		Address: s.Listen, Zone: s.Zone, Region: s.OwnRegion(), MayReturn: true,
	}
	if a.cfg.Version != nil {
		t.Config = a.cfg.Version()
	}
	_ = a.onControl(func(now time.Time) {
		t.Incarnation = a.reserver.Incarnation
		t.Leaving = a.draining || a.replaced || a.health.down
		t.Standby = a.standby && !a.replaced && !a.health.down
		t.Fence = a.fencer.Floor()
		t.Load = a.reserver.Load(now)
		t.Lane = a.lane
		if a.lastReport.Model != "" {
			t.Model = a.lastReport.Model
		} else {
			t.Empty = s.Target.Kind == kindEngine && a.lastReport.Incarnation != 0
		}
		t.Version = a.lastReport.Version
		t.Adapters = a.lastReport.Adapters
	})
	return t
}

// count increments the agent's counter of that name.
func (a *Agent) count(name string) {
	metrics.GetOrRegisterCounter("agent."+name, a.cfg.Metrics).Inc(1)
}
