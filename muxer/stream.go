package muxer

import (
	"context"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Message is one received message with its encoded body.
type Message struct {
	Kind messenger.Kind
	Body []byte
}

// Decode decodes the message into v. A Failed message is returned as *coder.Error.
func (m Message) Decode(v any) error {
	if m.Kind == messenger.KindFailed {
		var f messenger.Failed
		if err := msgpack.Unmarshal(m.Body, &f); err != nil {
			return coder.Errorf(coder.BadFrame, "decode Failed: %v", err)
		}
		return f.Err()
	}
	if err := msgpack.Unmarshal(m.Body, v); err != nil {
		return coder.Errorf(coder.BadFrame, "decode %s: %v", m.Kind, err)
	}
	return nil
}

// Stream is one exchange on a connection. A stream with maxInbox unread messages is
// ended when another arrives, so that a slow reader can't block other streams.
type Stream struct {
	m    *Muxer
	id   uint64
	in   *inbox
	ctx  context.Context
	stop context.CancelCauseFunc
	once sync.Once
}

func newStream(m *Muxer, id uint64) *Stream {
	ctx, stop := context.WithCancelCause(m.ctx)
	return &Stream{m: m, id: id, in: newInbox(), ctx: ctx, stop: stop}
}

// Peer returns the node name of the authenticated peer.
func (s *Stream) Peer() string { return s.m.Peer }

// Done returns a channel that is closed when the stream or its connection has ended.
func (s *Stream) Done() <-chan struct{} { return s.ctx.Done() }

// ConnDone returns a channel that is closed when the connection has ended. The
// stream may have ended earlier.
func (s *Stream) ConnDone() <-chan struct{} { return s.m.ctx.Done() }

// Send sends one message. A lost connection returns code Silent.
func (s *Stream) Send(kind messenger.Kind, v any) error { return s.send(kind, v, false) }

func (s *Stream) send(kind messenger.Kind, v any, first bool) error {
	if s.ctx.Err() != nil {
		return s.closedError()
	}
	body, err := msgpack.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", kind, err)
	}
	return s.m.send(&envelope{Stream: s.id, Kind: kind, Body: body, Open: first})
}

// Fail sends err as a Failed message for an attempt.
func (s *Stream) Fail(attempt string, err error) error {
	return s.Send(messenger.KindFailed, messenger.FailedOf(attempt, err))
}

// Receive returns the next message in the order of sending. Messages that arrived
// before the stream ended are still returned. A lost connection returns code Silent.
func (s *Stream) Receive(ctx context.Context) (Message, error) {
	for {
		if msg, ok := s.in.take(); ok {
			return msg, nil
		}
		select {
		case <-s.in.ready:
		case <-s.ctx.Done():
			return s.receiveFinal()
		case <-ctx.Done():
			return Message{}, ctx.Err()
		}
	}
}

// receiveFinal returns a message that arrived at the same time as the stream ended.
func (s *Stream) receiveFinal() (Message, error) {
	if msg, ok := s.in.take(); ok {
		return msg, nil
	}
	return Message{}, s.closedError()
}

func (s *Stream) closedError() error {
	return &coder.Error{Code: coder.Silent, Run: coder.Unknown, Cause: context.Cause(s.ctx)}
}

// Close ends the exchange at both ends.
func (s *Stream) Close() {
	s.once.Do(func() {
		_ = s.m.send(&envelope{Stream: s.id, Close: true})
		s.m.remove(s.id)
		s.stop(errStreamClosed)
	})
}

var errStreamClosed = fmt.Errorf("stream ended")

func (s *Stream) receiveFrame(e *envelope) {
	if e.Close {
		s.m.remove(s.id)
		s.stop(errStreamClosed)
		return
	}
	if !s.in.put(Message{Kind: e.Kind, Body: e.Body}) {
		s.m.remove(s.id)
		s.stop(coder.Errorf(coder.Overloaded, "stream reader is %d frames behind", maxInbox))
	}
}
