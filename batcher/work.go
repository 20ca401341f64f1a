package batcher

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// stage is how far a request has come.
type stage uint8

const (
	waiting    stage = iota // has no memory yet
	prefilling              // prompt being computed
	decoding                // answer being computed
	held                    // ended, its memory pinned for an importer
)

// work is one request that holds a place in the engine.
type work struct {
	Request
	stage    stage
	arrival  uint64
	deadline time.Time // zero for none
	state    uint64    // of the weights when it took memory
	keys     []key
	private  int // tokens reserved beside the blocks
	done     int // prompt tokens computed or found in the cache
	cached   int
	made     int // answer tokens
}

func (w *work) usage() messenger.Usage {
	return messenger.Usage{Prompt: w.Prompt, Cached: w.cached, Output: w.made}
}

func (b *Batcher) submit(now time.Time, r Request) {
	if err := b.check(r); err != nil {
		b.act(Action{Kind: Refused, ID: r.ID, Err: err})
		return
	}
	b.arrivals++
	w := &work{Request: r, arrival: b.arrivals}
	w.private = r.Prompt - len(r.Blocks)*b.Config.Block
	if !r.Prefill {
		w.private += r.Output
	}
	if r.Remaining > 0 {
		w.deadline = now.Add(r.Remaining)
	}
	i, _ := slices.BinarySearchFunc(b.works, w, func(x, y *work) int {
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.arrival, y.arrival))
	})
	b.works = slices.Insert(b.works, i, w)
	b.known[r.ID] = w
	b.act(Action{Kind: Accepted, ID: r.ID})
}

func (b *Batcher) check(r Request) *coder.Error {
	if r.ID == "" || r.Prompt < 1 || r.Output < 0 || (r.Output == 0 && !r.Prefill) {
		return coder.Errorf(coder.Malformed, "a request needs an id, a prompt and an answer length")
	}
	if len(r.Blocks) != r.Prompt/b.Config.Block {
		return coder.Errorf(coder.Malformed, "%d block hashes for %d tokens", len(r.Blocks), r.Prompt)
	}
	if _, ok := b.known[r.ID]; ok {
		return coder.Errorf(coder.AlreadyRan, "id %q is in use", r.ID)
	}
	if b.weights.model == "" {
		return coder.Errorf(coder.NotReady, "no model is loaded")
	}
	if !b.weights.serves(r.Model) {
		return coder.Errorf(coder.UnknownModel, "%q", r.Model)
	}
	need := r.Prompt
	if !r.Prefill {
		need += r.Output
	}
	if need > b.Config.Memory {
		return coder.Errorf(coder.PromptTooLong, "%d tokens exceed the engine's %d", need, b.Config.Memory)
	}
	return nil
}

// cancel frees what a request or hold has. Its id stays known like that of any
// ended request.
func (b *Batcher) cancel(now time.Time, e Event) {
	w := b.known[e.ID]
	if w == nil || !b.live(w) {
		return
	}
	if w.stage == held {
		b.release(now, w)
		return
	}
	err := e.Err
	if err == nil {
		err = coder.Errorf(coder.Cancelled, "by request")
	}
	b.finish(now, w, err)
}

func (b *Batcher) live(w *work) bool { return slices.Contains(b.works, w) }

// finish ends a request for its readers and frees what it has.
func (b *Batcher) finish(now time.Time, w *work, err *coder.Error) {
	b.act(Action{Kind: Ended, ID: w.ID, Seq: uint64(w.made) + 1, Usage: w.usage(), Err: err})
	b.release(now, w)
}

// hold ends a Prefill request for its readers and keeps its memory pinned.
func (b *Batcher) hold(w *work) {
	w.stage = held
	b.act(Action{Kind: Ended, ID: w.ID, Seq: uint64(w.made) + 1, Usage: w.usage()})
}

func (b *Batcher) release(now time.Time, w *work) {
	if w.stage != waiting {
		b.memory.give(w.keys, w.private, b.weights.state)
	}
	b.works = slices.DeleteFunc(b.works, func(x *work) bool { return x == w })
	b.ended = append(b.ended, expiry{id: w.ID, at: now.Add(b.Config.Kept)})
}

// expire ends requests that are out of time and forgets those ended long ago.
func (b *Batcher) expire(now time.Time) {
	for _, w := range slices.Clone(b.works) {
		if w.stage != held && !w.deadline.IsZero() && !now.Before(w.deadline) {
			b.finish(now, w, coder.Errorf(coder.DeadlineExceeded, "in the engine"))
		}
	}
	for len(b.ended) > 0 && !now.Before(b.ended[0].at) {
		delete(b.known, b.ended[0].id)
		b.act(Action{Kind: Forgotten, ID: b.ended[0].id})
		b.ended = b.ended[1:]
	}
}
