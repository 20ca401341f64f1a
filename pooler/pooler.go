// Package pooler keeps one live connection to each peer address and replaces it
// when it has ended, so that no exchange starts on an old socket.
package pooler

import (
	"context"
	"sync"

	"bramleyshunt/muxer"
)

// Pooler hands out connections by address. The zero value dials with a zero Config.
type Pooler struct {
	Config muxer.Config
	Dial   func(ctx context.Context, addr string, cfg muxer.Config) (*muxer.Muxer, func(), error) // muxer.Dial if nil

	mu    sync.Mutex
	peers map[string]*peer
}

// peer serializes dials to one address.
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

// Get returns a live connection to addr, dialing one if there is none.
func (p *Pooler) Get(ctx context.Context, addr string) (*muxer.Muxer, error) {
	e := p.peer(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.alive() {
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

// Forget closes the connection to addr; the next Get dials anew.
func (p *Pooler) Forget(addr string) {
	e := p.peer(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
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

func (e *peer) alive() bool {
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

func (e *peer) end() {
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
		e.end()
		e.mu.Unlock()
	}
}
