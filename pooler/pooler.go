// Package pooler maintains one multiplexed connection per peer address. It replaces
// a connection that has ended, so that no exchange starts on a closed connection.
package pooler

import (
	"context"
	"sync"

	"bramleyshunt/muxer"
)

// Pooler is a pool of connections by address. The zero value dials with a zero
// Config. It is safe for concurrent use.
type Pooler struct {
	Config muxer.Config
	Dial   func(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) // muxer.Dial if nil

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connection to one address. Its mutex serializes dials.
type peer struct {
	mu     sync.Mutex
	conn   *muxer.Muxer
	closer func()
}

// New returns a Pooler and the function that closes all its connections.
func New(cfg muxer.Config) (*Pooler, func()) {
	p := &Pooler{Config: cfg}
	return p, p.close
}

// Get returns the connection to addr and dials if there is none or it has ended.
func (p *Pooler) Get(ctx context.Context, addr string) (*muxer.Muxer, error) {
	e := p.peer(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLive() {
		return e.conn, nil
	}
	dial := p.Dial
	if dial == nil {
		dial = muxer.Dial
	}
	conn, closer, err := dial(ctx, addr, p.Config)
	if err != nil {
		return nil, err
	}
	e.conn, e.closer = conn, closer
	return conn, nil
}

// Forget closes the connection to addr, if there is one, so that the next Get dials
// again.
func (p *Pooler) Forget(addr string) {
	e := p.peer(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeConn()
}

func (p *Pooler) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]*peer{}
	}
	e := p.peers[addr]
	if e == nil {
		e = &peer{}
		p.peers[addr] = e
	}
	return e
}

func (e *peer) isLive() bool {
	if e.conn == nil {
		return false
	}
	select {
	case <-e.conn.Done():
		return false
	default:
		return true
	}
}

func (e *peer) closeConn() {
	if e.closer != nil {
		e.closer()
	}
	e.conn, e.closer = nil, nil
}

func (p *Pooler) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.peers {
		e.mu.Lock()
		e.closeConn()
		e.mu.Unlock()
	}
}
