package conductor

import (
	"context"
	"encoding/json"
	"unicode/utf8"

	"bramleyshunt/coder"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

func (g *gang) reservation(a ganger.Action) *messenger.Reserve {
	return &messenger.Reserve{
		Attempt: a.Attempt, Incarnation: a.Incarnation, Account: g.r.Account, Prompt: a.Tokens, Output: a.Output, Bytes: a.End - a.Start,
		Priority: priority(g.r), Remaining: a.Remaining, Fingerprint: g.r.Fingerprint, Gang: true,
		Key: g.r.Key, Batch: g.r.Batch,
	}
}

// runMember reserves a member and handles its messages until its stream ends.
func (g *gang) runMember(ctx context.Context, s *segment, a ganger.Action) {
	notify := func(k ganger.EventKind, err error) {
		if coder.Of(err).Code == coder.Cancelled && ctx.Err() == nil {
			g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Cancel, ID: g.r.ID})
			return
		}
		g.cd.control.sendGangEvent(ganger.Event{Kind: k, Attempt: a.Attempt, Err: err})
	}
	if err := g.checkMember(s); err != nil {
		notify(ganger.Refused, err)
		return
	}
	if err := g.reserveShare(s, a); err != nil {
		notify(ganger.Refused, err)
		return
	}
	defer g.releaseShare(s)
	conn, err := g.cd.cfg.Pool.Get(ctx, s.address)
	if err != nil {
		notify(ganger.Refused, err)
		return
	}
	stream, err := conn.Open(messenger.KindReserve, g.reservation(a))
	if err != nil {
		notify(ganger.Refused, err)
		return
	}
	defer stream.Close()
	g.cd.control.do(func() { s.stream = stream })
	for granted := false; ; granted = true {
		msg, err := stream.Receive(ctx)
		if err == nil {
			err = g.handleMessage(s, msg)
		} else if s.exported {
			err = awaitConnectionLoss(ctx, conn)
		}
		switch {
		case err == nil:
		case granted:
			g.reportSuspect(a, coder.Of(err))
			notify(ganger.Lost, err)
			return
		default:
			notify(ganger.Refused, err)
			return
		}
	}
}

// awaitConnectionLoss waits for the end of the connection. After an export the agent
// closes the member's stream, but it holds the member's memory for as long as the
// connection lives.
func awaitConnectionLoss(ctx context.Context, conn *muxer.Muxer) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-conn.Done():
		return coder.Errorf(coder.Silent, "lost connection to the agent of a member whose segment was exported")
	}
}

// reportSuspect reports the request as a suspect if a target was lost while it ran a
// segment.
func (g *gang) reportSuspect(a ganger.Action, err *coder.Error) {
	if err.Code == coder.TargetLost && err.Run != coder.NotRun {
		g.cd.reportSuspect(g.r, a.Target, a.Incarnation, nil)
	}
}

// runSegment sends the run message of a member's segment.
func (g *gang) runSegment(s *segment, a ganger.Action) {
	err := g.checkMember(s)
	if err == nil {
		err = g.cd.checkMemberRegions(g.r, a.Target)
	}
	if err == nil {
		err = g.prepareAnswer(a)
	}
	if err == nil {
		g.spendShare(s)
		err = s.stream.Send(messenger.KindRun, &messenger.Run{
			Attempt: a.Attempt, Incarnation: a.Incarnation, Remaining: a.Remaining,
			Body: g.segmentBody(a), Import: a.Import, Prefill: a.Prefill,
		})
	}
	if err != nil {
		g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Lost, Attempt: a.Attempt, Err: err})
	}
}

