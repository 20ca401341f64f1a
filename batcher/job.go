package batcher

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// stage is the processing stage of a request.
type stage uint8

const (
	waiting    stage = iota // queued without memory
	prefilling              // computing the prompt
	decoding                // computing the answer
	held                    // ended; its memory stays pinned for an importer
)

// job is a request that was accepted and not yet released.
type job struct {
	Request
	stage     stage
	arrival   uint64
	deadline  time.Time // zero for none
	epoch     uint64    // of the weights when memory was reserved
	keys      []key
	private   int // tokens reserved in addition to the blocks
	prefilled int // prompt tokens computed or found in the cache
	cached    int
	generated int // answer tokens decoded
}

func (j *job) usage() messenger.Usage {
	return messenger.Usage{Prompt: j.Prompt, Cached: j.cached, Output: j.generated}
}

func (b *Batcher) submit(now time.Time, r Request) {
	if err := b.validate(r); err != nil {
		b.emit(Action{Kind: Refused, ID: r.ID, Err: err})
		return
	}
	b.arrivals++
	j := &job{Request: r, arrival: b.arrivals}
	j.private = r.Prompt - len(r.BlockHashes)*b.Config.Block
	if !r.Prefill {
		j.private += r.Output
	}
	if r.Remaining > 0 {
		j.deadline = now.Add(r.Remaining)
	}
	i, _ := slices.BinarySearchFunc(b.jobs, j, func(x, y *job) int {
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.arrival, y.arrival))
	})
	b.jobs = slices.Insert(b.jobs, i, j)
	b.byID[r.ID] = j
	b.emit(Action{Kind: Accepted, ID: r.ID})
}

func (b *Batcher) validate(r Request) *coder.Error {
	if r.ID == "" || r.Prompt < 1 || r.Output < 0 || (r.Output == 0 && !r.Prefill) {
		return coder.Errorf(coder.Malformed, "a request needs an id, a prompt and an answer length")
	}
	if len(r.BlockHashes) != r.Prompt/b.Config.Block {
		return coder.Errorf(coder.Malformed, "%d block hashes for %d tokens", len(r.BlockHashes), r.Prompt)
	}
	if _, ok := b.byID[r.ID]; ok {
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

// cancel releases a request or hold. Its id stays in use for the retention time, as
// that of any ended request.
func (b *Batcher) cancel(now time.Time, e Event) {
	j := b.byID[e.ID]
	if j == nil || !b.active(j) {
		return
	}
	if j.stage == held {
		b.release(now, j)
		return
	}
	err := e.Err
	if err == nil {
		err = coder.Errorf(coder.Cancelled, "by request")
	}
	b.finish(now, j, err)
}

func (b *Batcher) active(j *job) bool { return slices.Contains(b.jobs, j) }

// finish reports the end of a request and releases its memory.
func (b *Batcher) finish(now time.Time, j *job, err *coder.Error) {
	b.emit(Action{Kind: Ended, ID: j.ID, Seq: uint64(j.generated) + 1, Usage: j.usage(), Err: err})
	b.release(now, j)
}

// hold reports the end of a Prefill request and keeps its memory pinned.
func (b *Batcher) hold(j *job) {
	j.stage = held
	b.emit(Action{Kind: Ended, ID: j.ID, Seq: uint64(j.generated) + 1, Usage: j.usage()})
}

func (b *Batcher) release(now time.Time, j *job) {
	if j.stage != waiting {
		b.memory.release(j.keys, j.private, b.weights.epoch)
	}
	b.jobs = slices.DeleteFunc(b.jobs, func(x *job) bool { return x == j })
	b.ended = append(b.ended, expiry{id: j.ID, at: now.Add(b.Config.Retention)})
}

// expire ends requests past their deadline and frees ids past the retention time.
func (b *Batcher) expire(now time.Time) {
	for _, j := range slices.Clone(b.jobs) {
		if j.stage != held && !j.deadline.IsZero() && !now.Before(j.deadline) {
			b.finish(now, j, coder.Errorf(coder.DeadlineExceeded, "in the engine"))
		}
	}
	for len(b.ended) > 0 && !now.Before(b.ended[0].at) {
		delete(b.byID, b.ended[0].id)
		b.emit(Action{Kind: Forgotten, ID: b.ended[0].id})
		b.ended = b.ended[1:]
	}
}
