// Package entry serves callers over HTTP: it reads a request, passes it through
// the filter chain, has it run at a target and streams the answer back.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
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
	"bramleyshunt/watcher"
)

// Config is what an Entry needs. Nil functions and zero fields take defaults.
type Config struct {
	Settings *setter.Setter
	View     func() *watcher.View                                             // nil: nothing is confirmed yet
	Ready    func() error                                                     // code Stale when the view can't be confirmed
	Pool     *pooler.Pooler                                                   // connections to agents
	Call     func(ctx context.Context, kind messenger.Kind, v, out any) error // asks the leading keeper
	Silence  time.Duration                                                    // bound on the answer to a reservation
	Patience time.Duration                                                    // for a request's body; DefaultPatience if zero
	Log      *logrus.Entry
	Metrics  metrics.Registry
	Now      func() time.Time
	Seed     uint64
}

// Entry is the shell between callers and agents.
type Entry struct {
	cfg      Config
	mux      *httprouter.Router
	handler  chainer.Handler
	control  *control
	meter    *meter
	claims   claimer.Claimer
	dispatch dispatcher.Dispatcher
	accounts atomic.Pointer[accounts]
	nextID   atomic.Uint64
	ctx      context.Context // of work that outlives its request

	mu      sync.Mutex // guards what follows
	leaving bool
	active  map[string]*active
	idle    chan struct{} // closed when leaving and no request is left
	wg      conc.WaitGroup
}

// Status is an Entry at a glance.
type Status struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	Active  int  `json:"active"` // requests in hand
	Queued  int  `json:"queued"` // of these, waiting for a target
}

// New returns an Entry and the function that ends it. Drain first, as the
// function cancels what still runs.
func New(cfg Config) (*Entry, func(), error) {
	cfg = defaults(cfg)
	if cfg.View == nil || cfg.Pool == nil {
		return nil, nil, coder.Errorf(coder.Internal, "entry needs View and Pool")
	}
	e := &Entry{
		cfg:      cfg,
		meter:    &meter{registry: cfg.Metrics},
		claims:   claimer.Claimer{Call: cfg.Call},
		dispatch: dispatcher.Dispatcher{Pool: cfg.Pool, Silence: cfg.Silence},
		active:   map[string]*active{},
		idle:     make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx = ctx
	control, stop := newControl(cfg)
	e.control = control
	control.spawn = func(f func(context.Context)) { e.wg.Go(func() { f(e.ctx) }) }
	e.handler = e.chain()
	e.mux = e.routes()
	return e, func() {
		cancel()
		e.cancelAll()
		e.wg.Wait()
		e.dispatch.Wait()
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

// ServeHTTP serves callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Drain turns readiness off, refuses new requests and returns when those in
// hand have ended and their claims are settled, or ctx has ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.leaving {
		e.leaving = true
		e.cfg.Log.WithField("active", len(e.active)).Info("draining")
		if len(e.active) == 0 {
			close(e.idle)
		}
	}
	e.mu.Unlock()
	select {
	case <-e.idle:
		e.wg.Wait()
		e.dispatch.Wait()
		e.cfg.Log.Info("drained")
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the Entry's state.
func (e *Entry) Status() Status {
	queued := e.control.queued()
	ready := e.ready() == nil
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{Ready: ready, Leaving: e.leaving, Active: len(e.active), Queued: queued}
}

// ready returns nil if new requests are taken, else the code they are refused with.
func (e *Entry) ready() error {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving || e.cfg.View() == nil {
		return retry(coder.Errorf(coder.NotReady, ""), time.Second)
	}
	if err := e.cfg.Ready(); err != nil {
		return retry(coder.Of(err), time.Second)
	}
	return nil
}

func retry(err *coder.Error, after time.Duration) *coder.Error {
	if err.Retry == 0 {
		err.Retry = after
	}
	return err
}
