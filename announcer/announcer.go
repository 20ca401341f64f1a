// Package announcer keeps a target's lease alive at the keepers. It renews at
// every keeper on its own, so that one that hangs holds up no other.
package announcer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
)

const (
	// DefaultEvery is the time between renewals when Config.Every is zero.
	DefaultEvery = time.Second
	// DefaultLease is the lease asked for when Config.Lease is zero.
	DefaultLease = 3 * time.Second
)

// Config says what is announced where. Functions are called from
// several goroutines.
type Config struct {
	Keepers []setter.Keeper
	Pool    *pooler.Pooler
	Target  func() messenger.Target
	Learned func(sent time.Time, a messenger.Announced) // for each answer; may be nil
	Refused func(err error)                             // for each renewal that failed; may be nil
	Every   time.Duration
	Lease   time.Duration
	Now     func() time.Time // time.Now if nil
	// Call asks one keeper; by default over Pool.
	Call func(ctx context.Context, addr string, m *messenger.Announce) (messenger.Announced, error)
}

// Announcer renews the lease of one target.
type Announcer struct {
	cfg   Config
	kicks []chan struct{}

	mu      sync.Mutex
	renewed time.Time // when the newest answered renewal was sent
	lapses  int
	failed  map[string]error
}

// New starts renewing. The returned function stops it and waits for its end; the
// lease then runs out.
func New(cfg Config) (*Announcer, func()) {
	a := &Announcer{cfg: cfg.withDefaults(), failed: map[string]error{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, k := range cfg.Keepers {
		kick := make(chan struct{}, 1)
		a.kicks = append(a.kicks, kick)
		wg.Go(func() { a.loop(ctx, k.Address, kick) })
	}
	return a, func() {
		cancel()
		wg.Wait()
	}
}

func (c Config) withDefaults() Config {
	if c.Every <= 0 {
		c.Every = DefaultEvery
	}
	if c.Lease <= 0 {
		c.Lease = DefaultLease
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Call == nil {
		c.Call = c.call
	}
	return c
}

// Kick announces at once, at every keeper.
func (a *Announcer) Kick() {
	for _, kick := range a.kicks {
		select {
		case kick <- struct{}{}:
		default:
		}
	}
}

// Held reports whether the lease surely holds: counted from the moment the
// renewal was sent, on this process's monotonic clock, so that a process that
// was frozen past its lease knows it before it acts.
func (a *Announcer) Held(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.renewed.IsZero() && now.Sub(a.renewed) < a.cfg.Lease
}

// Lapses counts how often the lease may have ended before it was renewed.
func (a *Announcer) Lapses() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lapses
}

// Failed returns the last error of each keeper that doesn't answer, by address.
func (a *Announcer) Failed() map[string]error {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]error, len(a.failed))
	for addr, err := range a.failed {
		out[addr] = err
	}
	return out
}

func (a *Announcer) loop(ctx context.Context, addr string, kick <-chan struct{}) {
	t := time.NewTicker(a.cfg.Every)
	defer t.Stop()
	for {
		a.renew(ctx, addr)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-kick:
		}
	}
}

func (a *Announcer) renew(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Lease)
	defer cancel()
	sent := a.cfg.Now()
	answer, err := a.cfg.Call(ctx, addr, &messenger.Announce{Target: a.cfg.Target(), Lease: a.cfg.Lease})
	a.note(addr, sent, err)
	switch {
	case err != nil && a.cfg.Refused != nil:
		a.cfg.Refused(err)
	case err == nil && a.cfg.Learned != nil:
		a.cfg.Learned(sent, answer)
	}
}

func (a *Announcer) note(addr string, sent time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.failed[addr] = err
		return
	}
	delete(a.failed, addr)
	if !a.renewed.IsZero() && a.cfg.Now().Sub(a.renewed) >= a.cfg.Lease {
		a.lapses++
	}
	if sent.After(a.renewed) {
		a.renewed = sent
	}
}

func (c Config) call(ctx context.Context, addr string, m *messenger.Announce) (messenger.Announced, error) {
	var out messenger.Announced
	conn, err := c.Pool.Get(ctx, addr)
	if err != nil {
		return out, err
	}
	return out, conn.Call(ctx, messenger.KindAnnounce, m, &out)
}
