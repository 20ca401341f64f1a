// Package publisher serves agents, entries and operators on a keeper: it accepts
// announcements, commands and reports, and streams configuration, targets and
// quarantine to watchers. A control goroutine owns the leases and publishes immutable
// states, which the streams read.
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
	"bramleyshunt/packer"
	"bramleyshunt/pooler"
	"bramleyshunt/registrar"
)

const (
	// DefaultConfirmInterval is the longest time between two confirmation rounds.
	DefaultConfirmInterval = 500 * time.Millisecond
	// minConfirmInterval is the shortest time between two confirmation rounds.
	minConfirmInterval = 100 * time.Millisecond
	// confirmTimeout bounds one confirmation round.
	confirmTimeout = 500 * time.Millisecond
	// publishDelay is the time from a change until it is published, so that changes in
	// quick succession are published together.
	publishDelay = 20 * time.Millisecond

	inboxSize = 256
)

// Config configures a Publisher. Applier, Propose and Confirm must be set.
type Config struct {
	Applier *applier.Applier
	Propose func(ctx context.Context, command []byte) (uint64, []byte, error)
	Confirm func(ctx context.Context) (uint64, error)
	Leader  func() string             // address of the leader, empty if unknown
	Pool    *pooler.Pooler            // connections to the other keepers; nothing is forwarded or relayed if nil
	Members func() []messenger.Member // members of the keepers' group; watchers are not sent any if nil
	Address string                    // of this keeper, as in Members

	// Exclusive reports whether two live targets never share an address.
	Exclusive bool
	// ForgetTargets keeps recorded targets from being restored.
	ForgetTargets   bool
	ConfirmInterval time.Duration // longest time between confirmation rounds; DefaultConfirmInterval if zero
	Log             *logrus.Entry
	Metrics         metrics.Registry
	Now             func() time.Time
}

// Publisher serves the other nodes on behalf of a keeper.
type Publisher struct {
	cfg     Config
	packer  packer.Packer
	confirm confirmer
	inbox   chan func()
	wake    chan struct{}
	state   atomic.Pointer[state]
	ctx     context.Context
	wg      conc.WaitGroup
	ended   atomic.Bool

	settling atomic.Bool // a call of settleParts is waiting

	// Owned by the control goroutine.
	leases      registrar.Registrar
	nodes       map[string]node
	restored    bool      // the remembered targets were restored after the start
	recordedRev uint64    // revision of the leases when they were last compared with the remembered targets
	recordedAt  time.Time // when targets were last proposed to be remembered
	recording   bool      // such a proposal is in progress
}

// New starts a Publisher. The returned function stops it and waits for its goroutines.
// It fails with Internal if a required field of cfg is missing.
func New(cfg Config) (*Publisher, func(), error) {
	if cfg.Applier == nil || cfg.Propose == nil || cfg.Confirm == nil {
		return nil, nil, coder.Errorf(coder.Internal, "publisher needs Applier, Propose and Confirm")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Publisher{
		cfg: cfg.withDefaults(), ctx: ctx, nodes: map[string]node{},
		leases: registrar.Registrar{Exclusive: cfg.Exclusive},
		inbox:  make(chan func(), inboxSize), wake: make(chan struct{}, 1),
	}
	p.confirm.init()
	p.state.Store(&state{view: p.cfg.Applier.View(), isolated: p.cfg.Applier.Isolated(p.cfg.Now()), evacuated: p.cfg.Applier.Evacuated(), replaced: make(chan struct{})})
	p.cfg.Applier.Subscribe(p.requestPublish)
	p.wg.Go(p.control)
	p.wg.Go(func() { p.confirm.run(ctx, p.cfg.ConfirmInterval, p.cfg.Confirm, p.requestPublish) })
	return p, func() {
		cancel()
		p.wg.Wait()
	}, nil
}

func (c Config) withDefaults() Config {
	if c.ConfirmInterval <= 0 {
		c.ConfirmInterval = DefaultConfirmInterval
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

// requestPublish lets the control goroutine publish a new state soon.
func (p *Publisher) requestPublish() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Publisher) count(name string) { metrics.GetOrRegisterCounter(name, p.cfg.Metrics).Inc(1) }

// do runs f on the control goroutine and waits for it. It reports false if the
// Publisher stops, or if ctx ends before f is queued.
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
	t := time.NewTicker(p.cfg.ConfirmInterval)
	defer t.Stop()
	var due <-chan time.Time // nil unless a publication is scheduled
	for {
		select {
		case <-p.ctx.Done():
			return
		case f := <-p.inbox:
			f()
		case <-p.wake:
			if ok, _ := p.confirm.lastRound(); ok != p.state.Load().confirmed {
				due = nil
				p.publish()
			} else if due == nil {
				due = time.After(publishDelay)
			}
		case <-due:
			due = nil
			p.publish()
		case <-t.C:
			p.expireLeases()
			p.publish()
			p.recordTargets()
		}
	}
}

func (p *Publisher) expireLeases() {
	now := p.cfg.Now()
	for _, id := range p.leases.Expire(now) {
		p.count("publisher.lease.ended")
		p.cfg.Log.WithField("target", id).Info("target lease ended")
	}
	p.expireNodes(now)
}

// publish replaces the state and wakes the streams that wait for a newer one.
func (p *Publisher) publish() {
	old := p.state.Load()
	ok, round := p.confirm.lastRound()
	if ok {
		p.restoreTargets()
	}
	st := &state{
		view: p.cfg.Applier.View(), blocked: p.cfg.Applier.Blocked(p.cfg.Now()),
		live: old.live, ended: old.ended, leaseRev: p.leases.Rev(),
		confirmed: ok, round: round, replaced: make(chan struct{}), members: p.cfg.Members(),
		isolated: p.isolated(old.isolated), evacuated: p.evacuated(old.evacuated),
	}
	if st.leaseRev != old.leaseRev {
		st.live, st.ended = p.leases.Live(), p.leases.Ended()
	}
	if ok != old.confirmed {
		p.cfg.Log.WithField("confirmed", ok).Info("confirmation by a quorum changed")
	}
	p.state.Store(st)
	close(old.replaced)
}
