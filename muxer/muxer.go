// Package muxer multiplexes many exchanges over one TCP connection between
// processes of the system. Both ends prove that they hold the fleet key and send
// heartbeats. A connection on which nothing arrives within the idle timeout is
// closed: every exchange on it fails with code Silent, and the caller has to dial
// again.
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

	"bramleyshunt/acceptor"
	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
	"bramleyshunt/framer"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// DefaultHeartbeat is used when Config.Heartbeat is zero.
	DefaultHeartbeat = time.Second
	// DialTimeout bounds the time to establish a connection. It is above any round trip
	// between VMs and below the second after which a lost SYN is sent again: a VM that
	// starts after its peers has lost their first ones.
	DialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is used when Config.IdleTimeout is zero.
	DefaultIdleTimeout = 3 * time.Second

	// maxHelloBytes bounds the frames of the handshake, as anyone may send them. They hold a
	// node name and some 64 bytes.
	maxHelloBytes = 4 << 10

	// frameCopies is how many times a long frame is in memory while it is decoded.
	frameCopies = 2

	maxInbox         = 4096
	firstDialID      = 1 // the dialing end opens streams with odd IDs, the accepting end with even ones
	firstAcceptID    = 2
	streamIDStep     = 2
	acceptRetryDelay = 50 * time.Millisecond
)

// Config configures one end of a connection. Zero durations select the defaults.
type Config struct {
	Node          string        // node name sent to the peer
	Key           []byte        // fleet key
	Heartbeat     time.Duration // interval between heartbeats
	IdleTimeout   time.Duration // closes the connection when no frame arrives for this long
	MaxFrameBytes int           // bytes; framer.DefaultMaxFrameBytes if zero
	// Frames reads the long frames of accepted connections within a budget; there is none if
	// it is nil.
	Frames *bufferer.Bufferer
}

func (c Config) heartbeatInterval() time.Duration {
	if c.Heartbeat > 0 {
		return c.Heartbeat
	}
	return DefaultHeartbeat
}

func (c Config) idleTimeout() time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return DefaultIdleTimeout
}

// envelope is one frame. Frames of stream zero are heartbeats of the connection.
// Close ends the sender's half of the stream. Open marks the first frame of a
// stream: a frame without it that arrives after its stream ended is dropped and does
// not open the stream again.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"`
	Stream   uint64
	Kind     messenger.Kind
	Close    bool
	Body     msgpack.RawMessage
	Open     bool
}

// Muxer is one authenticated connection. It is safe for concurrent use.
type Muxer struct {
	Peer string // node name of the authenticated peer

	cfg    Config
	conn   net.Conn
	framer *framer.Framer
	handle func(context.Context, *Stream)
	ctx    context.Context
	stop   context.CancelCauseFunc

	writeMu sync.Mutex

	mu      sync.Mutex
	nextID  uint64
	streams map[uint64]*Stream

	frame bufferer.Hold // of the frame that was read last, if it is long; for readFrames only
}

// Dial connects to addr and runs the handshake. The returned function closes the
// connection. Errors carry codes BadProof, BadVersion, Silent or TargetLost.
func Dial(ctx context.Context, addr string, cfg Config) (*Muxer, func(), error) {
	d := net.Dialer{Timeout: DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, &coder.Error{Code: coder.TargetLost, Run: coder.NotRun, Cause: err}
	}
	return Connect(ctx, conn, cfg)
}

// Connect runs the handshake on an established connection, on the side that dialed it.
// The returned function closes the connection.
func Connect(ctx context.Context, conn net.Conn, cfg Config) (*Muxer, func(), error) {
	return newMuxer(ctx, conn, cfg, firstDialID, nil)
}

// Accept runs the handshake on an accepted connection and serves it until it ends.
// It calls handle in a new goroutine for each stream that the peer opens.
func Accept(ctx context.Context, conn net.Conn, cfg Config, handle func(context.Context, *Stream)) error {
	m, closer, err := newMuxer(ctx, conn, cfg, firstAcceptID, handle)
	if err != nil {
		return err
	}
	defer closer()
	<-m.ctx.Done()
	return context.Cause(m.ctx)
}

// Serve accepts connections on l until ctx ends, then closes l and every
// connection. It retries a failed accept, such as for lack of file descriptors,
// after a delay. It returns an error only if l is closed by someone else.
func Serve(ctx context.Context, l net.Listener, cfg Config, handle func(context.Context, *Stream)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			_ = sleeper.Sleep(ctx, acceptRetryDelay)
		default:
			wg.Go(func() { _ = Accept(ctx, conn, cfg, handle) })
		}
	}
}

