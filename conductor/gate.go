package conductor

import (
	"sync"

	"bramleyshunt/coder"
)

// attemptGate lets one attempt at a time write to the caller. Once it is closed it
// lets none, as the response must not be written to after its handler has returned.
type attemptGate struct {
	mu      sync.Mutex
	attempt string // empty while closed
}

// open admits an attempt in place of any earlier one, and returns the result of begin.
func (g *attemptGate) open(attempt string, begin func() bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt = attempt
	return begin()
}

// write calls f, which writes a part of an attempt's answer, unless the attempt has
// been superseded.
func (g *attemptGate) write(attempt string, f func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempt != attempt {
		return supersededError(attempt)
	}
	return f()
}

// close waits for a write in progress and prevents later ones.
func (g *attemptGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt = ""
}

func supersededError(attempt string) error {
	return coder.Errorf(coder.GangLost, "attempt %s is not its gang's any more", attempt)
}
