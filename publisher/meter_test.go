package publisher_test

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// meter counts the traffic of the connections of a countingListener.
type meter struct {
	in, out  atomic.Int64 // bytes
	messages atomic.Int64 // frames in both directions
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

// countingConn counts the frames that it receives by their length prefixes.
type countingConn struct {
	net.Conn
	meter     *meter
	prefix    []byte // received part of the next frame's length prefix
	remaining int    // bytes of the current frame that have not arrived
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	for _, b := range p[:n] {
		c.countByte(b)
	}
	return n, err
}

func (c *countingConn) countByte(b byte) {
	const prefixBytes = 4
	if c.remaining > 0 {
		c.remaining--
		return
	}
	c.prefix = append(c.prefix, b)
	if len(c.prefix) == prefixBytes {
		c.remaining = int(binary.BigEndian.Uint32(c.prefix))
		c.prefix = c.prefix[:0]
		c.meter.messages.Add(1)
	}
}

// Write implements net.Conn. Each frame is sent in one write.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	c.meter.messages.Add(1)
	return n, err
}