func newMuxer(ctx context.Context, conn net.Conn, cfg Config, firstID uint64, handle func(context.Context, *Stream)) (*Muxer, func(), error) {
	f := framer.New(conn)
	f.MaxFrameBytes = maxHelloBytes
	if err := conn.SetDeadline(time.Now().Add(cfg.idleTimeout())); err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("set deadline: %w", err)
	}
	peer, err := handshake(f, cfg, firstID == firstDialID)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	f.MaxFrameBytes = cfg.MaxFrameBytes
	acceptor.Serving(conn)
	_ = conn.SetDeadline(time.Time{})
	mctx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	m := &Muxer{
		Peer: peer, cfg: cfg, conn: conn, framer: f, handle: handle,
		ctx: mctx, stop: stop, nextID: firstID, streams: map[uint64]*Stream{},
	}
	if handle != nil && cfg.Frames != nil {
		f.ReadLong = m.readLong
	}
	var stopWatch func() bool
	if handle != nil {
		stopWatch = context.AfterFunc(ctx, func() { m.closeWithError(context.Cause(ctx)) })
	}
	var wg conc.WaitGroup
	wg.Go(m.readFrames)
	wg.Go(m.sendHeartbeats)
	closer := func() {
		if stopWatch != nil {
			stopWatch()
		}
		m.closeWithError(net.ErrClosed)
		wg.Wait()
	}
	return m, closer, nil
}

// Done returns a channel that is closed when the connection has ended.
func (m *Muxer) Done() <-chan struct{} { return m.ctx.Done() }

// Open starts an exchange and sends its first message.
func (m *Muxer) Open(kind messenger.Kind, v any) (*Stream, error) {
	m.mu.Lock()
	id := m.nextID
	m.nextID += streamIDStep
	s := newStream(m, id)
	m.streams[id] = s
	m.mu.Unlock()
	if err := s.send(kind, v, true); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Call starts an exchange, waits for one answer and decodes it into out. It returns
// a Failed answer as *coder.Error.
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
		return fmt.Errorf("encode envelope: %w", err)
	}
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	if m.ctx.Err() != nil {
		return m.connError()
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(m.cfg.idleTimeout()))
	if err := m.framer.Write(p); err != nil {
		m.closeWithError(err)
		return m.connError()
	}
	return nil
}

func (m *Muxer) connError() error {
	return &coder.Error{Code: coder.Silent, Run: coder.Unknown, Cause: context.Cause(m.ctx)}
}

func (m *Muxer) sendHeartbeats() {
	t := time.NewTicker(m.cfg.heartbeatInterval())
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

func (m *Muxer) readFrames() {
	for {
		_ = m.conn.SetReadDeadline(time.Now().Add(m.cfg.idleTimeout()))
		if err := m.readFrame(); err != nil {
			m.closeWithError(err)
			return
		}
	}
}

// readFrame reads a frame and delivers its message.
func (m *Muxer) readFrame() error {
	p, err := m.framer.Read()
	if err != nil {
		return err
	}
	defer m.releaseFrame()
	var e envelope
	if err := msgpack.Unmarshal(p, &e); err != nil {
		return coder.Errorf(coder.BadFrame, "decode envelope: %v", err)
	}
	if e.Stream != 0 {
		m.deliver(&e)
	}
	return nil
}

// readLong reads a long frame. The connection ends if there is no memory for it.
func (m *Muxer) readLong(r io.Reader, n int) ([]byte, error) {
	hold, err := m.cfg.Frames.Read(io.LimitReader(r, int64(n)), bufferer.Body{
		Length: int64(n), Limit: int64(n), Copies: frameCopies,
		Cancel: func() { _ = m.conn.SetReadDeadline(time.Unix(1, 0)) }, // fails only if the connection has ended
	})
	m.frame = hold
	return hold.Data, err
}

// releaseFrame frees the memory of a long frame.
func (m *Muxer) releaseFrame() {
	if m.frame.Release != nil {
		m.frame.Release()
		m.frame = bufferer.Hold{}
	}
}

func (m *Muxer) deliver(e *envelope) {
	m.mu.Lock()
	s := m.streams[e.Stream]
	opened := s == nil && m.accepts(e)
	if opened {
		s = newStream(m, e.Stream)
		m.streams[e.Stream] = s
	}
	m.mu.Unlock()
	if s == nil {
		return
	}
	s.receiveFrame(e)
	if opened {
		go func() {
			defer s.Close()
			m.handle(s.ctx, s)
		}()
	}
}

// accepts reports whether e opens a stream. Streams opened by the peer have IDs of the
// opposite parity.
func (m *Muxer) accepts(e *envelope) bool {
	return m.handle != nil && e.Open && !e.Close && e.Stream%streamIDStep != m.nextID%streamIDStep
}

func (m *Muxer) remove(id uint64) {
	m.mu.Lock()
	delete(m.streams, id)
	m.mu.Unlock()
}

func (m *Muxer) closeWithError(err error) {
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("peer closed the connection: %w", err)
	}
	m.stop(err)
	_ = m.conn.Close()
}
