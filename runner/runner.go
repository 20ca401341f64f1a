// Package runner builds the roles of one process from its settings and connects
// them: it opens one listener for other processes of the fleet, one for callers
// and one for operators, and shuts all parts down in a fixed order.
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

	"bramleyshunt/acceptor"
	"bramleyshunt/agent"
	"bramleyshunt/allocator"
	"bramleyshunt/applier"
	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
	"bramleyshunt/conductor"
	"bramleyshunt/entry"
	"bramleyshunt/evacuator"
	"bramleyshunt/keeper"
	"bramleyshunt/locator"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/provisioner"
	"bramleyshunt/publisher"
	"bramleyshunt/recorder"
	"bramleyshunt/setter"
	"bramleyshunt/sharer"
	"bramleyshunt/switcher"
	"bramleyshunt/watcher"
)

// Config configures a Runner.
type Config struct {
	Settings  *setter.Setter
	Key       []byte // fleet key
	Log       *logrus.Entry
	Metrics   metrics.Registry
	Fatal     func(error) // receives faults that end the process; may be called more than once
	Listeners Listeners
	Limits    provisioner.Provisioner // of the process

	Read             merger.Reader                                         // reads configuration files; merger.Merge if nil
	Exchange         func(ctx context.Context, a *conductor.Attempt) error // runs an attempt; nil runs it through the target's agent
	IDPerStart       bool                                                  // targets use a new id at each start
	ColdOverage      float64                                               // see conductor.Config
	ColdSlack        float64                                               // see conductor.Config
	Allocator        *allocator.Allocator                                  // reserves memory at targets; used with Exchange
	RetryRatio       float64                                               // retries that a request earns its service if the configuration sets none; the retrier's default if zero
	EjectFailing     bool                                                  // entries take targets that break off requests out of use for a time
	RetryWindow      time.Duration                                         // after which entries give spent retries back, and in which their budgets hold across restarts; zero for neither
	FleetRetryBudget float64                                               // maximum unused retries of a service, divided among all entries; each entry uses retrier.DefaultMaxBudget if zero
	Files            recorder.Files                                        // file system of the keeper; that of the operating system if zero
	StaleAfter       time.Duration                                         // how long a view is valid without a confirmation; watcher.DefaultStaleAfter if zero
	Disabled         switcher.Switcher                                     // parts of the policy that are switched off
	ElectionTimeout  time.Duration                                         // minimum time without a leader before an election; replicator.DefaultElectionTimeout if zero
}

// Listeners holds listeners that are already open. New opens those that are nil
// at the addresses in the settings.
type Listeners struct {
	Peers net.Listener // other processes of the fleet
	HTTP  net.Listener // callers
	Admin net.Listener // operators
}

// Runner holds the parts of one running process.
type Runner struct {
	Entry  *entry.Entry   // nil without that role
	Agent  *agent.Agent   // nil without that role
	Keeper *keeper.Keeper // nil without that role

	Bodies    *bufferer.Bufferer   // reads the bodies of all calls of this process
	Publisher *publisher.Publisher // nil without a Keeper
	Applier   *applier.Applier     // nil without a Keeper
	Evacuator *evacuator.Evacuator // nil without a Keeper

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

// handler serves a stream and returns true if it handles the kind of the first message.
type handler func(context.Context, *muxer.Stream, muxer.Message) bool

// New starts the process. The returned function stops it immediately; call Drain
// first for a graceful shutdown.
func New(cfg Config) (*Runner, func(), error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if err := cfg.validate(); err != nil {
		return nil, nil, err
	}
	r := &Runner{cfg: cfg, Bodies: &bufferer.Bufferer{Max: cfg.Limits.Bodies(), Log: cfg.Log, Metrics: cfg.Metrics}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	for _, start := range []func() error{r.startPool, r.startKeeper, r.startWatcher, r.startAgent, r.startEntry, r.startListeners} {
		if err := start(); err != nil {
			r.close()
			return nil, nil, err
		}
	}
	return r, sync.OnceFunc(r.close), nil
}

func (c *Config) validate() error {
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

// Call sends a request to the leading keeper and decodes its answer into out.
func (r *Runner) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	return r.proposer.Call(ctx, kind, v, out)
}

// Fresh returns nil if a quorum has confirmed the view of this process within
// Config.StaleAfter, otherwise code Stale.
func (r *Runner) Fresh() error { return r.watcher.Ready() }

// InForce returns the configuration version in force, zero for none, and how long
// it stays valid without another confirmation.
func (r *Runner) InForce() (version uint64, remaining time.Duration) {
	if v := r.watcher.View(); v != nil {
		version = v.Version
	}
	return version, r.watcher.ValidFor()
}

// SetKeepers replaces the keepers named in the settings.
func (r *Runner) SetKeepers(keepers []setter.Keeper) { r.locator.SetSeeds(keepers) }

// onClose registers a clean-up function. Clean-up functions run in reverse order.
func (r *Runner) onClose(closer func()) { r.closers = append(r.closers, closer) }

func (r *Runner) close() {
	r.stop()
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	r.wg.Wait()
}

// Drain shuts the process down gracefully. Readiness is withdrawn first, so that
// the load balancer and the entries use other processes. Drain returns when no
// request is running, or with the error of ctx.
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
	r.transferLeadership(ctx)
	return nil
}

// transferLeadership hands the leadership of the keepers over. If that fails, the
// keepers elect a leader after an election timeout, as after a crash, so the error
// is ignored.
func (r *Runner) transferLeadership(ctx context.Context) {
	if r.Keeper == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_ = r.Keeper.TransferLeadership(ctx)
}

// dispatch passes a stream to the role that handles the kind of its first message.
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

func (r *Runner) serveHTTP(l net.Listener, h http.Handler, bounds acceptor.Config) {
	bounds.Log, bounds.Metrics = r.cfg.Log, r.cfg.Metrics
	a := acceptor.New(l, bounds)
	srv := a.Server(h)
	r.onClose(func() { _ = srv.Close() })
	r.wg.Go(func() {
		if err := srv.Serve(a); !errors.Is(err, http.ErrServerClosed) {
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
	transferTimeout       = 3 * time.Second
	adminAnswerTimeout    = time.Minute // from the head of an operator's call to the end of its answer
	heartbeatsPerElection = 6           // per Config.ElectionTimeout; the defaults of replicator have about the same ratio
)
