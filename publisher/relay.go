package publisher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// relayTimeout bounds the wait for the other keepers. It is shorter than the one
	// second that an announcing target waits for its answer.
	relayTimeout = 700 * time.Millisecond
)

// Announce accepts the announcement of a target that announces itself to one keeper
// only, and relays it to the other keepers. An announcement without an incarnation,
// which is one without the target's start time, is assigned one. If the announcement
// takes the target out of service, Announce waits until a majority of the keepers has
// accepted it and until it is recorded on a quorum of disks, and fails otherwise.
func (p *Publisher) Announce(ctx context.Context, a messenger.Announce) error {
	if a.Target.Incarnation == 0 {
		p.do(ctx, func() { a.Target.Incarnation = p.leases.AssignIncarnation(p.cfg.Now(), a.Target) })
	}
	if err := p.acceptAnnounce(ctx, &a); err != nil {
		return err
	}
	a.Relayed = true
	if !a.Gone && !a.Target.Leaving {
		p.wg.Go(func() { p.relay(p.ctx, a) })
		return nil
	}
	var recordErr error
	var wg conc.WaitGroup
	wg.Go(func() { recordErr = p.recordLeaving(ctx, a.Target) })
	got, want := 1+p.relay(ctx, a), len(p.cfg.Members())/2+1
	wg.Wait()
	if got < want {
		return coder.Errorf(coder.NoQuorum, "%d of %d keepers know that target %q leaves", got, want, a.Target.ID)
	}
	return recordErr
}

// relay sends an announcement to the other keepers and returns how many of them have
// accepted it.
func (p *Publisher) relay(ctx context.Context, a messenger.Announce) int {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	members := p.cfg.Members()
	accepted := make(chan bool, len(members))
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
				p.cfg.Log.WithError(err).WithField("keeper", m.Node).WithField("target", a.Target.ID).Debug("announcement not relayed to keeper")
			}
			accepted <- err == nil
		})
	}
	wg.Wait()
	close(accepted)
	n := 0
	for ok := range accepted {
		if ok {
			n++
		}
	}
	return n
}
