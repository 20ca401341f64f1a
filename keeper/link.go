package keeper

import (
	"context"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/replicator"
)

const linkCount = 256 // messages that wait for a peer before more are dropped

// link sends to one address. A peer that doesn't keep up loses messages, which
// the replica sends again; it never holds up the control goroutine.
type link struct {
	address string
	queue   chan any
}

func (k *Keeper) sendAll(sends []replicator.Send) {
	for _, s := range sends {
		if s.To.Disk == k.rec.Disk() {
			k.own = append(k.own, s.Body)
			continue
		}
		if k.cfg.Drop != nil && k.cfg.Drop(s.To, s.Body) {
			continue
		}
		l := k.links[s.To.Address]
		if l == nil {
			l = &link{address: s.To.Address, queue: make(chan any, linkCount)}
			k.links[s.To.Address] = l
			k.wg.Go(func() { k.serve(l) })
		}
		select {
		case l.queue <- s.Body:
			k.gauges.sent.Inc(1)
		default:
			k.gauges.dropped.Inc(1)
		}
	}
}

// serve sends a link's messages, all on one stream while it lasts.
func (k *Keeper) serve(l *link) {
	var s *muxer.Stream
	for {
		select {
		case <-k.ctx.Done():
			if s != nil {
				s.Close()
			}
			return
		case body := <-l.queue:
			s = k.sendOne(l, s, body)
		}
	}
}

// sendOne returns the stream to go on with; nil if the message was lost.
func (k *Keeper) sendOne(l *link, s *muxer.Stream, body any) *muxer.Stream {
	kind := kindOf(body)
	if s != nil {
		if s.Send(kind, body) == nil {
			return s
		}
		s.Close()
	}
	m, err := k.cfg.Pool.Get(k.ctx, l.address)
	if err != nil {
		l.drain()
		return nil
	}
	s, err = m.Open(kind, body)
	if err != nil {
		return nil
	}
	return s
}

// drain drops what gathered for an address that can't be reached.
func (l *link) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// Handle serves a stream of another keeper. It returns false at once if first
// is no message between keepers.
func (k *Keeper) Handle(ctx context.Context, s *muxer.Stream, first muxer.Message) bool {
	body := bodyOf(first.Kind)
	if body == nil {
		return false
	}
	for msg := first; ; {
		if err := msg.Decode(body); err != nil {
			return true
		}
		select {
		case k.in <- input{message: body}:
		case <-ctx.Done():
			return true
		case <-k.ctx.Done():
			return true
		}
		var err error
		if msg, err = s.Receive(ctx); err != nil {
			return true
		}
		if body = bodyOf(msg.Kind); body == nil {
			return true
		}
	}
}

var bodies = map[messenger.Kind]func() any{
	messenger.KindVote:      func() any { return &messenger.Vote{} },
	messenger.KindVoted:     func() any { return &messenger.Voted{} },
	messenger.KindAppend:    func() any { return &messenger.Append{} },
	messenger.KindAppended:  func() any { return &messenger.Appended{} },
	messenger.KindInstall:   func() any { return &messenger.Install{} },
	messenger.KindInstalled: func() any { return &messenger.Installed{} },
	messenger.KindProbe:     func() any { return &messenger.Probe{} },
	messenger.KindProbed:    func() any { return &messenger.Probed{} },
	messenger.KindFound:     func() any { return &messenger.Found{} },
	messenger.KindConfirm:   func() any { return &messenger.Confirm{} },
	messenger.KindConfirmed: func() any { return &messenger.Confirmed{} },
	messenger.KindStand:     func() any { return &messenger.Stand{} },
}

// bodyOf returns an empty message of a kind between keepers; nil for others.
func bodyOf(kind messenger.Kind) any {
	if f := bodies[kind]; f != nil {
		return f()
	}
	return nil
}

func kindOf(body any) messenger.Kind {
	switch body.(type) {
	case *messenger.Vote:
		return messenger.KindVote
	case *messenger.Voted:
		return messenger.KindVoted
	case *messenger.Append:
		return messenger.KindAppend
	case *messenger.Appended:
		return messenger.KindAppended
	case *messenger.Install:
		return messenger.KindInstall
	case *messenger.Installed:
		return messenger.KindInstalled
	case *messenger.Probe:
		return messenger.KindProbe
	case *messenger.Probed:
		return messenger.KindProbed
	case *messenger.Found:
		return messenger.KindFound
	case *messenger.Confirm:
		return messenger.KindConfirm
	case *messenger.Confirmed:
		return messenger.KindConfirmed
	case *messenger.Stand:
		return messenger.KindStand
	}
	return messenger.KindNone
}
