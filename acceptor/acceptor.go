// Package acceptor bounds the connections of a listener. At the bound, a new connection
// replaces the one that has been idle or in the middle of a request for longest. Connections
// whose request has arrived completely are kept until it is answered.
package acceptor

import (
	"cmp"
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/defaulter"
)

const (
	// DefaultMax is the number of connections at a time if Config.Max is zero.
	DefaultMax = 1024
	// ReadBufferBytes is the size of the kernel's buffer for what a connection has sent and
	// the process has not read yet. It allows 3 MB/s at a round trip of 20 ms.
	ReadBufferBytes = 64 << 10
	// logInterval is the minimum interval between two log lines, as a crowd may open thousands
	// of connections a second.
	logInterval = time.Second
)

// Config configures an Acceptor.
type Config struct {
	Name         string        // of the listener, in logs and metrics
	Max          int           // connections at a time; DefaultMax if zero
	BodyTimeout  time.Duration // for the body of an HTTP request; DefaultBodyTimeout if zero
	WriteTimeout time.Duration // for an HTTP request from its head to the end of its answer; zero for no bound
	Log          *logrus.Entry
	Metrics      metrics.Registry
	Now          func() time.Time
}

// Acceptor accepts the TCP connections of a listener. Those of other networks are not bounded.
type Acceptor struct {
	net.Listener

	cfg     Config
	openNow metrics.Gauge
	evicted metrics.Counter // open connections closed for new ones
	refused metrics.Counter // new connections closed

	mu        sync.Mutex
	open      int
	receiving list.List // of *conn without a complete request, the one waiting longest first
	logged    time.Time // when evictions or refusals were last logged
}

// New returns an Acceptor that takes over l.
func New(l net.Listener, cfg Config) *Acceptor {
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &cfg.Now)
	cfg.Max = cmp.Or(cfg.Max, DefaultMax)
	cfg.BodyTimeout = cmp.Or(cfg.BodyTimeout, DefaultBodyTimeout)
	prefix := "connections." + cfg.Name
	return &Acceptor{
		Listener: l, cfg: cfg,
		openNow: metrics.GetOrRegisterGauge(prefix+".open", cfg.Metrics),
		evicted: metrics.GetOrRegisterCounter(prefix+".evicted", cfg.Metrics),
		refused: metrics.GetOrRegisterCounter(prefix+".refused", cfg.Metrics),
	}
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn

	a      *Acceptor
	place  *list.Element // in receiving; nil while a complete request is served
	closed bool
}

// Accept returns the next connection. It closes another one, or this one and waits for the
// next, where there would be too many.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		_ = tcp.SetReadBuffer(ReadBufferBytes) // fails only if the connection has ended
		if added := a.add(tcp); added != nil {
			return added, nil
		}
		_ = tcp.Close()
	}
}

// add adds a connection, nil if there is no room for it.
func (a *Acceptor) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, a: a}
	a.mu.Lock()
	full := a.open >= a.cfg.Max
	var victim *conn
	if full {
		victim = a.evict()
	}
	accepted := !full || victim != nil
	if accepted {
		a.open++
		c.place = a.receiving.PushBack(c)
	} else {
		a.refused.Inc(1)
	}
	a.openNow.Update(int64(a.open))
	a.mu.Unlock()
	if full {
		a.report()
	}
	if victim != nil {
		_ = victim.TCPConn.Close() // its owner notices
	}
	if !accepted {
		return nil
	}
	return c
}

// evict removes the connection that has waited longest without a complete request. It
// returns nil if there is none. a.mu must be locked.
func (a *Acceptor) evict() *conn {
	first := a.receiving.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*conn)
	a.remove(c)
	a.evicted.Inc(1)
	return c
}

// remove forgets a connection. a.mu must be locked.
func (a *Acceptor) remove(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	a.open--
	if c.place != nil {
		a.receiving.Remove(c.place)
		c.place = nil
	}
}

// report logs the connections that were closed, at most once in logInterval.
func (a *Acceptor) report() {
	a.mu.Lock()
	now := a.cfg.Now()
	if now.Sub(a.logged) < logInterval {
		a.mu.Unlock()
		return
	}
	a.logged = now
	fields := logrus.Fields{"listener": a.cfg.Name, "max": a.cfg.Max, "receiving": a.receiving.Len(), "evicted": a.evicted.Count(), "refused": a.refused.Count()}
	a.mu.Unlock()
	a.cfg.Log.WithFields(fields).Warn("connections closed, as there are too many")
}

// Serving records that a connection from Accept has delivered a complete request, or has
// authenticated itself, so that it is not closed in favor of others.
func Serving(c net.Conn) {
	if own, ok := c.(*conn); ok {
		own.serve()
	}
}

func (c *conn) serve() {
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	if c.place != nil {
		c.a.receiving.Remove(c.place)
		c.place = nil
	}
}

// receive records that the connection waits for its next request.
func (c *conn) receive() {
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	if !c.closed && c.place == nil {
		c.place = c.a.receiving.PushBack(c)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.a.mu.Lock()
	c.a.remove(c)
	c.a.openNow.Update(int64(c.a.open))
	c.a.mu.Unlock()
	return c.TCPConn.Close()
}
