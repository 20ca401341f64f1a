package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/reserver"
)

// Handle serves one exchange with an entry or a controller. It returns false if
// first is not addressed to an agent. An exchange may consist of several messages:
// after Reserved, the entry sends Run on the same stream to receive the answer.
func (a *Agent) Handle(ctx context.Context, s *muxer.Stream, first muxer.Message) bool {
	if !handlesKind(first.Kind) {
		return false
	}
	a.exchanges.Add(1)
	defer a.exchanges.Add(-1)
	for msg := first; a.serve(ctx, s, msg); {
		next, err := s.Receive(ctx)
		if err != nil {
			return true
		}
		msg = next
	}
	return true
}

func handlesKind(k messenger.Kind) bool {
	switch k {
	case messenger.KindReserve, messenger.KindRun, messenger.KindVoid, messenger.KindCancel,
		messenger.KindResume, messenger.KindRelease, messenger.KindOrder:
		return true
	default:
		return false
	}
}

// serve handles one message. It returns false once the exchange has ended.
func (a *Agent) serve(ctx context.Context, s *muxer.Stream, msg muxer.Message) bool {
	switch msg.Kind {
	case messenger.KindReserve:
		return a.reserve(s, msg)
	case messenger.KindRun:
		return a.run(ctx, s, msg)
	case messenger.KindResume:
		return a.resume(ctx, s, msg)
	case messenger.KindOrder:
		return a.order(ctx, s, msg)
	default:
		return a.serveEnding(s, msg)
	}
}

func (a *Agent) reserve(s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Reserve
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var granted messenger.Reserved
	var err error
	if stopped := a.onControl(func(now time.Time) {
		if a.health.down {
			err = a.errDown()
			return
		}
		granted, err = a.reserver.Reserve(now, &m)
	}); stopped != nil {
		err = stopped
	}
	if err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	a.count("reserved")
	return s.Send(messenger.KindReserved, &granted) == nil
}

func (a *Agent) errDown() error {
	e := coder.Errorf(coder.NotReady, "the target doesn't answer its agent")
	e.Retry = downRetryAfter
	return e
}

// refuse replies with err. It returns true if the reply was sent, as the peer may
// then send another message on the exchange.
func (a *Agent) refuse(s *muxer.Stream, attempt string, err error) bool {
	a.count("refused." + coder.Of(err).Code.String())
	return s.Fail(attempt, err) == nil
}

// serveEnding handles Void, Cancel and Release, which are valid on any connection.
func (a *Agent) serveEnding(s *muxer.Stream, msg muxer.Message) bool {
	switch msg.Kind {
	case messenger.KindVoid:
		var m messenger.Void
		if err := msg.Decode(&m); err != nil {
			return a.refuse(s, "", err)
		}
		return a.void(s, &m)
	case messenger.KindCancel:
		var m messenger.Cancel
		if err := msg.Decode(&m); err != nil {
			return a.refuse(s, "", err)
		}
		if m.Attempt == "" {
			return a.cancelMatching(s, &m)
		}
		return a.applyAndConfirm(s, m.Attempt, a.cancel)
	case messenger.KindRelease:
		var m messenger.Release
		if err := msg.Decode(&m); err != nil {
			return a.refuse(s, "", err)
		}
		return a.applyAndConfirm(s, m.Attempt, a.release)
	default:
		return a.refuse(s, "", coder.Errorf(coder.BadFrame, "unexpected %s", msg.Kind))
	}
}

func (a *Agent) void(s *muxer.Stream, m *messenger.Void) bool {
	answer := messenger.Voided{Attempt: m.Attempt}
	if err := a.onControl(func(now time.Time) { answer = a.reserver.Void(now, m) }); err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	a.count("voided." + answer.Run.Header())
	return s.Send(messenger.KindVoided, &answer) == nil
}

