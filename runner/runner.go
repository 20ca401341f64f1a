// Package runner builds the roles of one process from its settings and ties
// them together: one listener for the system's own processes, one for callers,
// one for operators, and one order of shutdown.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/agent"
	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/conductor"
	"bramleyshunt/entry"
	"bramleyshunt/keeper"
	"bramleyshunt/locator"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/publisher"
	"bramleyshunt/recorder"
	"bramleyshunt/setter"
	"bramleyshunt/sharer"
	"bramleyshunt/ticketer"
	"bramleyshunt/watcher"
)

// Config says what to run.
type Config struct {
	Settings  *setter.Setter
	Key       []byte // fleet key
	Log       *logrus.Entry
	Metrics   metrics.Registry
	Fatal     func(error) // a fault that ends the process; may be called more than once
	Listeners Listeners

	Read     merger.Reader                                         // of configuration files; merger.Merge if nil
	Exchange func(ctx context.Context, a *conductor.Attempt) error // runs attempts; through agents if nil
	Tickets  *ticketer.Ticketer                                    // sets memory aside at targets, for Exchange
	Saved    float64                                               // retries that all entries together save up for a service; the retrier's own each if zero
	Files    recorder.Files                                        // of the keeper; the operating system's if zero
	Stale    time.Duration                                         // how long a view holds without a confirmation; watcher.StaleAfter if zero
	Election time.Duration                                         // least time without a leader before an election; replicator.DefaultElection if zero
}

// Listeners may be opened beforehand; those left nil are opened at the
// addresses in the settings.
type Listeners struct {
	Peers net.Listener // the system's own processes
	HTTP  net.Listener // callers
	Admin net.Listener // operators
}

// Runner is one running process.
type Runner struct {
	Entry  *entry.Entry   // nil without that role
	Agent  *agent.Agent   // nil without that role
	Keeper *keeper.Keeper // nil without that role

	Publisher *publisher.Publisher // nil without a Keeper
	Applier   *applier.Applier     // nil without a Keeper

	cfg      Config
	pool     *pooler.Pooler
	locator  *locator.Locator
	sharer   atomic.Pointer[sharer.Sharer]
	watcher  *watcher.Watcher
	proposer *proposer.Proposer
	handlers []handler
	closers  []func()
	ctx      context.Context
	stop     context.CancelFunc
	wg       conc.WaitGroup
}

// handler serves a stream if the kind of its first message is its own.
type handler func(context.Context, *muxer.Stream, muxer.Message) bool

// New starts the process. The returned function stops it at once; call Drain
// first for a graceful shutdown.
func New(cfg Config) (*Runner, func(), error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if err := cfg.check(); err != nil {
		return nil, nil, err
	}
	r := &Runner{cfg: cfg}
	r.ctx, r.stop = context.WithCancel(context.Background())
	for _, start := range []func() error{r.startPool, r.startKeeper, r.startWatcher, r.startAgent, r.startEntry, r.startListeners} {
		if err := start(); err != nil {
			r.close()
			return nil, nil, err
		}
	}
	return r, sync.OnceFunc(r.close), nil
}

func (c *Config) check() error {
	s := c.Settings
	switch {
	case s.Node == "":
		return coder.Errorf(coder.Invalid, "settings: node: must name this process")
	case len(s.Roles) == 0:
		return coder.Errorf(coder.Invalid, "settings: roles: must name at least one of entry, agent, keeper")
	case len(s.Keepers) == 0:
		return coder.Errorf(coder.Invalid, "settings: keepers: must name at least one keeper")
	}
	for _, role := range s.Roles {
		if role != setter.RoleEntry && role != setter.RoleAgent && role != setter.RoleKeeper {
			return coder.Errorf(coder.Invalid, "settings: roles: unknown role %q", role)
		}
	}
	return nil
}

// Call asks the leading keeper.
func (r *Runner) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	return r.proposer.Call(ctx, kind, v, out)
}

// Fresh returns nil if a quorum has confirmed this process's view of late, else
// code Stale.
func (r *Runner) Fresh() error { return r.watcher.Ready() }

// InForce returns the version that is in force, zero for none, and how long it holds
// unless it is confirmed again.
func (r *Runner) InForce() (version uint64, left time.Duration) {
	if v := r.watcher.View(); v != nil {
		version = v.Version
	}
	return version, r.watcher.ValidFor()
}

// Seed replaces the keepers that the settings name.
func (r *Runner) Seed(keepers []setter.Keeper) { r.locator.SetSeeds(keepers) }

// own registers a clean-up function; they run in reverse order.
func (r *Runner) own(closer func()) { r.closers = append(r.closers, closer) }

func (r *Runner) close() {
	r.stop()
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	r.wg.Wait()
}

// Drain shuts the process down gracefully. Readiness goes off first, so that
// the balancer and the entries look elsewhere; it returns when nothing runs
// any more, or with the error of ctx.
func (r *Runner) Drain(ctx context.Context) error {
	if r.Agent != nil {
		if err := r.Agent.Drain(ctx); err != nil {
			return fmt.Errorf("drain agent: %w", err)
		}
	}
	if r.Entry != nil {
		if err := r.Entry.Drain(ctx); err != nil {
			return fmt.Errorf("drain entry: %w", err)
		}
	}
	r.retire(ctx)
	return nil
}

// retire hands the leadership over. Keepers that can't take it elect a leader
// after an election timeout, as after a kill, so a failure costs nothing more.
func (r *Runner) retire(ctx context.Context) {
	if r.Keeper == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retireLimit)
	defer cancel()
	_ = r.Keeper.TransferLeadership(ctx)
}

// dispatch hands a stream to the role that knows its first message.
func (r *Runner) dispatch(ctx context.Context, s *muxer.Stream) {
	first, err := s.Receive(ctx)
	if err != nil {
		return
	}
	for _, h := range r.handlers {
		if h(ctx, s, first) {
			return
		}
	}
	_ = s.Fail("", errUnknownKind(first.Kind))
}

func (r *Runner) serveHTTP(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	r.own(func() { _ = srv.Close() })
	r.wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.fatal(fmt.Errorf("serve %s: %w", l.Addr(), err))
		}
	})
}

func (r *Runner) fatal(err error) {
	if r.cfg.Fatal != nil {
		r.cfg.Fatal(err)
	}
}

const (
	headerTimeout = 10 * time.Second
	retireLimit   = 3 * time.Second
	heartbeats    = 6 // in an election timeout that is set, as in the default one
)
