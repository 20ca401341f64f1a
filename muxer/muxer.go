// Package muxer carries many exchanges over one TCP connection between the
// system's own processes. Both ends prove that they hold the fleet key, send
// heartbeats, and give a connection up when it goes silent; every exchange on
// it then ends with code Silent, and the caller goes on over a new connection.
package muxer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/framer"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// DefaultHeartbeat is the time between heartbeats when Config.Heartbeat is zero.
	DefaultHeartbeat = time.Second
	// DefaultSilence ends a connection on which nothing arrived, when Config.Silence is zero.
	DefaultSilence = 3 * time.Second

	inboxFrames  = 4096
	firstOpen    = 1 // streams opened by the dialing end are odd
	firstAccept  = 2
	streamStride = 2
	acceptPause  = 50 * time.Millisecond
)

// Config says who this end is. Zero durations take the defaults.
type Config struct {
	Node      string        // identity shown to the peer
	Key       []byte        // fleet key
	Heartbeat time.Duration // between heartbeats sent
	Silence   time.Duration // without any frame before the connection is given up
	MaxFrame  int           // bytes; framer.DefaultMax if zero
}

func (c Config) heartbeat() time.Duration {
	if c.Heartbeat > 0 {
		return c.Heartbeat
	}
	return DefaultHeartbeat
}

func (c Config) silence() time.Duration {
	if c.Silence > 0 {
		return c.Silence
	}
	return DefaultSilence
}

// envelope is one frame. Stream zero is the connection itself; its frames are
// heartbeats. Close ends the sender's half of the stream. Open marks a stream's
// first frame: without it, a late frame of a stream that has ended is dropped.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"`
	Stream   uint64
	Kind     messenger.Kind
	Close    bool
	Body     msgpack.RawMessage
	Open     bool
}

// Muxer is one authenticated connection.
type Muxer struct {
	Peer string // identity the other end proved

	cfg    Config
	conn   net.Conn
	framer *framer.Framer
	handle func(context.Context, *Stream)
	ctx    context.Context
	stop   context.CancelCauseFunc

	wmu sync.Mutex

	mu      sync.Mutex
	next    uint64
	streams map[uint64]*Stream
}

// Dial connects to addr and proves the fleet key. The returned function closes
// the connection. Errors carry codes BadProof, BadVersion, Silent or TargetLost.
func Dial(ctx context.Context, addr string, cfg Config) (*Muxer, func(), error) {
	d := net.Dialer{Timeout: cfg.silence()}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, &coder.Error{Code: coder.TargetLost, Run: coder.NotRun, Cause: err}
	}
	return open(ctx, conn, cfg, firstOpen, nil)
}

// Accept serves one accepted connection until it ends. It calls handle in a new
// goroutine for each stream that the peer opens.
func Accept(ctx context.Context, conn net.Conn, cfg Config, handle func(context.Context, *Stream)) error {
	m, closer, err := open(ctx, conn, cfg, firstAccept, handle)
	if err != nil {
		return err
	}
	defer closer()
	<-m.ctx.Done()
	return context.Cause(m.ctx)
}

// Serve accepts connections on l until ctx ends, then closes l and every
// connection. When accepting fails, it tries again after a pause. It returns an
// error only if l was closed by another.
func Serve(ctx context.Context, l net.Listener, cfg Config, handle func(context.Context, *Stream)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			_ = sleeper.Sleep(ctx, acceptPause)
		default:
			wg.Go(func() { _ = Accept(ctx, conn, cfg, handle) })
		}
	}
}

func open(ctx context.Context, conn net.Conn, cfg Config, first uint64, handle func(context.Context, *Stream)) (*Muxer, func(), error) {
	f := framer.New(conn)
	f.MaxFrameBytes = cfg.MaxFrame
	if err := conn.SetDeadline(time.Now().Add(cfg.silence())); err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("set deadline: %w", err)
	}
	peer, err := prove(f, cfg, first == firstOpen)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	mctx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	m := &Muxer{
		Peer: peer, cfg: cfg, conn: conn, framer: f, handle: handle,
		ctx: mctx, stop: stop, next: first, streams: map[uint64]*Stream{},
	}
	var cut func() bool
	if handle != nil {
		cut = context.AfterFunc(ctx, func() { m.fail(context.Cause(ctx)) })
	}
	var wg conc.WaitGroup
	wg.Go(m.read)
	wg.Go(m.beat)
	closer := func() {
		if cut != nil {
			cut()
		}
		m.fail(net.ErrClosed)
		wg.Wait()
	}
	return m, closer, nil
}

// Done is closed when the connection has ended.
func (m *Muxer) Done() <-chan struct{} { return m.ctx.Done() }

// Open starts an exchange by sending its first message.
func (m *Muxer) Open(kind messenger.Kind, v any) (*Stream, error) {
	m.mu.Lock()
	id := m.next
	m.next += streamStride
	s := newStream(m, id)
	m.streams[id] = s
	m.mu.Unlock()
	if err := s.send(kind, v, true); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Call opens an exchange, waits for one answer and decodes it into out.
// A Failed answer is returned as *coder.Error.
func (m *Muxer) Call(ctx context.Context, kind messenger.Kind, v, out any) error {
	s, err := m.Open(kind, v)
	if err != nil {
		return err
	}
	defer s.Close()
	msg, err := s.Receive(ctx)
	if err != nil {
		return err
	}
	return msg.Decode(out)
}

func (m *Muxer) send(e *envelope) error {
	p, err := msgpack.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	m.wmu.Lock()
	defer m.wmu.Unlock()
	if m.ctx.Err() != nil {
		return m.lost()
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(m.cfg.silence()))
	if err := m.framer.Write(p); err != nil {
		m.fail(err)
		return m.lost()
	}
	return nil
}

func (m *Muxer) lost() error {
	return &coder.Error{Code: coder.Silent, Run: coder.Unknown, Cause: context.Cause(m.ctx)}
}

func (m *Muxer) beat() {
	t := time.NewTicker(m.cfg.heartbeat())
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
			_ = m.send(&envelope{})
		}
	}
}

func (m *Muxer) read() {
	for {
		_ = m.conn.SetReadDeadline(time.Now().Add(m.cfg.silence()))
		p, err := m.framer.Read()
		if err != nil {
			m.fail(err)
			return
		}
		var e envelope
		if err := msgpack.Unmarshal(p, &e); err != nil {
			m.fail(coder.Errorf(coder.BadFrame, "%v", err))
			return
		}
		if e.Stream != 0 {
			m.deliver(&e)
		}
	}
}

func (m *Muxer) deliver(e *envelope) {
	m.mu.Lock()
	s := m.streams[e.Stream]
	fresh := s == nil && m.accepts(e)
	if fresh {
		s = newStream(m, e.Stream)
		m.streams[e.Stream] = s
	}
	m.mu.Unlock()
	if s == nil {
		return
	}
	s.push(e)
	if fresh {
		go func() {
			defer s.Close()
			m.handle(s.ctx, s)
		}()
	}
}

// accepts reports whether e opens a stream: the peer's ids have the other parity.
func (m *Muxer) accepts(e *envelope) bool {
	return m.handle != nil && e.Open && !e.Close && e.Stream%streamStride != m.next%streamStride
}

func (m *Muxer) drop(id uint64) {
	m.mu.Lock()
	delete(m.streams, id)
	m.mu.Unlock()
}

func (m *Muxer) fail(err error) {
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("peer closed the connection: %w", err)
	}
	m.stop(err)
	_ = m.conn.Close()
}