// applyAndConfirm runs f on the control goroutine and replies with Cancelled.
func (a *Agent) applyAndConfirm(s *muxer.Stream, id string, f func(now time.Time, id string)) bool {
	if err := a.onControl(func(now time.Time) { f(now, id) }); err != nil {
		return a.refuse(s, id, err)
	}
	return s.Send(messenger.KindCancelled, &messenger.Cancelled{Attempt: id}) == nil
}

// cancelMatching cancels an account's attempts that have the batch or the key of m.
func (a *Agent) cancelMatching(s *muxer.Stream, m *messenger.Cancel) bool {
	var ids []string
	if err := a.onControl(func(now time.Time) {
		ids = a.reserver.Matching(m)
		for _, id := range ids {
			a.cancel(now, id)
		}
	}); err != nil {
		return a.refuse(s, "", err)
	}
	return s.Send(messenger.KindCancelled, &messenger.Cancelled{Count: len(ids)}) == nil
}

// cancel stops an attempt if it runs and frees it at the engine otherwise. It
// runs on the control goroutine.
func (a *Agent) cancel(now time.Time, id string) {
	if !a.reserver.Cancel(now, id) {
		return
	}
	if at := a.attempts[id]; at != nil && a.reserver.Phase(id) == reserver.Running {
		at.cancel(&coder.Error{Code: coder.Cancelled, Run: coder.Ran})
		return
	}
	a.freeInBackground(id)
}

// release frees a reservation or hold that is not running. It runs on the control
// goroutine.
func (a *Agent) release(now time.Time, id string) {
	if a.reserver.Release(now, id) {
		a.freeInBackground(id)
	}
}

// follow sends the chunks after seq and the outcome until the stream ends, and
// handles Cancel, Release and Void on the same stream meanwhile.
func (a *Agent) follow(ctx context.Context, s *muxer.Stream, at *attempt, seq uint64) bool {
	r, err := at.addReader(seq)
	if err != nil {
		return a.refuse(s, at.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { a.serveWhileStreaming(ctx, s) })
	complete := a.send(ctx, s, at, r)
	at.removeReader(r, a.cfg.Now())
	if complete && at.hold {
		_ = a.onControl(func(time.Time) { a.wg.Go(func() { a.renewHold(s, at.id) }) })
	}
	cancel()
	wg.Wait()
	return false
}

// send sends an answer and returns true once the stream has accepted all of it.
func (a *Agent) send(ctx context.Context, s *muxer.Stream, at *attempt, r *reader) bool {
	for {
		chunks, done, err := at.nextChunks(ctx, r)
		if err != nil {
			return false
		}
		if done {
			return a.sendOutcome(s, at)
		}
		for i := range chunks {
			if s.Send(messenger.KindChunk, &chunks[i]) != nil {
				return false
			}
			at.markSent(r, chunks[i].Seq)
		}
	}
}

func (a *Agent) sendOutcome(s *muxer.Stream, at *attempt) bool {
	end, err := at.outcome()
	if err != nil {
		return s.Fail(at.id, err) == nil
	}
	_ = a.onControl(func(now time.Time) { end.Load = a.reserver.Load(now) })
	return s.Send(messenger.KindEnd, &end) == nil
}

// serveWhileStreaming handles messages that arrive while an answer streams.
func (a *Agent) serveWhileStreaming(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		if msg.Kind == messenger.KindRun {
			continue
		}
		if !a.serveEnding(s, msg) {
			return
		}
	}
}

// renewHold renews a gang member's hold until it ends or the connection to its entry
// is lost.
func (a *Agent) renewHold(s *muxer.Stream, id string) {
	t := time.NewTicker(a.cfg.ReportInterval)
	defer t.Stop()
	for {
		holding := false
		if a.onControl(func(now time.Time) {
			a.reserver.Renew(now, id)
			holding = a.reserver.Phase(id) == reserver.Holding
		}) != nil || !holding {
			return
		}
		select {
		case <-a.ctx.Done():
			return
		case <-s.ConnDone():
			return
		case <-t.C:
		}
	}
}
