package publisher_test

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// meter counts the traffic of connections.
type meter struct {
	in, out  atomic.Int64 // bytes
	messages atomic.Int64 // frames of both ends
}

type countingListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, meter: l.meter}, nil
}

// countingConn counts the frames that arrive by their length prefixes.
type countingConn struct {
	net.Conn
	meter *meter
	head  []byte // of the next frame, as far as it has arrived
	rest  int    // of the present frame, bytes
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	for _, b := range p[:n] {
		c.arrived(b)
	}
	return n, err
}

func (c *countingConn) arrived(b byte) {
	const headBytes = 4
	if c.rest > 0 {
		c.rest--
		return
	}
	c.head = append(c.head, b)
	if len(c.head) == headBytes {
		c.rest = int(binary.BigEndian.Uint32(c.head))
		c.head = c.head[:0]
		c.meter.messages.Add(1)
	}
}

// Write implements net.Conn. A frame is one write.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	c.meter.messages.Add(1)
	return n, err
}
