package sharer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

const (
	// announceInterval is the time between two announcements of this entry to keepers.
	announceInterval = time.Second
	// announceLease is how long an announcement is valid. It covers a round in which four
	// keepers in a row, a minority of nine, let callTimeout pass, and one more interval.
	announceLease = 2*announceInterval + 4*callTimeout
)

// announce announces this entry to the keepers in turn, each of which forwards the
// announcement to the others. If one does not answer, the next one is tried at once: otherwise
// the leases of all entries would end while a keeper is frozen. Entries start with different keepers, so that
// they don't all call the same one at a time.
func (s *Sharer) announce(sleep func(context.Context, time.Duration) error) {
	a := &messenger.Announce{Spread: true, Lease: announceLease, Target: messenger.Target{
		ID: s.cfg.Node, Service: ServiceEntries, Address: s.cfg.Address, Zone: s.cfg.Zone, Incarnation: uint64(time.Now().UnixNano()),
		Aggregates: true, Region: s.cfg.Region,
	}}
	for next := xxhash.Sum64String(s.cfg.Node); s.ctx.Err() == nil; {
		keepers := s.cfg.Keepers()
		for range keepers {
			addr := keepers[next%uint64(len(keepers))]
			next++
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			err := s.cfg.Announce(ctx, addr, a)
			cancel()
			if err == nil {
				break
			}
			s.cfg.Log.WithError(err).WithField("keeper", addr).Debug("announcement of this entry to a keeper failed")
		}
		_ = sleep(s.ctx, announceInterval) // the loop notices the end of the context
	}
}

func (s *Sharer) announceTo(ctx context.Context, addr string, a *messenger.Announce) error {
	conn, err := s.cfg.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	var out messenger.Announced
	return conn.Call(ctx, messenger.KindAnnounce, a, &out)
}
