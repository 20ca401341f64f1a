package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultBodyTimeout is the time for the body of a request if Config.BodyTimeout is zero.
	DefaultBodyTimeout = 30 * time.Second
	// MaxHeadBytes bounds the head of a request. It is above what configurations ask for, and
	// far below the default of net/http, as all connections may send one at the same time.
	MaxHeadBytes = 64 << 10
	// headTimeout bounds how long a client may take to send the head of a request. It is above
	// any value that a configuration may ask for.
	headTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle. It is above what the configuration
	// promises callers.
	idleTimeout = 90 * time.Second
)

type connKey struct{}

// Server returns an HTTP server for the acceptor's connections. A request's body must arrive
// within BodyTimeout, also if h does not read it: the server does so before it answers.
func (a *Acceptor) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: a.receive(h), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeadBytes, WriteTimeout: a.cfg.WriteTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			if own, ok := c.(*conn); ok && s == http.StateIdle {
				own.receive()
			}
		},
	}
}

// receive returns a handler that records when a request has arrived completely, and bounds
// the time until then.
func (a *Acceptor) receive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		if r.ContentLength == 0 {
			Serving(c)
			h.ServeHTTP(w, r)
			return
		}
		ctl := http.NewResponseController(w)
		_ = ctl.SetReadDeadline(a.cfg.Now().Add(a.cfg.BodyTimeout)) // fails only if the connection has ended
		read := r.WithContext(r.Context())                          // the server looks at the original body when it answers
		read.Body = &body{ReadCloser: r.Body, complete: func() {
			Serving(c)
			_ = ctl.SetReadDeadline(time.Time{})
		}}
		h.ServeHTTP(w, read)
	})
}

// body is the body of a request. It calls complete once it was read to its end.
type body struct {
	io.ReadCloser
	complete func()
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.complete != nil {
		b.complete()
		b.complete = nil
	}
	return n, err
}
