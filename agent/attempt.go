package agent

import (
	"context"
	"sync"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/replayer"
)

// batchChunks is how many pieces a reader takes at once.
const batchChunks = 64

// attempt is one started run: the answer so far and its readers.
type attempt struct {
	id   string
	hold bool // the engine holds the KV cache after the run
	ctx  context.Context
	stop context.CancelCauseFunc

	mu      sync.Mutex
	kept    replayer.Replayer
	readers map[*reader]struct{}
	alone   time.Time     // since when there has been no reader
	changed chan struct{} // closed at the next change; nil if nobody waits
	sealed  bool          // the outcome stands
	over    bool          // the readers may see it
	end     messenger.End
	err     error
	endedAt time.Time
}

// reader is one connection that follows an attempt.
type reader struct {
	seq uint64 // last piece sent
}

func newAttempt(parent context.Context, id string, deadline time.Time, clock func() time.Time) *attempt {
	now := clock()
	at := &attempt{id: id, readers: map[*reader]struct{}{}, alone: now}
	ctx, stop := context.WithCancelCause(parent)
	at.ctx, at.stop = ctx, stop
	timer := time.AfterFunc(deadline.Sub(now), func() {
		stop(&coder.Error{Code: coder.DeadlineExceeded, Run: coder.Ran})
	})
	context.AfterFunc(ctx, func() {
		timer.Stop()
		_, _ = at.seal(messenger.End{}, at.fault(ctx.Err()), clock())
		at.publish()
	})
	return at
}

// append keeps a piece of the answer. It waits while the kept pieces are full
// and a reader, or one to come, still needs the oldest.
func (at *attempt) append(c messenger.Chunk) error {
	c.Attempt = at.id
	for {
		if at.ctx.Err() != nil {
			return context.Cause(at.ctx)
		}
		wait := at.tryAppend(c)
		if wait == nil {
			return nil
		}
		select {
		case <-wait:
		case <-at.ctx.Done():
			return context.Cause(at.ctx)
		}
	}
}

func (at *attempt) tryAppend(c messenger.Chunk) <-chan struct{} {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.kept.Trim(at.slowest()) {
		return at.waiter()
	}
	at.kept.Append(c)
	at.wake()
	return nil
}

// slowest returns the last piece that every reader has; none without a reader.
func (at *attempt) slowest() uint64 {
	if len(at.readers) == 0 {
		return 0
	}
	least := at.kept.Last()
	for r := range at.readers {
		least = min(least, r.seq)
	}
	return least
}

// seal records the outcome and returns the one that stands: the first.
func (at *attempt) seal(end messenger.End, err error, now time.Time) (messenger.End, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.sealed {
		end.Attempt, end.Count = at.id, at.kept.Last()
		at.sealed, at.end, at.err, at.endedAt = true, end, err, now
	}
	return at.end, at.err
}

// publish shows the outcome to the readers.
func (at *attempt) publish() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.over = true
	at.wake()
}

// join adds a reader that has everything up to seq. It returns code AlreadyRan
// if the pieces after seq are no longer kept.
func (at *attempt) join(seq uint64) (*reader, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if _, ok := at.kept.After(seq, 0); !ok {
		return nil, coder.Errorf(coder.AlreadyRan, "attempt %s: pieces after %d are not kept", at.id, seq)
	}
	r := &reader{seq: seq}
	at.readers[r] = struct{}{}
	return r, nil
}

func (at *attempt) leave(r *reader, now time.Time) {
	at.mu.Lock()
	defer at.mu.Unlock()
	delete(at.readers, r)
	if len(at.readers) == 0 {
		at.alone = now
	}
	at.wake()
}

// orphan returns how long the attempt has had no reader.
func (at *attempt) orphan(now time.Time) time.Duration {
	at.mu.Lock()
	defer at.mu.Unlock()
	if len(at.readers) > 0 {
		return 0
	}
	return now.Sub(at.alone)
}

// next returns the pieces that follow what the reader has, waiting for one, and
// true with none once the answer is over.
func (at *attempt) next(ctx context.Context, r *reader) ([]messenger.Chunk, bool, error) {
	for {
		chunks, over, wait := at.tryNext(r)
		if wait == nil {
			return chunks, over, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (at *attempt) tryNext(r *reader) ([]messenger.Chunk, bool, <-chan struct{}) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if r.seq < at.kept.Last() {
		chunks, _ := at.kept.After(r.seq, batchChunks)
		return chunks, false, nil
	}
	if at.over {
		return nil, true, nil
	}
	return nil, false, at.waiter()
}

// sent tells that the reader has the pieces up to seq.
func (at *attempt) sent(r *reader, seq uint64) {
	at.mu.Lock()
	defer at.mu.Unlock()
	r.seq = seq
	if at.kept.Full() {
		at.wake()
	}
}

func (at *attempt) outcome() (messenger.End, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.end, at.err
}

// size returns the bytes kept.
func (at *attempt) size() int {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.kept.Size()
}

func (at *attempt) waiter() <-chan struct{} {
	if at.changed == nil {
		at.changed = make(chan struct{})
	}
	return at.changed
}

func (at *attempt) wake() {
	if at.changed != nil {
		close(at.changed)
		at.changed = nil
	}
}
