// Package dispatcher carries one attempt of a request to a target's agent:
// reserve, run, and the answer's chunks in sequence. When a connection is lost
// it dials a new one and resumes, or withdraws the attempt if nothing is known
// of its start, so that its outcome is stated exactly.
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
	// DefaultSilence bounds the wait for the answer to a reservation.
	DefaultSilence = 400 * time.Millisecond

	reconnects   = 5
	firstDelay   = 25 * time.Millisecond
	controlLimit = 2 * time.Second // for Cancel, Release and Void
)

// Dispatcher runs attempts. The zero value needs a Pool.
type Dispatcher struct {
	Pool    *pooler.Pooler
	Silence time.Duration // DefaultSilence if zero

	wg conc.WaitGroup
}

// Job is one attempt.
type Job struct {
	Address string // of the agent
	Reserve messenger.Reserve
	Run     messenger.Run
	Before  func(ctx context.Context) error // after the reservation, before the run
	Load    func(messenger.Load)            // load reports that came with answers
	Emit    func(messenger.Chunk) error     // chunks in sequence, each once
}

// Wait returns when all cancels and releases that were sent behind a caller's
// back have been answered or have run out of time.
func (d *Dispatcher) Wait() { d.wg.Wait() }

// Do runs an attempt to its end. The error says by its Run whether the attempt
// ran; NotRun is given only if it never will.
func (d *Dispatcher) Do(ctx context.Context, j Job) (messenger.End, error) {
	x := &exchange{d: d, job: j}
	s, err := x.reserve(ctx)
	if err != nil {
		return messenger.End{}, err
	}
	if err := x.before(ctx); err != nil {
		s.Close()
		d.release(ctx, j)
		return messenger.End{}, err
	}
	if err := s.Send(messenger.KindRun, &j.Run); err != nil {
		s.Close()
		s = nil
	}
	return x.finish(ctx, s)
}

// exchange is the progress of one attempt.
type exchange struct {
	d    *Dispatcher
	job  Job
	got  uint64 // chunks received
	left bool   // the caller takes no more
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
	granted, err := x.granted(ctx, s)
	if err != nil {
		s.Close()
		return nil, err
	}
	if x.job.Load != nil {
		x.job.Load(granted.Load)
	}
	return s, nil
}

// granted waits for the answer to a reservation, within the silence bound.
func (x *exchange) granted(ctx context.Context, s *muxer.Stream) (messenger.Reserved, error) {
	var r messenger.Reserved
	limit := x.d.Silence
	if limit <= 0 {
		limit = DefaultSilence
	}
	bound, stop := context.WithTimeout(ctx, limit)
	defer stop()
	msg, err := s.Receive(bound)
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

func (x *exchange) before(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return notRun(ctx, coder.Cancelled, err)
	}
	if x.job.Before == nil {
		return nil
	}
	return x.job.Before(ctx)
}

// finish reads the answer to its end, over as many connections as it takes. A
// nil stream stands for a connection that was lost.
func (x *exchange) finish(ctx context.Context, s *muxer.Stream) (messenger.End, error) {
	for {
		end, err := x.follow(ctx, s)
		if s != nil {
			s.Close()
		}
		if err == nil {
			return end, nil
		}
		if ctx.Err() != nil {
			x.d.cancel(ctx, x.job)
			return end, x.ended(ctx)
		}
		if x.left {
			x.d.cancel(ctx, x.job)
		}
		if !errors.Is(err, errLost) {
			return end, err
		}
		if s, err = x.again(ctx); err != nil {
			return end, err
		}
	}
}

// errLost marks a stream that ended before the answer did.
var errLost = errors.New("stream lost")

// follow takes messages of one stream until the answer ends or the stream does.
func (x *exchange) follow(ctx context.Context, s *muxer.Stream) (messenger.End, error) {
	if s == nil {
		return messenger.End{}, errLost
	}
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return messenger.End{}, errLost
		}
		end, done, err := x.take(msg)
		if done || err != nil {
			return end, err
		}
	}
}

// take works on one message and reports whether it was the answer's end.
func (x *exchange) take(msg muxer.Message) (end messenger.End, done bool, err error) {
	switch msg.Kind {
	case messenger.KindChunk:
		return end, false, x.chunk(msg)
	case messenger.KindEnd:
		return x.end(msg)
	case messenger.KindFailed:
		return end, false, x.failed(msg)
	default:
		return end, false, nil
	}
}

// chunk passes on the next chunk of this attempt and drops any other. A gap
// means that the stream can't be trusted.
func (x *exchange) chunk(msg muxer.Message) error {
	var c messenger.Chunk
	if err := msg.Decode(&c); err != nil {
		return errLost
	}
	if c.Attempt != x.job.Run.Attempt || c.Seq <= x.got {
		return nil
	}
	if c.Seq != x.got+1 {
		return errLost
	}
	x.got++
	if err := x.job.Emit(c); err != nil {
		x.left = true
		return &coder.Error{Code: coder.Cancelled, Run: coder.Ran, Cause: err}
	}
	return nil
}

func (x *exchange) end(msg muxer.Message) (end messenger.End, mine bool, err error) {
	if err := msg.Decode(&end); err != nil {
		return end, false, errLost
	}
	if end.Attempt != x.job.Run.Attempt {
		return end, false, nil
	}
	if end.Count != x.got {
		return end, false, errLost
	}
	if x.job.Load != nil {
		x.job.Load(end.Load)
	}
	return end, true, nil
}

// failed returns the failure that ends this attempt. An agent that no longer
// knows an attempt that was sent can't tell what became of it.
func (x *exchange) failed(msg muxer.Message) error {
	var f messenger.Failed
	e := coder.Of(msg.Decode(&f))
	if e.Code == coder.WrongIncarnation || e.Code == coder.UnknownAttempt {
		return x.lost(e.Error())
	}
	if x.got > 0 {
		e.Run = coder.Ran
	}
	return e
}
