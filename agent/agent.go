// Package agent serves entries on behalf of one target. It is the shell around
// the target's authority (package reserver) and its guard against old orders
// (package fencer): both live on one control goroutine. Answers stream on
// goroutines of their own, and go on for a while when an entry's connection is
// lost, so that the entry can resume them over another.
package agent

import (
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
	// DefaultOrphan is how long an answer goes on without a reader when Config.Orphan is zero.
	DefaultOrphan = 5 * time.Second
	// DefaultEvery is the time between reports of the target when Config.Every is zero.
	DefaultEvery = time.Second

	kindEngine = "engine"
	kindPlain  = "plain"
	retryDown  = time.Second
)

// Config says what the agent stands for and whom it talks to.
type Config struct {
	Settings *setter.Setter
	Driver   *driver.Driver // made from the settings if nil
	Engine   Engine         // functions that replace the Driver's
	Pool     *pooler.Pooler // towards keepers
	// Call asks the leading keeper; suspects are not reported if nil.
	Call    func(ctx context.Context, kind messenger.Kind, v, out any) error
	Version func() uint64 // configuration in force here; may be nil
	Orphan  time.Duration // without a reader before an answer is given up
	Every   time.Duration // between reports of the target
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// Agent serves one target.
type Agent struct {
	exchanges atomic.Int64 // streams being served

	cfg    Config
	engine Engine
	ops    chan func()
	ctx    context.Context
	wg     conc.WaitGroup

	// On the control goroutine only.
	announce *announcer.Announcer
	reserver *reserver.Reserver
	fencer   *fencer.Fencer
	attempts map[string]*attempt
	ended    []*attempt // whose answer is kept for a resume, oldest first
	health   health
	lapses   int // of the lease, as far as the fencer knows
	draining bool
	standby  bool          // draining by a standby order
	replaced bool          // a newer agent holds the target
	drained  chan struct{} // closed when draining and idle
	lane     string
	report   driver.Report

	ordering chan struct{} // one order at a time
	urgent   chan struct{} // asks for a report at once
}

// New starts an agent. The returned function stops it: answers still streaming
// are cut off, so call Drain first.
func New(cfg Config) (*Agent, func(), error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &Agent{
		cfg: cfg, ctx: ctx, ops: make(chan func()),
		ordering: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		engine: cfg.Engine.or(cfg.Driver, &cfg.Settings.Target),
		reserver: &reserver.Reserver{
			Incarnation: uint64(cfg.Now().UnixNano()),
			Memory:      cfg.Settings.Target.Memory,
			Slots:       cfg.Settings.Target.Slots,
		},
		fencer:   &fencer.Fencer{},
		attempts: map[string]*attempt{},
		drained:  make(chan struct{}),
		health:   health{down: true},
	}
	a.wg.Go(a.control)
	stop := a.join()
	a.wg.Go(a.watch)
	return a, func() {
		stop()
		cancel(&coder.Error{Code: coder.EngineFailed, Run: coder.Ran, Text: "the agent stopped"})
		a.wg.Wait()
	}, nil
}

// check returns code Invalid for settings that no agent can work with.
func (c *Config) check() error {
	t := &c.Settings.Target
	switch {
	case t.Kind != kindEngine && t.Kind != kindPlain:
		return coder.Errorf(coder.Invalid, "target.kind: %q is neither %q nor %q", t.Kind, kindEngine, kindPlain)
	case t.URL == "" && c.Engine.Run == nil:
		return coder.Errorf(coder.Invalid, "target.url: empty")
	case len(c.Settings.Keepers) > 0 && c.Pool == nil:
		return coder.Errorf(coder.Internal, "an agent with keepers needs a Pool")
	default:
		return nil
	}
}

func (c Config) withDefaults() Config {
	if c.Orphan <= 0 {
		c.Orphan = DefaultOrphan
	}
	if c.Every <= 0 {
		c.Every = DefaultEvery
	}
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	if c.Driver == nil {
		c.Driver = &driver.Driver{BaseURL: c.Settings.Target.URL}
	}
	return c
}

// join announces the target at every keeper of the settings.
func (a *Agent) join() func() {
	announce, stop := announcer.New(announcer.Config{
		Keepers: a.cfg.Settings.Keepers,
		Pool:    a.cfg.Pool,
		Target:  a.Target,
		Learned: a.learned,
		Refused: a.refused,
		Now:     a.cfg.Now,
	})
	_ = a.step(func(time.Time) { a.announce = announce })
	return stop
}

// kick announces at once, on the control goroutine.
func (a *Agent) kick() {
	if a.announce != nil {
		a.announce.Kick()
	}
}

// control runs every access to the control state.
func (a *Agent) control() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case op := <-a.ops:
			op()
			a.settle()
		}
	}
}

// step runs f on the control goroutine and waits for it. It returns code
// NotReady if the agent has stopped.
func (a *Agent) step(f func(now time.Time)) error {
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

// settle ends a drain once nothing is left.
func (a *Agent) settle() {
	if !a.draining || !a.reserver.Idle(a.cfg.Now()) {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

// Target returns what the agent announces.
func (a *Agent) Target() messenger.Target {
	s := a.cfg.Settings
	t := messenger.Target{
		ID: s.Target.ID, Service: s.Target.Service, Model: s.Target.Model,
		Address: s.Listen, Zone: s.Zone,
	}
	if t.ID == "" {
		t.ID = s.Node
	}
	if a.cfg.Version != nil {
		t.Config = a.cfg.Version()
	}
	_ = a.step(func(now time.Time) {
		t.Incarnation = a.reserver.Incarnation
		t.Leaving = a.draining || a.replaced || a.health.down
		t.Standby = a.standby && !a.replaced && !a.health.down
		t.Fence = a.fencer.Highest()
		t.Load = a.reserver.Load(now)
		t.Lane = a.lane
		if a.report.Model != "" {
			t.Model = a.report.Model
		} else {
			t.Empty = s.Target.Kind == kindEngine && a.report.Incarnation != 0
		}
		t.Version = a.report.Version
		t.Adapters = a.report.Adapters
	})
	return t
}

// count adds one to a counter.
func (a *Agent) count(name string) {
	metrics.GetOrRegisterCounter("agent."+name, a.cfg.Metrics).Inc(1)
}
