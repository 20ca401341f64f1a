// Package proposer finds the leading keeper and asks it.
package proposer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/locator"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
	"bramleyshunt/sleeper"
)

const (
	// tryLimit bounds one question to one keeper.
	defaultRequestTimeout = 1500 * time.Millisecond
	// againAfter is the pause after a round over all keepers.
	roundPause = 50 * time.Millisecond
	// wayKept is how long a question goes by the keeper that reached the leader.
	relayLifetime = 10 * time.Second
	// hintTries is how many hints in a row are followed before the next keeper
	// in order is asked.
	maxHints = 2
)

// Proposer asks the leading keeper, wherever it is. A question may be sent more
// than once: what keepers take is idempotent.
type Proposer struct {
	Keepers        []setter.Keeper
	Locator        *locator.Locator // in place of Keepers, where their group grows
	Pool           *pooler.Pooler
	RequestTimeout time.Duration // of one question to one keeper; tryLimit if zero

	leader atomic.Pointer[string] // address that answered last
	relay  atomic.Pointer[relay]  // to a leader that can't be reached from here
}

// way is a keeper that reaches a leader which this process can't reach.
type relay struct {
	addr      string
	expiresAt time.Time
}

// Call sends v to the leading keeper and decodes its answer into out. It tries
// until ctx ends, then returns code NoQuorum. A refusal that another keeper
// would give too is returned at once.
func (p *Proposer) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	var lastErr error
	for round := 0; ctx.Err() == nil; round++ {
		for _, k := range p.keepers() {
			err := p.callVia(ctx, k.Address, kind, v, out)
			if err == nil || final(err) {
				return err
			}
			lastErr = err
			if ctx.Err() != nil {
				break
			}
		}
		_ = sleeper.Sleep(ctx, roundPause)
	}
	return &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Retry: time.Second, Cause: errors.Join(lastErr, ctx.Err())}
}

func (p *Proposer) keepers() []setter.Keeper {
	if p.Locator != nil {
		return p.Locator.Keepers()
	}
	return p.Keepers
}

// chase asks the keeper that led last, else the one given, and follows hints.
// A leader that can't be reached is asked by the keeper that named it.
func (p *Proposer) callVia(ctx context.Context, addr string, kind messenger.Kind, v, out any) error {
	if rel := p.relay.Load(); rel != nil && time.Now().Before(rel.expiresAt) {
		if err := p.forward(ctx, rel.addr, kind, v, out); err == nil || final(err) {
			return err
		}
		p.relay.Store(nil)
	}
	if known := p.leader.Load(); known != nil {
		addr = *known
	}
	hintedBy, err := p.followHints(ctx, addr, kind, v, out)
	if hintedBy == "" || !unreachable(err) {
		return err
	}
	return p.relayVia(ctx, hintedBy, kind, v, out)
}

// follow asks the keeper at addr and those that hints lead to. It returns the
// keeper that gave the last hint.
func (p *Proposer) followHints(ctx context.Context, addr string, kind messenger.Kind, v, out any) (hintedBy string, err error) {
	for range 1 + maxHints {
		var hint string
		hint, err = p.request(ctx, addr, kind, v, out)
		if err == nil || final(err) {
			p.leader.Store(&addr)
			return "", err
		}
		p.leader.Store(nil)
		if hint == "" || hint == addr {
			return hintedBy, err
		}
		hintedBy, addr = addr, hint
	}
	return hintedBy, err
}

// lost reports whether there was no answer at all.
func unreachable(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || coder.Of(err).Code == coder.TargetLost || coder.Of(err).Code == coder.Silent
}

// detour has the keeper at addr ask the leader, and keeps to that way for a time.
func (p *Proposer) relayVia(ctx context.Context, addr string, kind messenger.Kind, v, out any) error {
	err := p.forward(ctx, addr, kind, v, out)
	if err == nil || final(err) {
		p.relay.Store(&relay{addr: addr, expiresAt: time.Now().Add(relayLifetime)})
	}
	return err
}

func (p *Proposer) forward(ctx context.Context, addr string, kind messenger.Kind, v, out any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return coder.Errorf(coder.Internal, "encode %s: %v", kind, err)
	}
	_, err = p.request(ctx, addr, messenger.KindForward, &messenger.Forward{Kind: kind, Body: body}, out)
	return err
}

// final reports whether asking again, or another keeper, can't help.
func final(err error) bool {
	switch c := coder.Of(err).Code; c {
	case coder.NotLeader, coder.Unconfirmed, coder.NotReady, coder.NoQuorum:
		return false
	default:
		return c < 3000 || (c >= 4000 && c < 5000)
	}
}

// ask sends one question to one keeper. On NotLeader it returns the address of
// the leader, if the keeper knows it.
func (p *Proposer) request(ctx context.Context, addr string, kind messenger.Kind, v, out any) (string, error) {
	timeout := p.RequestTimeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.Pool.Get(ctx, addr)
	if err != nil {
		return "", err
	}
	stream, err := conn.Open(kind, v)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	msg, err := stream.Receive(ctx)
	if err != nil {
		return "", err
	}
	return leaderHint(msg), msg.Decode(out)
}

func leaderHint(m muxer.Message) string {
	var f messenger.Failed
	if m.Kind != messenger.KindFailed || msgpack.Unmarshal(m.Body, &f) != nil {
		return ""
	}
	return f.Leader
}