// prepareAnswer prepares the run of the last segment, which produces the answer. For a
// non-idempotent request it records the run with the keepers and allows no second one.
func (g *gang) prepareAnswer(a ganger.Action) error {
	if a.Prefill {
		return nil
	}
	if !g.gate.open(a.Attempt, g.r.Answer.Begin) {
		return coder.Errorf(coder.Internal, "an earlier attempt has already sent part of its answer")
	}
	if !g.r.NonIdempotent {
		return nil
	}
	if g.answerStarted.Swap(true) {
		g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Cancel, ID: g.r.ID})
		return coder.Errorf(coder.OutcomeUnknown, "the first run of the answer was lost")
	}
	return g.cd.claims.Run(g.ctx, claimOf(g.r), a.Target)
}

// segmentBody returns the request body with the prompt replaced by the text of the
// segment.
func (g *gang) segmentBody(a ganger.Action) []byte {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(g.r.Body, &fields)
	delete(fields, "messages")
	fields["prompt"], _ = json.Marshal(g.r.PromptText[runeBoundary(g.r.PromptText, a.Start):runeBoundary(g.r.PromptText, a.End)])
	out, _ := json.Marshal(fields)
	return out
}

// runeBoundary moves a byte offset back to the start of a UTF-8 character.
func runeBoundary(s string, i int) int {
	for i > 0 && i < len(s) && !utf8.RuneStart(s[i]) {
		i--
	}
	return min(i, len(s))
}

// handleMessage handles one message of a member. A failure that the agent reports is
// returned as an error.
func (g *gang) handleMessage(s *segment, msg muxer.Message) error {
	switch msg.Kind {
	case messenger.KindReserved:
		g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Granted, Attempt: s.attempt})
		return nil
	case messenger.KindChunk:
		return g.handleChunk(s, msg)
	case messenger.KindEnd:
		return g.handleEnd(s, msg)
	default:
		var f messenger.Failed
		return msg.Decode(&f)
	}
}

func (g *gang) handleChunk(s *segment, msg muxer.Message) error {
	var c messenger.Chunk
	if err := msg.Decode(&c); err != nil {
		return err
	}
	if c.Attempt != s.attempt || s.prefill.Load() || c.Seq <= s.received {
		return nil
	}
	if c.Seq != s.received+1 {
		return coder.Errorf(coder.TargetLost, "gap after chunk %d", s.received)
	}
	s.received++
	if s.received == 1 {
		g.cd.meter.first(g.r, g.cd.cfg.Now().Sub(g.r.Arrived))
		if g.r.Stream && !g.commit(s, false) {
			return supersededError(s.attempt)
		}
	}
	return g.gate.write(s.attempt, func() error { return g.r.Answer.Chunk(c) })
}

// commit reports whether a segment still belongs to its gang. If so, the gang is not
// restarted from then on. With finishing set, the goroutine that writes the end of the
// answer sends the outcome to g.done.
func (g *gang) commit(s *segment, finishing bool) (current bool) {
	g.cd.control.do(func() {
		if current = g.segments[s.attempt] == s; !current {
			return
		}
		g.finishing = g.finishing || finishing
		g.cd.control.stepGanger(ganger.Event{Kind: ganger.AnswerStarted, Attempt: s.attempt})
	})
	return current
}

func (g *gang) handleEnd(s *segment, msg muxer.Message) error {
	var end messenger.End
	if err := msg.Decode(&end); err != nil {
		return err
	}
	if end.Attempt != s.attempt {
		return nil
	}
	if s.prefill.Load() {
		s.exported = true
		g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Exported, Attempt: s.attempt, Export: end.Export})
		return nil
	}
	if end.Count != s.received {
		return coder.Errorf(coder.TargetLost, "%d of %d chunks", s.received, end.Count)
	}
	end.Usage.Prompt = g.r.Prompt
	if !g.commit(s, true) {
		return supersededError(s.attempt)
	}
	err := g.gate.write(s.attempt, func() error { return g.r.Answer.End(end) })
	g.cd.control.sendGangEvent(ganger.Event{Kind: ganger.Ended, Attempt: s.attempt})
	g.done <- err
	return nil
}
