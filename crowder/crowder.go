// Package crowder opens crowds of connections that misbehave, for tests of what a process
// holds for all of its connections together. It also measures the memory and the
// descriptors of that process.
package crowder

import (
	"io"
	"net"
	"sync"
	"time"
)

// sendTimeout bounds how long a connection waits for a process that has stopped reading.
const sendTimeout = 2 * time.Second

// Crowder describes connections to one address that send at the same time and stay open.
type Crowder struct {
	Addr string                         // host:port
	Size int                            // number of connections
	Send func(w io.Writer, n int) error // sends what connection n sends, from 0; w is a net.Conn
}

// Gather opens the connections and returns once each of them has sent everything or can't
// send more, because it is closed or not read. The returned function closes those that are
// still open and waits until that is done.
func (c *Crowder) Gather() func() {
	var mu sync.Mutex
	var conns []net.Conn
	var sending, open sync.WaitGroup
	for n := range c.Size {
		sending.Add(1)
		open.Go(func() {
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			conn, err := net.Dial("tcp", c.Addr)
			if err != nil {
				return // refused, which a process may do
			}
			defer func() { _ = conn.Close() }()
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if err := c.Send(deadlineConn{conn}, n); err != nil {
				sent()
			}
			sent()
			_, _ = io.Copy(io.Discard, conn) // returns once either end closes the connection
		})
	}
	sending.Wait()
	return func() {
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		open.Wait()
	}
}

// deadlineConn is a connection on which each write is bounded.
type deadlineConn struct {
	net.Conn
}

// Write writes p or fails after sendTimeout.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
