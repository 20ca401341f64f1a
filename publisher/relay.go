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
//
// Keepers that were cut off from each other may have assigned different incarnations. If
// another one refuses the assigned incarnation, the target's next announcement has a
// higher one.
func (p *Publisher) Announce(ctx context.Context, a messenger.Announce) error {
	assigned := a.Target.Incarnation == 0
	if assigned {
		p.do(ctx, func() { a.Target.Incarnation = p.leases.AssignIncarnation(p.cfg.Now(), a.Target) })
	}
	if err := p.acceptAnnounce(ctx, &a); err != nil {
		return err
	}
	a.Relayed = true
	relay := func(ctx context.Context) int {
		accepted, outdated := p.relay(ctx, a)
		if assigned && outdated {
			p.do(p.ctx, func() { p.leases.Reassign(p.cfg.Now(), a.Target.ID, a.Target.Incarnation) })
			p.requestPublish()
		}
		return accepted
	}
	if !a.Gone && !a.Target.Leaving {
		p.wg.Go(func() { relay(p.ctx) })
		return nil
	}
	var recordErr error
	var wg conc.WaitGroup
	wg.Go(func() { recordErr = p.recordLeaving(ctx, a.Target) })
	got, want := 1+relay(ctx), len(p.cfg.Members())/2+1
	wg.Wait()
	if got < want {
		return coder.Errorf(coder.NoQuorum, "%d of %d keepers know that target %q leaves", got, want, a.Target.ID)
	}
	return recordErr
}

// relay sends an announcement to the other keepers. It returns how many of them have
// accepted it, and whether any refused its incarnation.
func (p *Publisher) relay(ctx context.Context, a messenger.Announce) (accepted int, outdated bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	members := p.cfg.Members()
	results := make(chan error, len(members))
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
			results <- err
		})
	}
	wg.Wait()
	close(results)
	for err := range results {
		switch {
		case err == nil:
			accepted++
		case coder.Of(err).Code == coder.WrongIncarnation:
			outdated = true
		}
	}
	return accepted, outdated
}
