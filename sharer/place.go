package sharer

import (
	"context"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// errNotRelaying refuses to place requests by counts that are not complete.
var errNotRelaying = coder.Errorf(coder.NotReady, "the counts of the other entries have not all arrived")

// Ask asks the entry that places requests for this one for the targets of a request. It
// returns nil if there is no such entry.
func (s *Sharer) Ask(ctx context.Context, m *messenger.Place) (*messenger.Placed, error) {
	s.mu.Lock()
	relay, ok := s.aggregator.Relay()
	s.mu.Unlock()
	if !ok {
		return nil, nil
	}
	conn, err := s.cfg.Pool.Get(ctx, relay.Address)
	if err != nil {
		return nil, err
	}
	out := &messenger.Placed{}
	return out, conn.Call(ctx, messenger.KindPlace, m, out)
}

// place answers a request of another entry for targets.
func (s *Sharer) place(stream *muxer.Stream, first muxer.Message) {
	var m messenger.Place
	if err := first.Decode(&m); err != nil || s.cfg.Place == nil {
		s.cfg.Log.WithError(err).Warn("could not place a request of another entry")
		stream.Close()
		return
	}
	s.mu.Lock()
	places := s.aggregator.Places(time.Now())
	s.mu.Unlock()
	if !places {
		_ = stream.Fail("", errNotRelaying)
		return
	}
	out, err := s.cfg.Place(&m, func(sends []messenger.Sent) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.aggregator.Reserve(time.Now(), m.Node, sends)
	})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("entry", m.Node).Debug("can't place a request of another entry")
		_ = stream.Fail("", err)
		return
	}
	if err := stream.Send(messenger.KindPlaced, out); err != nil {
		s.cfg.Log.WithError(err).WithField("entry", m.Node).Debug("could not answer an entry that asked for targets")
	}
	s.Changed()
}
