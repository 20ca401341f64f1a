package agent

import (
	"context"
	"sync"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/replayer"
)

// readBatch is the maximum number of chunks that a reader receives at once.
const readBatch = 64

// attempt is a started run with the buffered part of its answer and its readers.
type attempt struct {
	id     string
	hold   bool // the engine keeps the KV cache after the run
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	chunks      replayer.Replayer
	readers     map[*reader]struct{}
	unreadSince time.Time     // when the last reader left; the start before the first reader
	changed     chan struct{} // closed at the next change; nil if no goroutine waits
	decided     bool          // end and err are final
	published   bool          // readers may receive end and err
	end         messenger.End
	err         error
	endedAt     time.Time
}

// reader is the state of one connection that streams an attempt's answer.
type reader struct {
	seq uint64 // sequence number of the last chunk sent
}

func newAttempt(parent context.Context, id string, deadline time.Time, clock func() time.Time) *attempt {
	now := clock()
	at := &attempt{id: id, readers: map[*reader]struct{}{}, unreadSince: now}
	ctx, cancel := context.WithCancelCause(parent)
	at.ctx, at.cancel = ctx, cancel
	timer := time.AfterFunc(deadline.Sub(now), func() {
		cancel(&coder.Error{Code: coder.DeadlineExceeded, Run: coder.Ran})
	})
	context.AfterFunc(ctx, func() {
		timer.Stop()
		_, _ = at.decide(messenger.End{}, at.codedError(ctx.Err()), clock())
		at.publish()
	})
	return at
}

// append buffers a chunk of the answer. While the buffer is full it waits until
// every reader has received the oldest chunk. Without a reader it waits for one,
// as a resume may still need that chunk.
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
	if !at.chunks.Trim(at.minReaderSeq()) {
		return at.nextChange()
	}
	at.chunks.Append(c)
	at.notify()
	return nil
}

// minReaderSeq returns the sequence number up to which every reader has received the
// answer, or 0 if there is no reader.
func (at *attempt) minReaderSeq() uint64 {
	if len(at.readers) == 0 {
		return 0
	}
	lowest := at.chunks.Last()
	for r := range at.readers {
		lowest = min(lowest, r.seq)
	}
	return lowest
}

// decide records the outcome unless there is one already, and returns the recorded one.
func (at *attempt) decide(end messenger.End, err error, now time.Time) (messenger.End, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.decided {
		end.Attempt, end.Count = at.id, at.chunks.Last()
		at.decided, at.end, at.err, at.endedAt = true, end, err, now
	}
	return at.end, at.err
}

// publish lets readers receive the outcome.
func (at *attempt) publish() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.published = true
	at.notify()
}

// addReader adds a reader that has received the chunks up to seq. It returns code
// AlreadyRan if the chunks after seq are no longer buffered.
func (at *attempt) addReader(seq uint64) (*reader, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if _, ok := at.chunks.After(seq, 0); !ok {
		return nil, coder.Errorf(coder.AlreadyRan, "attempt %s: pieces after %d are not kept", at.id, seq)
	}
	r := &reader{seq: seq}
	at.readers[r] = struct{}{}
	return r, nil
}

func (at *attempt) removeReader(r *reader, now time.Time) {
	at.mu.Lock()
	defer at.mu.Unlock()
	delete(at.readers, r)
	if len(at.readers) == 0 {
		at.unreadSince = now
	}
	at.notify()
}

// unreadFor returns how long the attempt has been without a reader.
func (at *attempt) unreadFor(now time.Time) time.Duration {
	at.mu.Lock()
	defer at.mu.Unlock()
	if len(at.readers) > 0 {
		return 0
	}
	return now.Sub(at.unreadSince)
}

// nextChunks waits for chunks that the reader has not received and returns them. Once
// the reader has them all and the outcome is published, it returns true.
func (at *attempt) nextChunks(ctx context.Context, r *reader) ([]messenger.Chunk, bool, error) {
	for {
		chunks, done, wait := at.tryNextChunks(r)
		if wait == nil {
			return chunks, done, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (at *attempt) tryNextChunks(r *reader) ([]messenger.Chunk, bool, <-chan struct{}) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if r.seq < at.chunks.Last() {
		chunks, _ := at.chunks.After(r.seq, readBatch)
		return chunks, false, nil
	}
	if at.published {
		return nil, true, nil
	}
	return nil, false, at.nextChange()
}

// markSent records that the reader has received the chunks up to seq.
func (at *attempt) markSent(r *reader, seq uint64) {
	at.mu.Lock()
	defer at.mu.Unlock()
	r.seq = seq
	if at.chunks.Full() {
		at.notify()
	}
}

func (at *attempt) outcome() (messenger.End, error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.end, at.err
}

// size returns the number of bytes buffered.
func (at *attempt) size() int {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.chunks.Size()
}

func (at *attempt) nextChange() <-chan struct{} {
	if at.changed == nil {
		at.changed = make(chan struct{})
	}
	return at.changed
}

func (at *attempt) notify() {
	if at.changed != nil {
		close(at.changed)
		at.changed = nil
	}
}
