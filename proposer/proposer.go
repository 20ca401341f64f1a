// Package proposer finds the leading keeper and asks it.
package proposer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
)

const (
	// tryLimit bounds one question to one keeper.
	tryLimit = 1500 * time.Millisecond
	// againAfter is the pause after a round over all keepers.
	againAfter = 50 * time.Millisecond
	// hintTries is how many hints in a row are followed before the next keeper
	// in order is asked.
	hintTries = 2
)

// Proposer asks the leading keeper, wherever it is. A question may be sent more
// than once: what keepers take is idempotent.
type Proposer struct {
	Keepers []setter.Keeper
	Pool    *pooler.Pooler
	Limit   time.Duration // of one question to one keeper; tryLimit if zero

	leader atomic.Pointer[string] // address that answered last
}

// Call sends v to the leading keeper and decodes its answer into out. It tries
// until ctx ends, then returns code NoQuorum. A refusal that another keeper
// would give too is returned at once.
func (p *Proposer) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	var last error
	for round := 0; ctx.Err() == nil; round++ {
		for _, k := range p.Keepers {
			err := p.chase(ctx, k.Address, kind, v, out)
			if err == nil || final(err) {
				return err
			}
			last = err
			if ctx.Err() != nil {
				break
			}
		}
		pause(ctx, againAfter)
	}
	return &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Retry: time.Second, Cause: errors.Join(last, ctx.Err())}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// chase asks the keeper that led last, else the one given, and follows hints.
func (p *Proposer) chase(ctx context.Context, addr string, kind messenger.Kind, v, out any) error {
	if l := p.leader.Load(); l != nil {
		addr = *l
	}
	var err error
	for range 1 + hintTries {
		var hint string
		hint, err = p.ask(ctx, addr, kind, v, out)
		if err == nil || final(err) {
			p.leader.Store(&addr)
			return err
		}
		p.leader.Store(nil)
		if hint == "" || hint == addr {
			return err
		}
		addr = hint
	}
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
func (p *Proposer) ask(ctx context.Context, addr string, kind messenger.Kind, v, out any) (string, error) {
	limit := p.Limit
	if limit <= 0 {
		limit = tryLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := p.Pool.Get(ctx, addr)
	if err != nil {
		return "", err
	}
	s, err := conn.Open(kind, v)
	if err != nil {
		return "", err
	}
	defer s.Close()
	m, err := s.Receive(ctx)
	if err != nil {
		return "", err
	}
	return hintOf(m), m.Decode(out)
}

func hintOf(m muxer.Message) string {
	var f messenger.Failed
	if m.Kind != messenger.KindFailed || msgpack.Unmarshal(m.Body, &f) != nil {
		return ""
	}
	return f.Leader
}
