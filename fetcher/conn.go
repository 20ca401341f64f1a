package fetcher

import (
	"bufio"
	"bytes"
	"net"
	"net/textproto"
	"strings"
	"sync"
)

const (
	oldVersion = "HTTP/1.0"
	// maxOldHeadBytes bounds the part of an answer of HTTP/1.0 that is kept. A longer head is
	// cut off where a field that matters may follow, and counts as malformed.
	maxOldHeadBytes = 16 << 10
)

// conn is a connection that keeps the beginning of an answer of HTTP/1.0. net/http drops the
// field Transfer-Encoding of such answers and takes their chunks for their body.
type conn struct {
	net.Conn

	mu      sync.Mutex
	reading bool   // the beginning of the answer is still being read
	head    []byte // of an answer of HTTP/1.0
}

// Watch returns a connection that a Fetcher uses to recognize chunked answers of HTTP/1.0. The
// Fetcher finds it in connections that have a method NetConn, too.
func Watch(c net.Conn) net.Conn { return &conn{Conn: c} }

// watched returns the watched connection within c, nil if there is none.
func watched(c net.Conn) *conn {
	for c != nil {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// begin makes the connection look at the next answer.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.head = true, nil
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.keep(p[:n])
	}
	return n, err
}

// keep keeps a part of an answer, unless the answer has another version.
func (c *conn) keep(p []byte) {
	if len(c.head) == 0 && len(p) >= len(oldVersion) && string(p[:len(oldVersion)]) != oldVersion {
		c.reading = false
		return
	}
	c.head = append(c.head, p[:min(len(p), maxOldHeadBytes-len(c.head))]...)
	started := c.head[:min(len(c.head), len(oldVersion))]
	switch {
	case !strings.HasPrefix(oldVersion, string(started)):
		c.reading, c.head = false, nil
	case len(c.head) == maxOldHeadBytes || bytes.Contains(c.head, []byte("\n\r\n")) || bytes.Contains(c.head, []byte("\n\n")):
		c.reading = false
	}
}

// chunked reports whether the answer of HTTP/1.0 that was read last has a field that frames its
// body, which that version does not know.
func (c *conn) chunked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.head)))
	if _, err := r.ReadLine(); err != nil {
		return false
	}
	fields, err := r.ReadMIMEHeader()
	return err != nil || len(fields["Transfer-Encoding"]) > 0
}
