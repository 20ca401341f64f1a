package conductor

import (
	"sync"

	"bramleyshunt/coder"
)

// outlet passes the pieces of one attempt at a time on to the caller, and none
// once it is shut: the caller's response must not be written to any more then.
type outlet struct {
	mu      sync.Mutex
	attempt string // empty while shut
}

// open lets an attempt through, in place of any before it, if begin agrees.
func (o *outlet) open(attempt string, begin func() bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempt = attempt
	return begin()
}

// pass calls f, which writes a piece of an attempt, unless another has taken its place.
func (o *outlet) pass(attempt string, f func() error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempt != attempt {
		return former(attempt)
	}
	return f()
}

// shut returns when nothing is being written and nothing will be.
func (o *outlet) shut() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempt = ""
}

func former(attempt string) error {
	return coder.Errorf(coder.GangLost, "attempt %s is not its gang's any more", attempt)
}
