package publisher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// relayLimit bounds the wait for the other keepers. An announcing target waits
	// one second for its answer.
	relayLimit = 700 * time.Millisecond
)

// Announce takes the announcement of a target that tells one keeper alone, and
// passes it on to the others. Without an incarnation, the target doesn't tell when
// it started. One that takes a target out of service returns only
// when a majority of the keepers has it, with code NoQuorum if that fails.
func (p *Publisher) Announce(ctx context.Context, a messenger.Announce) error {
	if a.Target.Incarnation == 0 {
		p.do(ctx, func() { a.Target.Incarnation = p.leases.AssignIncarnation(p.cfg.Now(), a.Target) })
	}
	if err := p.take(ctx, &a); err != nil {
		return err
	}
	a.Relayed = true
	if !a.Gone && !a.Target.Leaving {
		p.wg.Go(func() { p.relay(p.ctx, a) })
		return nil
	}
	if have, want := 1+p.relay(ctx, a), len(p.cfg.Members())/2+1; have < want {
		return coder.Errorf(coder.NoQuorum, "%d of %d keepers know that target %q leaves", have, want, a.Target.ID)
	}
	return nil
}

// relay passes an announcement on and returns how many keepers have taken it.
func (p *Publisher) relay(ctx context.Context, a messenger.Announce) int {
	ctx, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	members := p.cfg.Members()
	taken := make(chan bool, len(members))
	var wg conc.WaitGroup
	for _, m := range members {
		if m.Address == p.cfg.Address || p.cfg.Pool == nil {
			continue
		}
		wg.Go(func() {
			var out messenger.Announced
			conn, err := p.cfg.Pool.Get(ctx, m.Address)
			if err == nil {
				err = conn.Call(ctx, messenger.KindAnnounce, &a, &out)
			}
			if err != nil {
				p.count("publisher.relay.failed")
				p.cfg.Log.WithError(err).WithField("keeper", m.Node).WithField("target", a.Target.ID).Debug("announcement was not passed on")
			}
			taken <- err == nil
		})
	}
	wg.Wait()
	close(taken)
	n := 0
	for ok := range taken {
		if ok {
			n++
		}
	}
	return n
}
