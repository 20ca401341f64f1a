// Package proposer sends requests to the leading keeper, wherever it runs.
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
	// defaultRequestTimeout bounds one request to one keeper.
	defaultRequestTimeout = 1500 * time.Millisecond
	// roundPause is the pause between two rounds over all keepers.
	roundPause = 50 * time.Millisecond
	// relayLifetime is how long requests go through a keeper that reached the leader.
	relayLifetime = 10 * time.Second
	// maxHints bounds the hints followed in a row before the next keeper in order is tried.
	maxHints = 2
)

// Proposer sends requests to the leading keeper and finds it as needed. A request may be
// sent more than once, which is safe because keepers handle requests idempotently. It is
// safe for concurrent use.
type Proposer struct {
	Keepers        []setter.Keeper
	Locator        *locator.Locator // replaces Keepers if their group may grow; nil otherwise
	Pool           *pooler.Pooler
	RequestTimeout time.Duration // of one request to one keeper; defaultRequestTimeout if zero
	// Leader returns the address of the leader that this process's own keeper follows,
	// empty if it knows none. It is nil without a keeper. The keeper hears of a new leader
	// sooner than a request to a frozen former one fails.
	Leader func() string

	leader atomic.Pointer[string] // address of the keeper that answered last
	relay  atomic.Pointer[relay]  // to a leader that this process can't reach
}

// relay is a keeper that forwards requests to a leader which this process can't reach.
type relay struct {
	addr      string
	expiresAt time.Time
}

// Call sends v to the leading keeper and decodes its answer into out. It retries until ctx
// ends, then returns code NoQuorum. A refusal that other keepers would repeat is returned
// immediately.
func (p *Proposer) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	var lastErr error
	for ctx.Err() == nil {
		if own := p.ownLeader(); own != "" {
			p.leader.Store(&own)
		}
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

func (p *Proposer) ownLeader() string {
	if p.Leader == nil {
		return ""
	}
	return p.Leader()
}

func (p *Proposer) keepers() []setter.Keeper {
	if p.Locator != nil {
		return p.Locator.Keepers()
	}
	return p.Keepers
}

// callVia sends a request to the last known leader, or else to addr, and follows hints. A
// leader that can't be reached gets the request through the keeper that named it.
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

// followHints sends a request to the keeper at addr and then to those that hints lead to. On
// failure it returns the address of the keeper that gave the last hint followed, if any.
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

// unreachable reports whether err means that no answer arrived.
func unreachable(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || coder.Of(err).Code == coder.TargetLost || coder.Of(err).Code == coder.Silent
}

// relayVia forwards a request through the keeper at addr, and keeps that keeper as the relay
// for relayLifetime once a final answer came through it.
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

// final reports whether neither a retry nor another keeper can change the result.
func final(err error) bool {
	switch c := coder.Of(err).Code; c {
	case coder.NotLeader, coder.Unconfirmed, coder.NotReady, coder.NoQuorum:
		return false
	default:
		return c < 3000 || (c >= 4000 && c < 5000)
	}
}

// request sends one request to one keeper. It returns the address of the leader if the
// keeper refuses the request and names the leader.
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
