// Package publisher serves agents, entries and operators at a keeper: it takes
// announcements, commands and reports, and streams configuration, targets and
// quarantine to watchers. One goroutine owns the leases; the streams read
// immutable boards.
package publisher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/registrar"
)

const (
	// DefaultEvery is the longest time between two confirmations.
	DefaultEvery = 500 * time.Millisecond
	// confirmGap is the shortest time between two confirmations.
	confirmGap = 100 * time.Millisecond
	// confirmLimit bounds one confirmation.
	confirmLimit = 500 * time.Millisecond
	// boardGap is the shortest time between two boards, so that changes that
	// come together travel together.
	boardGap = 20 * time.Millisecond

	inboxCount = 256
)

// Config is what a Publisher needs of its keeper.
type Config struct {
	Applier *applier.Applier
	Propose func(ctx context.Context, command []byte) (uint64, []byte, error)
	Confirm func(ctx context.Context) (uint64, error)
	Leader  func() string             // address of the leading keeper, empty if unknown
	Pool    *pooler.Pooler            // towards the leader, for questions passed on; none are if nil
	Members func() []messenger.Member // of the keepers' group; watchers aren't told if nil
	Address string                    // of this keeper, as Members has it

	// Exclusive says that two live targets never share an address.
	Exclusive bool
	Every     time.Duration // between confirmations; DefaultEvery if zero
	Log       *logrus.Entry
	Metrics   metrics.Registry
	Now       func() time.Time
}

// Publisher is the keeper's face to the other nodes.
type Publisher struct {
	cfg     Config
	confirm confirmer
	inbox   chan func()
	wake    chan struct{}
	board   atomic.Pointer[board]
	ctx     context.Context
	wg      conc.WaitGroup
	ended   atomic.Bool

	// Of the control goroutine.
	leases registrar.Registrar
	nodes  map[string]node
}

// New returns a Publisher and the function that ends it.
func New(cfg Config) (*Publisher, func(), error) {
	if cfg.Applier == nil || cfg.Propose == nil || cfg.Confirm == nil {
		return nil, nil, coder.Errorf(coder.Internal, "publisher needs Applier, Propose and Confirm")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Publisher{
		cfg: cfg.withDefaults(), ctx: ctx, nodes: map[string]node{},
		leases: registrar.Registrar{Exclusive: cfg.Exclusive},
		inbox:  make(chan func(), inboxCount), wake: make(chan struct{}, 1),
	}
	p.confirm.init()
	p.board.Store(&board{view: p.cfg.Applier.View(), next: make(chan struct{})})
	p.cfg.Applier.Subscribe(p.notify)
	p.wg.Go(p.control)
	p.wg.Go(func() { p.confirm.run(ctx, p.cfg.Every, p.cfg.Confirm, p.notify) })
	return p, func() {
		cancel()
		p.wg.Wait()
	}, nil
}

func (c Config) withDefaults() Config {
	if c.Every <= 0 {
		c.Every = DefaultEvery
	}
	if c.Leader == nil {
		c.Leader = func() string { return "" }
	}
	if c.Members == nil {
		c.Members = func() []messenger.Member { return nil }
	}
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	return c
}

// notify has the control goroutine make a new board.
func (p *Publisher) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Publisher) count(name string) { metrics.GetOrRegisterCounter(name, p.cfg.Metrics).Inc(1) }

// do runs f on the control goroutine and waits for it. It reports false if the
// Publisher has ended.
func (p *Publisher) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case p.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return false
	case <-p.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-p.ctx.Done():
		return false
	}
}

func (p *Publisher) control() {
	t := time.NewTicker(p.cfg.Every)
	defer t.Stop()
	var due <-chan time.Time // a board is wanted
	for {
		select {
		case <-p.ctx.Done():
			return
		case f := <-p.inbox:
			f()
		case <-p.wake:
			if due == nil {
				due = time.After(boardGap)
			}
		case <-due:
			due = nil
			p.publish()
		case <-t.C:
			p.expire()
			p.publish()
		}
	}
}

func (p *Publisher) expire() {
	now := p.cfg.Now()
	for _, id := range p.leases.Expire(now) {
		p.count("publisher.lease.ended")
		p.cfg.Log.WithField("target", id).Info("target lease ended")
	}
	p.forget(now)
}

// publish replaces the board and wakes the streams that read the old one.
func (p *Publisher) publish() {
	old := p.board.Load()
	ok, round := p.confirm.last()
	b := &board{
		view: p.cfg.Applier.View(), blocked: p.cfg.Applier.Blocked(p.cfg.Now()),
		live: old.live, gone: old.gone, rev: p.leases.Rev(),
		confirmed: ok, round: round, next: make(chan struct{}), members: p.cfg.Members(),
	}
	if b.rev != old.rev {
		b.live, b.gone = p.leases.Live(), p.leases.Ended()
	}
	if ok != old.confirmed {
		p.cfg.Log.WithField("confirmed", ok).Info("confirmation by a quorum changed")
	}
	p.board.Store(b)
	close(old.next)
}
