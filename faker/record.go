package faker

import (
	"sync"

	"bramleyshunt/driver"
)

// record keeps the answer of one request for its readers. The control goroutine
// writes it; any number of streams read it.
type record struct {
	seed    uint64
	prefix  handle // the chain up to the end of this prompt
	prefill bool   // the end exports prefix
	sources []hold // of the imported prefix

	mu      sync.Mutex
	made    int
	end     *driver.End
	changed chan struct{}
}

func newRecord(prefix handle, prefill bool) *record {
	return &record{seed: prefix.State, prefix: prefix, prefill: prefill, changed: make(chan struct{})}
}

func (r *record) token() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made++
	r.wake()
}

func (r *record) close(end *driver.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		r.end = end
		r.wake()
	}
}

func (r *record) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// read returns how many tokens there are, the end if it has come, and a channel
// that closes at the next change.
func (r *record) read() (int, *driver.End, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made, r.end, r.changed
}
