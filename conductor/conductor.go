// Package conductor carries a request from its arrival to the end of its answer,
// whatever it came by: it passes it through the filter chain, has it placed and
// run at a target, and tries again where that is safe.
package conductor

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/chainer"
	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
	"bramleyshunt/ticketer"
	"bramleyshunt/watcher"
)

// DefaultPatience is how long a caller may take to send its request's body.
const DefaultPatience = 30 * time.Second

// elsewhereRetry is when a caller may come back that this process can't serve:
// almost at once, as other processes take new requests.
const elsewhereRetry = 50 * time.Millisecond

// Config is what a Conductor needs. Nil functions and zero fields take defaults.
type Config struct {
	Settings *setter.Setter
	View     func() *watcher.View                                             // nil: nothing is confirmed yet
	Ready    func() error                                                     // code Stale when the view can't be confirmed
	Pool     *pooler.Pooler                                                   // connections to agents
	Call     func(ctx context.Context, kind messenger.Kind, v, out any) error // asks the leading keeper
	Silence  time.Duration                                                    // bound on the answer to a reservation
	Exchange func(ctx context.Context, a *Attempt) error                      // runs an attempt; through the target's agent if nil
	Patience time.Duration                                                    // for a request's body; DefaultPatience if zero
	Saved    func(*watcher.View) float64                                      // retries that a service saves up here at most; the retrier's own if nil or zero
	Tickets  *ticketer.Ticketer                                               // sets memory aside at helpers; needed with Exchange
	Changed  func()                                                           // what this process has at targets has changed; may be nil
	Log      *logrus.Entry
	Metrics  metrics.Registry
	Now      func() time.Time
	Seed     uint64
}

// Conductor is the path of requests of one process.
type Conductor struct {
	cfg      Config
	handler  chainer.Handler
	control  *control
	meter    *meter
	claims   claimer.Claimer
	dispatch dispatcher.Dispatcher
	lookup   atomic.Pointer[tables]
	nextID   atomic.Uint64
	ctx      context.Context // of work that outlives its request
	started  time.Time
	viewed   atomic.Bool // was ready once
	held     atomic.Int64

	mu      sync.Mutex // guards what follows
	leaving bool
	active  map[string]*active
	idle    chan struct{} // closed when leaving and no request is left
	wg      conc.WaitGroup
}

// Status is a Conductor at a glance.
type Status struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	Active  int  `json:"active"` // requests in hand
	Queued  int  `json:"queued"` // of these, waiting for a target
}

// New returns a Conductor and the function that ends it. Drain first, as the
// function cancels what still runs.
func New(cfg Config) (*Conductor, func(), error) {
	cfg = defaults(cfg)
	if cfg.View == nil || cfg.Pool == nil {
		return nil, nil, coder.Errorf(coder.Internal, "conductor needs View and Pool")
	}
	cd := &Conductor{
		cfg:      cfg,
		meter:    &meter{registry: cfg.Metrics},
		claims:   claimer.Claimer{Call: cfg.Call},
		dispatch: dispatcher.Dispatcher{Pool: cfg.Pool, ReserveTimeout: cfg.Silence},
		active:   map[string]*active{},
		started:  cfg.Now(),
		idle:     make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	cd.ctx = ctx
	control, stop := newControl(cfg)
	cd.control = control
	control.spawn = func(f func(context.Context)) { cd.wg.Go(func() { f(cd.ctx) }) }
	cd.handler = cd.chain()
	return cd, func() {
		cancel()
		cd.cancelAll()
		cd.wg.Wait()
		cd.dispatch.Wait()
		if cfg.Tickets != nil {
			cfg.Tickets.Wait()
		}
		stop()
	}, nil
}

func defaults(cfg Config) Config {
	if cfg.Settings == nil {
		cfg.Settings = &setter.Setter{}
	}
	if cfg.Ready == nil {
		cfg.Ready = func() error { return nil }
	}
	if cfg.Patience <= 0 {
		cfg.Patience = DefaultPatience
	}
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &cfg.Now)
	return cfg
}

// Begin registers a request that has arrived, so that Drain waits for it, and
// gives it an id. The returned function ends it. The context ends when the
// request is cancelled. Code NotReady once the Conductor is leaving.
func (cd *Conductor) Begin(ctx context.Context) (context.Context, *chainer.Request, func(), error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &chainer.Request{ID: cd.id(), Arrived: cd.cfg.Now()}
	if err := cd.enter(r.ID, cancel); err != nil {
		cancel(nil)
		return nil, nil, nil, Retry(coder.Of(err), elsewhereRetry)
	}
	return ctx, r, func() {
		cd.leave(r.ID)
		cancel(nil)
	}, nil
}

// Do passes a request through the chain to the end of its answer. Its error is
// what the caller is told.
func (cd *Conductor) Do(ctx context.Context, r *chainer.Request) error { return cd.handler(ctx, r) }

// Count counts the outcome of a request, nil for success.
func (cd *Conductor) Count(err error) {
	if err == nil {
		cd.meter.code(coder.OK)
		return
	}
	cd.meter.code(coder.Of(err).Code)
}

// Drain turns readiness off, refuses new requests and returns when those in
// hand have ended and their claims are settled, or ctx has ended.
func (cd *Conductor) Drain(ctx context.Context) error {
	cd.mu.Lock()
	if !cd.leaving {
		cd.leaving = true
		cd.cfg.Log.WithField("active", len(cd.active)).Info("draining")
		if len(cd.active) == 0 {
			close(cd.idle)
		}
	}
	cd.mu.Unlock()
	select {
	case <-cd.idle:
		cd.wg.Wait()
		cd.dispatch.Wait()
		if cd.cfg.Tickets != nil {
			cd.cfg.Tickets.Wait()
		}
		cd.cfg.Log.Info("drained")
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the Conductor's state.
func (cd *Conductor) Status() Status {
	queued := cd.control.queued()
	ready := cd.Ready() == nil
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return Status{Ready: ready, Leaving: cd.leaving, Active: len(cd.active), Queued: queued}
}

// Ready returns nil if new requests are taken, else the code they are refused with.
func (cd *Conductor) Ready() error {
	cd.mu.Lock()
	leaving := cd.leaving
	cd.mu.Unlock()
	if leaving || cd.cfg.View() == nil {
		return Retry(coder.Errorf(coder.NotReady, ""), time.Second)
	}
	if err := cd.cfg.Ready(); err != nil {
		return Retry(coder.Of(err), elsewhereRetry) // another process may have what this one lacks
	}
	cd.viewed.Store(true)
	return nil
}

// Retry sets when a refused caller may come back, unless that is said already.
func Retry(err *coder.Error, after time.Duration) *coder.Error {
	if err.Retry == 0 {
		err.Retry = after
	}
	return err
}

func (cd *Conductor) id() string { return fmt.Sprintf("%s%d", cd.prefix(), cd.nextID.Add(1)) }

// prefix is what the ids of this process's requests and attempts begin with.
func (cd *Conductor) prefix() string {
	return fmt.Sprintf("%s-%x-", cd.cfg.Settings.Node, cd.cfg.Seed)
}
