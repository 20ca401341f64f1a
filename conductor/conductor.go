// Package conductor drives a request from its arrival to the end of its answer,
// whichever API it arrived by: it applies the filter chain, has the request placed and
// run at a target, and retries it where that is safe.
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

	"bramleyshunt/allocator"
	"bramleyshunt/bufferer"
	"bramleyshunt/chainer"
	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
	"bramleyshunt/switcher"
	"bramleyshunt/watcher"
)

// DefaultBodyTimeout bounds how long a caller may take to send a request body.
const DefaultBodyTimeout = 30 * time.Second

// notReadyRetryAfter is when a caller may retry that this process cannot serve. It is
// short because other processes accept new requests.
const notReadyRetryAfter = 50 * time.Millisecond

// Config configures a Conductor. View and Pool are required; other nil functions and
// zero fields select defaults.
type Config struct {
	Settings       *setter.Setter
	View           func() *watcher.View                                               // the current view; returns nil until one is confirmed
	Ready          func() error                                                       // fails with code Stale if the view cannot be confirmed
	Pool           *pooler.Pooler                                                     // connections to agents
	Call           func(ctx context.Context, kind messenger.Kind, v, out any) error   // sends a request to the leading keeper
	ReserveTimeout time.Duration                                                      // for the answer to a reservation; the dispatcher's default if zero
	Exchange       func(ctx context.Context, a *Attempt) error                        // runs an attempt; nil runs it through the target's agent
	Bodies         *bufferer.Bufferer                                                 // reads the bodies of requests; one of its own if nil
	BodyTimeout    time.Duration                                                      // for receiving a request body; DefaultBodyTimeout if zero
	RetryRatio     float64                                                            // retries that a request earns its service if the configuration sets none; the retrier's default if zero
	MaxRetryBudget func(*watcher.View) float64                                        // max retry budget of a service in this process; the retrier's default if nil or zero
	Entries        func(*watcher.View) []string                                       // node names of the live entries in a view; nil stands for this process alone
	RetryWindow    time.Duration                                                      // after which spent retries are given back, and in which the budget holds across restarts; zero for neither
	Allocator      *allocator.Allocator                                               // reserves memory at helpers; required with Exchange
	Disabled       switcher.Switcher                                                  // parts of the policy that are switched off
	IDPerStart     bool                                                               // targets use a new id at each start
	EjectFailing   bool                                                               // take targets that break off requests out of use for a time
	ColdOverage    float64                                                            // factor of configurer.Service.Cold that a target gets in any one second at most; 1 if lower
	ColdSlack      float64                                                            // requests that it may get beyond that
	SendsChanged   func()                                                             // called when the result of Sends or Limits has changed; may be nil
	Place          func(context.Context, *messenger.Place) (*messenger.Placed, error) // asks the entry that places requests for this one; nil without an error if there is none, nil if there never is
	Log            *logrus.Entry
	Metrics        metrics.Registry
	Now            func() time.Time
	Seed           uint64
}

// Conductor handles the requests of one process.
type Conductor struct {
	cfg          Config
	handler      chainer.Handler
	control      *control
	meter        *meter
	claims       claimer.Claimer
	parts        *partMemory
	dispatch     dispatcher.Dispatcher
	cachedTables atomic.Pointer[tables]
	nextID       atomic.Uint64
	ctx          context.Context // for work that outlives its request
	started      time.Time
	placeAfter   atomic.Int64 // Config.Place is not called before, nanoseconds since the Unix epoch
	wasReady     atomic.Bool  // Ready has succeeded at least once
	heldRequests atomic.Int64 // requests waiting in AwaitReady

	mu      sync.Mutex // guards the fields below
	leaving bool
	active  map[string]*active // by request ID
	drained chan struct{}      // closed once leaving is set and no request is active
	wg      conc.WaitGroup
}

// Status summarizes the state of a Conductor.
type Status struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	Active  int  `json:"active"` // requests in progress
	Queued  int  `json:"queued"` // active requests that wait for a target
}

