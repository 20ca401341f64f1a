// Package announcer announces a target to the keepers and renews its lease. Each
// keeper has its own renewal loop, so that one that hangs does not delay the others.
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
	// DefaultInterval is the time between renewals if Config.Interval is zero.
	DefaultInterval = time.Second
	// DefaultLease is the duration of the lease if Config.Lease is zero.
	DefaultLease = 3 * time.Second
)

// Config configures an Announcer. Its functions are called concurrently.
type Config struct {
	Keepers     []setter.Keeper
	Pool        *pooler.Pooler
	Target      func() messenger.Target
	OnAnnounced func(sent time.Time, a messenger.Announced) // called for each successful renewal; may be nil
	OnError     func(sent messenger.Target, err error)      // called for each failed renewal; may be nil
	Interval    time.Duration
	Lease       time.Duration
	Now         func() time.Time // time.Now if nil
	// Call sends one announcement to a keeper; over Pool if nil.
	Call func(ctx context.Context, addr string, m *messenger.Announce) (messenger.Announced, error)
}

// Announcer renews the lease of one target.
type Announcer struct {
	cfg  Config
	wake []chan struct{}

	mu        sync.Mutex
	renewedAt time.Time // when the latest successful renewal was sent
	lapses    int
	errs      map[string]error
}

// New starts to announce the target. The returned function stops the renewals and waits
// for the calls in flight; the lease then expires.
func New(cfg Config) (*Announcer, func()) {
	a := &Announcer{cfg: cfg.withDefaults(), errs: map[string]error{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, k := range cfg.Keepers {
		wake := make(chan struct{}, 1)
		a.wake = append(a.wake, wake)
		wg.Go(func() { a.renewLoop(ctx, k.Address, wake) })
	}
	return a, func() {
		cancel()
		wg.Wait()
	}
}

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
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

// RenewNow renews the lease at every keeper without waiting for the interval to pass.
func (a *Announcer) RenewNow() {
	for _, wake := range a.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Held reports whether the lease is certainly still held. The lease counts from the
// time the renewal was sent, on the monotonic clock of this process, so that a process
// that was suspended past its lease detects this before it acts.
func (a *Announcer) Held(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.renewedAt.IsZero() && now.Sub(a.renewedAt) < a.cfg.Lease
}

// Lapses returns how often the lease may have expired before it was renewed.
func (a *Announcer) Lapses() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lapses
}

// Errors returns the error of the last renewal at each keeper where it failed, by
// address.
func (a *Announcer) Errors() map[string]error {
	a.mu.Lock()
	defer a.mu.Unlock()
	errs := make(map[string]error, len(a.errs))
	for addr, err := range a.errs {
		errs[addr] = err
	}
	return errs
}

func (a *Announcer) renewLoop(ctx context.Context, addr string, wake <-chan struct{}) {
	t := time.NewTicker(a.cfg.Interval)
	defer t.Stop()
	for {
		a.renew(ctx, addr)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-wake:
		}
	}
}

func (a *Announcer) renew(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Lease)
	defer cancel()
	sent, target := a.cfg.Now(), a.cfg.Target()
	answer, err := a.cfg.Call(ctx, addr, &messenger.Announce{Target: target, Lease: a.cfg.Lease})
	a.record(addr, sent, err)
	switch {
	case err != nil && a.cfg.OnError != nil:
		a.cfg.OnError(target, err)
	case err == nil && a.cfg.OnAnnounced != nil:
		a.cfg.OnAnnounced(sent, answer)
	}
}

func (a *Announcer) record(addr string, sent time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.errs[addr] = err
		return
	}
	delete(a.errs, addr)
	if !a.renewedAt.IsZero() && a.cfg.Now().Sub(a.renewedAt) >= a.cfg.Lease {
		a.lapses++
	}
	if sent.After(a.renewedAt) {
		a.renewedAt = sent
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
