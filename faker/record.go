package faker

import (
	"sync"

	"bramleyshunt/driver"
)

// record stores the progress of one request. The control goroutine writes it, and
// any number of streams read it.
type record struct {
	seed    uint64 // hash state of the prompt; determines the answer
	prefix  handle // up to the end of this prompt
	prefill bool   // the final event exports prefix
	sources []hold // segments of the imported prefix

	mu      sync.Mutex
	tokens  int           // produced so far
	end     *driver.End   // nil until the request has ended
	changed chan struct{} // closed and replaced at each change
}

func newRecord(prefix handle, prefill bool) *record {
	return &record{seed: prefix.State, prefix: prefix, prefill: prefill, changed: make(chan struct{})}
}

func (r *record) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
	r.notify()
}

func (r *record) finish(end *driver.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		r.end = end
		r.notify()
	}
}

func (r *record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// snapshot returns the number of tokens produced, the final event or nil, and a
// channel that is closed at the next change.
func (r *record) snapshot() (int, *driver.End, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens, r.end, r.changed
}
