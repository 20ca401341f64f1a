// Package dispatcher executes one attempt of a request at a target's agent: it
// reserves memory, starts the run and passes on the chunks of the answer in sequence.
// When a connection is lost it dials a new one and resumes the attempt, or withdraws
// it if it is not known to have started, so that its outcome is reported exactly.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
)

const (
	// DefaultReserveTimeout bounds the wait for the answer to a reservation if
	// Dispatcher.ReserveTimeout is zero.
	DefaultReserveTimeout = 400 * time.Millisecond

	maxReconnects     = 5
	minReconnectDelay = 25 * time.Millisecond // doubles with each attempt of reconnect; constant in sendControl
	controlTimeout    = 2 * time.Second       // for Cancel, Release and Void
)

// Dispatcher executes attempts. Pool must be set.
type Dispatcher struct {
	Pool           *pooler.Pooler
	ReserveTimeout time.Duration // DefaultReserveTimeout if zero

	wg conc.WaitGroup
}

// Job is one attempt.
type Job struct {
	Address   string // of the agent
	Reserve   messenger.Reserve
	Run       messenger.Run
	BeforeRun func(ctx context.Context) error // called between reservation and run; an error prevents the run
	OnLoad    func(messenger.Load)            // called with load reports in answers; may be nil
	OnChunk   func(messenger.Chunk) error     // called once per chunk, in sequence
}

// Wait blocks until all cancels and releases sent in the background have been answered
// or timed out.
func (d *Dispatcher) Wait() { d.wg.Wait() }

// Do executes an attempt to its end. The Run field of the error states whether the
// attempt ran; it is NotRun only if the attempt never will.
func (d *Dispatcher) Do(ctx context.Context, j Job) (messenger.End, error) {
	x := &exchange{d: d, job: j}
	s, err := x.reserve(ctx)
	if err != nil {
		return messenger.End{}, err
	}
	if err := x.beforeRun(ctx); err != nil {
		s.Close()
		d.release(ctx, j)
		return messenger.End{}, err
	}
	if err := s.Send(messenger.KindRun, &j.Run); err != nil {
		s.Close()
		s = nil
	}
	return x.readAnswer(ctx, s)
}

// exchange is the state of one attempt.
type exchange struct {
	d         *Dispatcher
	job       Job
	received  uint64 // number of chunks
	abandoned bool   // OnChunk failed: no more chunks are accepted
}

func (x *exchange) reserve(ctx context.Context) (*muxer.Stream, error) {
	conn, err := x.d.Pool.Get(ctx, x.job.Address)
	if err != nil {
		return nil, notRun(ctx, coder.TargetLost, err)
	}
	s, err := conn.Open(messenger.KindReserve, &x.job.Reserve)
	if err != nil {
		return nil, notRun(ctx, coder.TargetLost, err)
	}
	granted, err := x.awaitGrant(ctx, s)
	if err != nil {
		s.Close()
		return nil, err
	}
	if x.job.OnLoad != nil {
		x.job.OnLoad(granted.Load)
	}
	return s, nil
}

// awaitGrant waits for the answer to a reservation, up to the reserve timeout.
func (x *exchange) awaitGrant(ctx context.Context, s *muxer.Stream) (messenger.Reserved, error) {
	var r messenger.Reserved
	timeout := x.d.ReserveTimeout
	if timeout <= 0 {
		timeout = DefaultReserveTimeout
	}
	reserveCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	msg, err := s.Receive(reserveCtx)
	if err != nil {
		x.d.release(ctx, x.job)
		return r, notRun(ctx, coder.Silent, err)
	}
	if err := msg.Decode(&r); err != nil {
		e := coder.Of(err)
		e.Run = coder.NotRun
		return r, e
	}
	return r, nil
}

func (x *exchange) beforeRun(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return notRun(ctx, coder.Cancelled, err)
	}
	if x.job.BeforeRun == nil {
		return nil
	}
	return x.job.BeforeRun(ctx)
}

// readAnswer reads the answer to its end and reconnects when a connection is lost. A
// nil stream stands for a lost connection.
func (x *exchange) readAnswer(ctx context.Context, s *muxer.Stream) (messenger.End, error) {
	for {
		end, err := x.readStream(ctx, s)
		if s != nil {
			s.Close()
		}
		if err == nil {
			return end, nil
		}
		if ctx.Err() != nil {
			x.d.cancel(ctx, x.job)
			return end, x.contextEnded(ctx)
		}
		if x.abandoned {
			x.d.cancel(ctx, x.job)
		}
		if !errors.Is(err, errLost) {
			return end, err
		}
		if s, err = x.reconnect(ctx); err != nil {
			return end, err
		}
	}
}

// errLost marks a stream that ended before the answer did.
var errLost = errors.New("stream lost")

// readStream handles the messages of one stream until the answer or the stream ends.
func (x *exchange) readStream(ctx context.Context, s *muxer.Stream) (messenger.End, error) {
	if s == nil {
		return messenger.End{}, errLost
	}
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return messenger.End{}, errLost
		}
		end, done, err := x.handle(msg)
		if done || err != nil {
			return end, err
		}
	}
}

// handle handles one message and reports whether it ended the answer.
func (x *exchange) handle(msg muxer.Message) (end messenger.End, done bool, err error) {
	switch msg.Kind {
	case messenger.KindChunk:
		return end, false, x.handleChunk(msg)
	case messenger.KindEnd:
		return x.handleEnd(msg)
	case messenger.KindFailed:
		return end, false, x.handleFailed(msg)
	default:
		return end, false, nil
	}
}

// handleChunk passes on the next chunk of this attempt and ignores chunks that are
// duplicates or belong to other attempts. A gap in the sequence means that chunks were
// lost, so the stream is abandoned.
func (x *exchange) handleChunk(msg muxer.Message) error {
	var c messenger.Chunk
	if err := msg.Decode(&c); err != nil {
		return errLost
	}
	if c.Attempt != x.job.Run.Attempt || c.Seq <= x.received {
		return nil
	}
	if c.Seq != x.received+1 {
		return errLost
	}
	x.received++
	if err := x.job.OnChunk(c); err != nil {
		x.abandoned = true
		var invalid *coder.Error
		if errors.As(err, &invalid) { // the answer can't be passed on
			return invalid
		}
		return &coder.Error{Code: coder.Cancelled, Run: coder.Ran, Cause: err}
	}
	return nil
}

func (x *exchange) handleEnd(msg muxer.Message) (end messenger.End, done bool, err error) {
	if err := msg.Decode(&end); err != nil {
		return end, false, errLost
	}
	if end.Attempt != x.job.Run.Attempt {
		return end, false, nil
	}
	if end.Count != x.received {
		return end, false, errLost
	}
	if x.job.OnLoad != nil {
		x.job.OnLoad(end.Load)
	}
	return end, true, nil
}

// handleFailed returns the error that ends this attempt. If the agent has no record of
// the attempt, its outcome is unknown unless chunks were received.
func (x *exchange) handleFailed(msg muxer.Message) error {
	var f messenger.Failed
	e := coder.Of(msg.Decode(&f))
	if e.Code == coder.WrongIncarnation || e.Code == coder.UnknownAttempt {
		return x.targetLost(e.Error())
	}
	if x.received > 0 {
		e.Run = coder.Ran
	}
	return e
}
