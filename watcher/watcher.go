// Package watcher maintains this process's view of the configuration, the targets and the
// quarantine. It follows one keeper at a time, adopts only higher versions of the
// configuration, and reports when the view is no longer confirmed by a quorum of keepers.
package watcher

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/defaulter"
	"bramleyshunt/locator"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
	"bramleyshunt/sleeper"
)

const (
	// DefaultStaleAfter is used when Config.StaleAfter is zero.
	DefaultStaleAfter = 5 * time.Second
	// DefaultKeeperTimeout is used when Config.KeeperTimeout is zero.
	DefaultKeeperTimeout = 1500 * time.Millisecond
	// reportInterval is the minimum interval between two reports to the keeper. Reports are sent
	// when an update arrives, so it is shorter than the interval between two updates.
	reportInterval = 750 * time.Millisecond
	// reconnectDelay is the delay before the watcher connects to the next keeper.
	reconnectDelay = 50 * time.Millisecond
)

// Config configures a Watcher.
type Config struct {
	Node          string
	Keepers       []setter.Keeper
	Locator       *locator.Locator // used in place of Keepers if the group of keepers can change
	Pool          *pooler.Pooler
	Lean          bool          // receive the configuration only, without targets and quarantine
	KeeperTimeout time.Duration // how long the watcher stays with a keeper that is unresponsive or reaches no quorum; DefaultKeeperTimeout if zero
	StaleAfter    time.Duration // how long a view remains valid without a confirmation; DefaultStaleAfter if zero
	Read          merger.Reader // parses the files of a configuration; merger.Merge if nil
	Log           *logrus.Entry
	Metrics       metrics.Registry
	Now           func() time.Time
}

// View is the configuration in force with the targets and the quarantine. It is immutable.
type View struct {
	Version   uint64
	Config    *configurer.Configurer
	Targets   []messenger.Target // sorted by ID
	ByService map[string][]messenger.Target
	Blocked   map[uint64]bool // quarantined fingerprints

	// Isolated lists the parts of prompts that crash targets. It is nil if the keeper
	// doesn't know of such parts, and the same in successive views unless it changes.
	Isolated *messenger.Isolated

	// Evacuated lists the evacuated availability zones. It is nil before a keeper has told
	// them, and the same in successive views unless it changes.
	Evacuated *messenger.Evacuated
}

// Watcher follows one of the keepers at a time and publishes their updates as views.
type Watcher struct {
	cfg  Config
	view atomic.Pointer[View]
	ctx  context.Context
	wg   conc.WaitGroup

	mu        sync.Mutex
	changed   chan struct{}
	confirmed time.Time // when the last confirmed report was sent

	// Used only by the goroutine of run.
	state state
	stale bool
}

// New returns a running Watcher and the function that stops it.
func New(cfg Config) (*Watcher, func(), error) {
	cfg = cfg.withDefaults()
	if len(cfg.Locator.Keepers()) == 0 || cfg.Pool == nil {
		return nil, nil, coder.Errorf(coder.Internal, "watcher needs Keepers and Pool")
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{cfg: cfg, ctx: ctx, changed: make(chan struct{}), stale: true, state: state{read: cfg.Read}}
	w.wg.Go(w.run)
	return w, func() {
		cancel()
		w.wg.Wait()
	}, nil
}

func (c Config) withDefaults() Config {
	if c.KeeperTimeout <= 0 {
		c.KeeperTimeout = DefaultKeeperTimeout
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = DefaultStaleAfter
	}
	if c.Locator == nil {
		c.Locator = &locator.Locator{Seeds: c.Keepers}
	}
	if c.Read == nil {
		c.Read = merger.Merge
	}
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	return c
}

// View returns the current view, nil before the first confirmed update.
func (w *Watcher) View() *View { return w.view.Load() }

// Changed returns a channel that is closed when the view is next replaced.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Confirmed returns the time of the last confirmation by the keepers, zero if there was none.
// It is the time when the confirmed report was sent, not when the confirmation arrived.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Ready returns code Stale if there is no view or if the last confirmation is older than
// Config.StaleAfter. A process that was suspended is therefore stale when it resumes.
func (w *Watcher) Ready() error {
	confirmed := w.Confirmed()
	if w.View() == nil || confirmed.IsZero() {
		return coder.Errorf(coder.Stale, "no configuration was confirmed yet")
	}
	if age := w.cfg.Now().Sub(confirmed); age > w.cfg.StaleAfter {
		return coder.Errorf(coder.Stale, "configuration %d was last confirmed %s ago", w.View().Version, age.Round(time.Second))
	}
	return nil
}

// ValidFor returns how long the view remains valid unless it is confirmed again. It returns
// zero if there is no view or it is stale.
func (w *Watcher) ValidFor() time.Duration {
	if w.Ready() != nil {
		return 0
	}
	return w.cfg.StaleAfter - w.cfg.Now().Sub(w.Confirmed())
}

// run follows one keeper after the other. The first one depends on the name of the node, so
// that nodes are distributed over the keepers.
func (w *Watcher) run() {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.cfg.Node))
	for i := int(h.Sum32() >> 1); w.ctx.Err() == nil; i++ {
		all := w.cfg.Locator.Keepers()
		k := all[i%len(all)]
		w.follow(k.Address)
		w.cfg.Log.WithField("keeper", k.Node).Info("keeper left")
		metrics.GetOrRegisterCounter("watcher.keeper.left", w.cfg.Metrics).Inc(1)
		w.logTransition()
		_ = sleeper.Sleep(w.ctx, reconnectDelay)
	}
}

// logTransition logs when the view becomes stale, and when it is confirmed again.
func (w *Watcher) logTransition() {
	err := w.Ready()
	if (err != nil) == w.stale {
		return
	}
	w.stale = err != nil
	if err != nil {
		w.cfg.Log.WithError(err).Warn("configuration is stale")
		return
	}
	w.cfg.Log.WithField("version", w.View().Version).Info("configuration is confirmed")
}

// publish replaces the view and closes the channel that Changed returned.
func (w *Watcher) publish(v *View) {
	old := w.view.Swap(v)
	if old == nil || old.Version != v.Version {
		w.cfg.Log.WithField("version", v.Version).Info("configuration put in force")
	}
	metrics.GetOrRegisterGauge("watcher.version", w.cfg.Metrics).Update(int64(v.Version))
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// setConfirmed records a confirmation of a report that was sent at the given time.
func (w *Watcher) setConfirmed(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.confirmed) {
		w.confirmed = at
	}
}
