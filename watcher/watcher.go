// Package watcher keeps this process's confirmed view of configuration, targets
// and quarantine. It follows one keeper at a time, adopts only higher versions,
// and says when what it holds can no longer be confirmed.
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
	// StaleAfter is how long a view holds without a confirmation.
	StaleAfter = 5 * time.Second
	// DefaultSilence is how long the watcher stays with a keeper that sends
	// nothing, or that reaches no quorum.
	DefaultSilence = 1500 * time.Millisecond
	// reportEvery is the shortest time between two reports to the keeper. They go
	// out when an update arrives, so it is below the time between two updates.
	reportEvery = 750 * time.Millisecond
	// againAfter is the pause before the next keeper is tried.
	againAfter = 50 * time.Millisecond
)

// Config says who watches and whom.
type Config struct {
	Node    string
	Keepers []setter.Keeper
	Locator *locator.Locator // in place of Keepers, where their group grows
	Pool    *pooler.Pooler
	Lean    bool          // configuration only, no targets and no quarantine
	Silence time.Duration // DefaultSilence if zero
	Stale   time.Duration // how long a view holds without a confirmation; StaleAfter if zero
	Read    merger.Reader // reads the files of a configuration; merger.Merge if nil
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// View is what is in force. It is never changed.
type View struct {
	Version   uint64
	Config    *configurer.Configurer
	Targets   []messenger.Target // in order of their ids
	ByService map[string][]messenger.Target
	Blocked   map[uint64]bool // quarantined fingerprints
}

// Watcher follows the keepers.
type Watcher struct {
	cfg  Config
	view atomic.Pointer[View]
	ctx  context.Context
	wg   conc.WaitGroup

	mu        sync.Mutex
	changed   chan struct{}
	confirmed time.Time // when the last proven Watch was sent

	// Of the goroutine that follows.
	state state
	stale bool
}

// New returns a Watcher and the function that ends it.
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
	if c.Silence <= 0 {
		c.Silence = DefaultSilence
	}
	if c.Stale <= 0 {
		c.Stale = StaleAfter
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

// View returns what is in force, nil before the first confirmed update.
func (w *Watcher) View() *View { return w.view.Load() }

// Changed returns a channel that is closed when the view is next replaced.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Confirmed returns when the keepers last confirmed the view, counted from the
// moment the watcher asked; zero for never.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Ready returns code Stale if there is no view or it was not confirmed for
// the time that a view holds. A process that was frozen finds itself stale when it wakes.
func (w *Watcher) Ready() error {
	at := w.Confirmed()
	if w.View() == nil || at.IsZero() {
		return coder.Errorf(coder.Stale, "no configuration was confirmed yet")
	}
	if age := w.cfg.Now().Sub(at); age > w.cfg.Stale {
		return coder.Errorf(coder.Stale, "configuration %d was last confirmed %s ago", w.View().Version, age.Round(time.Second))
	}
	return nil
}

// Left returns how long the view holds unless it is confirmed again; zero if there is
// none or it is stale.
func (w *Watcher) Left() time.Duration {
	if w.Ready() != nil {
		return 0
	}
	return w.cfg.Stale - w.cfg.Now().Sub(w.Confirmed())
}

// run follows one keeper after the other, beginning at one that depends on the
// node's name so that nodes spread over keepers.
func (w *Watcher) run() {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.cfg.Node))
	for i := int(h.Sum32() >> 1); w.ctx.Err() == nil; i++ {
		all := w.cfg.Locator.Keepers()
		k := all[i%len(all)]
		w.follow(k.Address)
		w.cfg.Log.WithField("keeper", k.Node).Info("keeper left")
		metrics.GetOrRegisterCounter("watcher.keeper.left", w.cfg.Metrics).Inc(1)
		w.note()
		_ = sleeper.Sleep(w.ctx, againAfter)
	}
}

// note logs when the view becomes stale or confirmed.
func (w *Watcher) note() {
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

// publish replaces the view.
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

func (w *Watcher) prove(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.confirmed) {
		w.confirmed = at
	}
}
