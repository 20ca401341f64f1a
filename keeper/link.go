package keeper

import (
	"context"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/replicator"
)

const linkQueueSize = 256 // messages queued for a peer; further ones are dropped

// link sends messages to one address. Messages to a peer that doesn't keep up are
// dropped, and the replica sends them again; a link never blocks the control goroutine.
type link struct {
	address string
	queue   chan any
}

func (k *Keeper) sendAll(sends []replicator.Send) {
	for _, s := range sends {
		if s.To.Disk == k.rec.Disk() {
			k.selfMessages = append(k.selfMessages, s.Body)
			continue
		}
		if k.cfg.Drop != nil && k.cfg.Drop(s.To, s.Body) {
			continue
		}
		l := k.links[s.To.Address]
		if l == nil {
			l = &link{address: s.To.Address, queue: make(chan any, linkQueueSize)}
			k.links[s.To.Address] = l
			k.wg.Go(func() { k.runLink(l) })
		}
		select {
		case l.queue <- s.Body:
			k.metrics.sent.Inc(1)
		default:
			k.metrics.dropped.Inc(1)
		}
	}
}

// runLink sends the queued messages of a link, on the same stream until it fails.
func (k *Keeper) runLink(l *link) {
	var s *muxer.Stream
	for {
		select {
		case <-k.ctx.Done():
			if s != nil {
				s.Close()
			}
			return
		case body := <-l.queue:
			s = k.sendOnLink(l, s, body)
		}
	}
}

// sendOnLink sends a message on a stream, or on a new one if there is none or it fails.
// It returns the stream for the next message, nil if the message was lost.
func (k *Keeper) sendOnLink(l *link, s *muxer.Stream, body any) *muxer.Stream {
	kind := kindOf(body)
	if s != nil {
		if s.Send(kind, body) == nil {
			return s
		}
		s.Close()
	}
	m, err := k.cfg.Pool.Get(k.ctx, l.address)
	if err != nil {
		l.discardQueued()
		return nil
	}
	s, err = m.Open(kind, body)
	if err != nil {
		return nil
	}
	return s
}

// discardQueued drops the queued messages for an address that can't be reached.
func (l *link) discardQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// Handle serves a stream from another keeper until it ends. It returns false, without
// serving it, if first is not a message between keepers.
func (k *Keeper) Handle(ctx context.Context, s *muxer.Stream, first muxer.Message) bool {
	body := newBody(first.Kind)
	if body == nil {
		return false
	}
	for msg := first; ; {
		if err := msg.Decode(body); err != nil {
			return true
		}
		select {
		case k.inputs <- input{message: body}:
		case <-ctx.Done():
			return true
		case <-k.ctx.Done():
			return true
		}
		var err error
		if msg, err = s.Receive(ctx); err != nil {
			return true
		}
		if body = newBody(msg.Kind); body == nil {
			return true
		}
	}
}

var bodyTypes = map[messenger.Kind]func() any{
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

// newBody returns an empty message of a kind that keepers exchange, nil for other kinds.
func newBody(kind messenger.Kind) any {
	if f := bodyTypes[kind]; f != nil {
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