// New returns a Conductor and a function that stops it. The function cancels requests
// that are still running; call Drain first to let them finish.
func New(cfg Config) (*Conductor, func(), error) {
	cfg = defaults(cfg)
	if cfg.View == nil || cfg.Pool == nil {
		return nil, nil, coder.Errorf(coder.Internal, "conductor: View and Pool are required")
	}
	cd := &Conductor{
		cfg:      cfg,
		meter:    &meter{registry: cfg.Metrics},
		claims:   claimer.Claimer{Call: cfg.Call},
		parts:    newPartMemory(),
		dispatch: dispatcher.Dispatcher{Pool: cfg.Pool, ReserveTimeout: cfg.ReserveTimeout},
		active:   map[string]*active{},
		started:  cfg.Now(),
		drained:  make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	cd.ctx = ctx
	control, stop := newControl(cfg)
	cd.control = control
	control.spawn = func(f func(context.Context)) { cd.wg.Go(func() { f(cd.ctx) }) }
	control.adopt = cd.adoptIsolated
	cd.handler = cd.chain()
	return cd, func() {
		cancel()
		cd.Abort()
		cd.wg.Wait()
		cd.dispatch.Wait()
		if cfg.Allocator != nil {
			cfg.Allocator.Wait()
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
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = DefaultBodyTimeout
	}
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &cfg.Now)
	return cfg
}

// Begin registers a request that has arrived, so that Drain waits for it, and assigns
// it an ID. The returned function unregisters it, and the returned context ends when
// the request is cancelled. Begin fails with code NotReady once the Conductor is
// leaving.
func (cd *Conductor) Begin(ctx context.Context) (context.Context, *chainer.Request, func(), error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &chainer.Request{ID: cd.newRequestID(), Arrived: cd.cfg.Now()}
	if err := cd.register(r.ID, cancel); err != nil {
		cancel(nil)
		return nil, nil, nil, withRetryAfter(coder.Of(err), notReadyRetryAfter)
	}
	return ctx, r, func() {
		cd.unregister(r.ID)
		cancel(nil)
		if r.Release != nil {
			r.Release()
		}
	}, nil
}

// Do passes a request through the filter chain and returns at the end of its answer.
// The error is the one to report to the caller.
func (cd *Conductor) Do(ctx context.Context, r *chainer.Request) error { return cd.handler(ctx, r) }

// Count adds the outcome of a request to the metrics; nil means success.
func (cd *Conductor) Count(err error) {
	if err == nil {
		cd.meter.code(coder.OK)
		return
	}
	cd.meter.code(coder.Of(err).Code)
}

// Drain turns readiness off, refuses new requests and waits until the active ones have
// ended and their claims are settled. It returns the error of ctx if that ends first.
func (cd *Conductor) Drain(ctx context.Context) error {
	cd.mu.Lock()
	if !cd.leaving {
		cd.leaving = true
		cd.cfg.Log.WithField("active", len(cd.active)).Info("draining")
		if len(cd.active) == 0 {
			close(cd.drained)
		}
	}
	cd.mu.Unlock()
	select {
	case <-cd.drained:
		cd.wg.Wait()
		cd.dispatch.Wait()
		if cd.cfg.Allocator != nil {
			cd.cfg.Allocator.Wait()
		}
		cd.cfg.Log.Info("drained")
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the current state.
func (cd *Conductor) Status() Status {
	queued := cd.control.queued()
	ready := cd.Ready() == nil
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return Status{Ready: ready, Leaving: cd.leaving, Active: len(cd.active), Queued: queued}
}

// Ready returns nil if new requests are accepted, else the error to refuse them with.
func (cd *Conductor) Ready() error {
	cd.mu.Lock()
	leaving := cd.leaving
	cd.mu.Unlock()
	if leaving || cd.cfg.View() == nil {
		return withRetryAfter(coder.Errorf(coder.NotReady, ""), time.Second)
	}
	if err := cd.cfg.Ready(); err != nil {
		return withRetryAfter(coder.Of(err), notReadyRetryAfter) // another process may have a confirmed view
	}
	cd.wasReady.Store(true)
	return nil
}

// withRetryAfter sets the delay after which a refused caller may retry, unless err
// already has one.
func withRetryAfter(err *coder.Error, after time.Duration) *coder.Error {
	if err.Retry == 0 {
		err.Retry = after
	}
	return err
}

func (cd *Conductor) newRequestID() string {
	return fmt.Sprintf("%s%d", cd.idPrefix(), cd.nextID.Add(1))
}

// idPrefix returns the common prefix of the request and attempt IDs of this process.
func (cd *Conductor) idPrefix() string {
	return fmt.Sprintf("%s-%x-", cd.cfg.Settings.Node, cd.cfg.Seed)
}
