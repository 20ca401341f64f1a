package sharer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/router"
)

// errNotRelaying refuses to place requests by counts that are not complete.
var errNotRelaying = coder.Errorf(coder.NotReady, "the counts of the other entries have not all arrived")

// Ask asks the entry that places requests for this one for the targets of a request. It
// returns nil if there is no such entry, or if it lies outside the regions of the request and
// this entry's own, so that it must not get to know the request.
func (s *Sharer) Ask(ctx context.Context, m *messenger.Place) (*messenger.Placed, error) {
	s.mu.Lock()
	relay, ok := s.aggregator.Relay()
	s.mu.Unlock()
	if !ok {
		return nil, nil
	}
	if !s.mayAsk(relay, m) {
		metrics.GetOrRegisterCounter("share.place.outside", s.cfg.Metrics).Inc(1)
		s.cfg.Log.WithFields(logrus.Fields{"relay": relay.ID, "region": relay.Region, "regions": m.Regions}).Debug("relay lies outside the regions of the request, placing without it")
		return nil, nil
	}
	conn, err := s.cfg.Pool.Get(ctx, relay.Address)
	if err != nil {
		return nil, err
	}
	out := &messenger.Placed{}
	return out, conn.Call(ctx, messenger.KindPlace, m, out)
}

// mayAsk reports whether a relay may be asked for the targets of a request: it lies in one of
// the regions where the request may be served, or in this entry's own, to which the caller has
// sent the request.
func (s *Sharer) mayAsk(relay messenger.Target, m *messenger.Place) bool {
	return router.InRegions(relay, m.Regions) || relay.Region != "" && relay.Region == s.cfg.Region
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
