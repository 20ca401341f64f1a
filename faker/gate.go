package faker

import (
	"context"
	"sync"
)

// gate holds everything up while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while open; closed when it opens
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// pass waits until the gate is open; it returns false if ctx ends first.
func (g *gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return ctx.Err() == nil
		}
		select {
		case <-shut:
		case <-ctx.Done():
			return false
		}
	}
}
