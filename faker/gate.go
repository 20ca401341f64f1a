package faker

import (
	"context"
	"sync"
)

// gate blocks its waiters while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while the gate is open; closed when it opens
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open. It returns false if ctx ends first.
func (g *gate) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return ctx.Err() == nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return false
		}
	}
}
