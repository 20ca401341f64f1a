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
// first is not meant for an agent. An exchange may hold several messages: after
// a Reserved answer, Run on the same stream streams the answer.
func (a *Agent) Handle(ctx context.Context, s *muxer.Stream, first muxer.Message) bool {
	if !own(first.Kind) {
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

func own(k messenger.Kind) bool {
	switch k {
	case messenger.KindReserve, messenger.KindRun, messenger.KindVoid, messenger.KindCancel,
		messenger.KindResume, messenger.KindRelease, messenger.KindOrder:
		return true
	default:
		return false
	}
}

// serve answers one message. It returns false once the exchange has ended.
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
		return a.end(s, msg)
	}
}

func (a *Agent) reserve(s *muxer.Stream, msg muxer.Message) bool {
	var m messenger.Reserve
	if err := msg.Decode(&m); err != nil {
		return a.refuse(s, "", err)
	}
	var granted messenger.Reserved
	var err error
	if stopped := a.step(func(now time.Time) {
		if a.health.down {
			err = a.unready()
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

func (a *Agent) unready() error {
	e := coder.Errorf(coder.NotReady, "the target doesn't answer its agent")
	e.Retry = retryDown
	return e
}

// refuse answers err. The exchange goes on, as the peer may send another message.
func (a *Agent) refuse(s *muxer.Stream, attempt string, err error) bool {
	a.count("refused." + coder.Of(err).Code.String())
	return s.Fail(attempt, err) == nil
}

// end answers Void, Cancel and Release, which work on any connection.
func (a *Agent) end(s *muxer.Stream, msg muxer.Message) bool {
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
			return a.withdraw(s, &m)
		}
		return a.free(s, m.Attempt, a.cancel)
	case messenger.KindRelease:
		var m messenger.Release
		if err := msg.Decode(&m); err != nil {
			return a.refuse(s, "", err)
		}
		return a.free(s, m.Attempt, a.release)
	default:
		return a.refuse(s, "", coder.Errorf(coder.BadFrame, "unexpected %s", msg.Kind))
	}
}

func (a *Agent) void(s *muxer.Stream, m *messenger.Void) bool {
	answer := messenger.Voided{Attempt: m.Attempt}
	if err := a.step(func(now time.Time) { answer = a.reserver.Void(now, m) }); err != nil {
		return a.refuse(s, m.Attempt, err)
	}
	a.count("voided." + answer.Run.Header())
	return s.Send(messenger.KindVoided, &answer) == nil
}

// free runs f on the control goroutine and confirms it.
func (a *Agent) free(s *muxer.Stream, id string, f func(now time.Time, id string)) bool {
	if err := a.step(func(now time.Time) { f(now, id) }); err != nil {
		return a.refuse(s, id, err)
	}
	return s.Send(messenger.KindCancelled, &messenger.Cancelled{Attempt: id}) == nil
}

// withdraw cancels an account's attempts of a batch or with a key.
func (a *Agent) withdraw(s *muxer.Stream, m *messenger.Cancel) bool {
	var ids []string
	if err := a.step(func(now time.Time) {
		ids = a.reserver.Matching(m)
		for _, id := range ids {
			a.cancel(now, id)
		}
	}); err != nil {
		return a.refuse(s, "", err)
	}
	return s.Send(messenger.KindCancelled, &messenger.Cancelled{Count: len(ids)}) == nil
}

// cancel stops a running attempt, or withdraws it, on the control goroutine.
func (a *Agent) cancel(now time.Time, id string) {
	if !a.reserver.Cancel(now, id) {
		return
	}
	if at := a.attempts[id]; at != nil && a.reserver.Phase(id) == reserver.Running {
		at.stop(&coder.Error{Code: coder.Cancelled, Run: coder.Ran})
		return
	}
	a.discard(id)
}

// release gives back what doesn't run, on the control goroutine.
func (a *Agent) release(now time.Time, id string) {
	if a.reserver.Release(now, id) {
		a.discard(id)
	}
}

// follow sends an answer from seq on until it is over or the stream ends, and
// takes Cancel, Release and Void on the same stream meanwhile.
func (a *Agent) follow(ctx context.Context, s *muxer.Stream, at *attempt, seq uint64) bool {
	r, err := at.join(seq)
	if err != nil {
		return a.refuse(s, at.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { a.listen(ctx, s) })
	over := a.send(ctx, s, at, r)
	at.leave(r, a.cfg.Now())
	if over && at.hold {
		_ = a.step(func(time.Time) { a.wg.Go(func() { a.guard(s, at.id) }) })
	}
	cancel()
	wg.Wait()
	return false
}

// send returns true once the reader has the whole answer.
func (a *Agent) send(ctx context.Context, s *muxer.Stream, at *attempt, r *reader) bool {
	for {
		chunks, over, err := at.next(ctx, r)
		if err != nil {
			return false
		}
		if over {
			return a.close(s, at)
		}
		for i := range chunks {
			if s.Send(messenger.KindChunk, &chunks[i]) != nil {
				return false
			}
			at.sent(r, chunks[i].Seq)
		}
	}
}

func (a *Agent) close(s *muxer.Stream, at *attempt) bool {
	end, err := at.outcome()
	if err != nil {
		return s.Fail(at.id, err) == nil
	}
	_ = a.step(func(now time.Time) { end.Load = a.reserver.Load(now) })
	return s.Send(messenger.KindEnd, &end) == nil
}

// listen serves messages that arrive while an answer streams.
func (a *Agent) listen(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		if msg.Kind == messenger.KindRun {
			continue
		}
		if !a.end(s, msg) {
			return
		}
	}
}

// guard renews a gang member's hold while the connection to its entry lives.
func (a *Agent) guard(s *muxer.Stream, id string) {
	t := time.NewTicker(a.cfg.Every)
	defer t.Stop()
	for {
		holding := false
		if a.step(func(now time.Time) {
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
