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

func (x *gang) reserve(a ganger.Action) *messenger.Reserve {
	return &messenger.Reserve{
		Attempt: a.Attempt, Incarnation: a.Incarnation, Account: x.r.Account, Prompt: a.Tokens, Output: a.Output,
		Priority: priority(x.r), Remaining: a.Remaining, Fingerprint: x.r.Fingerprint, Gang: true,
		Key: x.r.Key, Batch: x.r.Batch,
	}
}

// member reserves a member and reads its answers until its stream ends.
func (x *gang) member(ctx context.Context, s *segment, a ganger.Action) {
	tell := func(k ganger.EventKind, err error) {
		if coder.Of(err).Code == coder.Cancelled && ctx.Err() == nil {
			x.cd.control.step(ganger.Event{Kind: ganger.Cancel, ID: x.r.ID})
			return
		}
		x.cd.control.step(ganger.Event{Kind: k, Attempt: a.Attempt, Err: err})
	}
	conn, err := x.cd.cfg.Pool.Get(ctx, s.address)
	if err != nil {
		tell(ganger.Refused, err)
		return
	}
	stream, err := conn.Open(messenger.KindReserve, x.reserve(a))
	if err != nil {
		tell(ganger.Refused, err)
		return
	}
	defer stream.Close()
	x.cd.control.do(func() { s.stream = stream })
	for granted := false; ; granted = true {
		msg, err := stream.Receive(ctx)
		if err == nil {
			err = x.take(s, msg)
		} else if s.held {
			err = lost(ctx, conn)
		}
		switch {
		case err == nil:
		case granted:
			x.suspect(a, coder.Of(err))
			tell(ganger.Lost, err)
			return
		default:
			tell(ganger.Refused, err)
			return
		}
	}
}

// lost waits for the end of the connection. An agent closes the stream of a
// member that has exported, and holds its memory while the connection lives.
func lost(ctx context.Context, conn *muxer.Muxer) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-conn.Done():
		return coder.Errorf(coder.Silent, "connection of a held member")
	}
}

// suspect reports the request if a target was lost with its segment.
func (x *gang) suspect(a ganger.Action, err *coder.Error) {
	if err.Code == coder.TargetLost && err.Run != coder.NotRun {
		x.cd.report(x.r, a.Target, a.Incarnation)
	}
}

// run starts a member's segment.
func (x *gang) run(s *segment, a ganger.Action) {
	err := x.last(a)
	if err == nil {
		err = s.stream.Send(messenger.KindRun, &messenger.Run{
			Attempt: a.Attempt, Incarnation: a.Incarnation, Remaining: a.Remaining,
			Body: x.body(a), Import: a.Import, Prefill: a.Prefill,
		})
	}
	if err != nil {
		x.cd.control.step(ganger.Event{Kind: ganger.Lost, Attempt: a.Attempt, Err: err})
	}
}

// last prepares the run of the segment that is answered. A request that is not
// idempotent is claimed for it, once.
func (x *gang) last(a ganger.Action) error {
	if a.Prefill {
		return nil
	}
	if !x.outlet.open(a.Attempt, x.r.Answer.Begin) {
		return coder.Errorf(coder.Internal, "second answer")
	}
	if !x.r.Once {
		return nil
	}
	if x.started {
		x.cd.control.step(ganger.Event{Kind: ganger.Cancel, ID: x.r.ID})
		return coder.Errorf(coder.OutcomeUnknown, "the first run of the answer was lost")
	}
	x.started = true
	return x.cd.claims.Run(x.ctx, claimOf(x.r), a.Target)
}

// body is the segment's text with the request's other fields.
func (x *gang) body(a ganger.Action) []byte {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(x.r.Body, &fields)
	delete(fields, "messages")
	fields["prompt"], _ = json.Marshal(x.r.Full[boundary(x.r.Full, a.Start):boundary(x.r.Full, a.End)])
	out, _ := json.Marshal(fields)
	return out
}

// boundary moves an offset back to the start of a character.
func boundary(s string, i int) int {
	for i > 0 && i < len(s) && !utf8.RuneStart(s[i]) {
		i--
	}
	return min(i, len(s))
}

// take works on one answer of a member.
func (x *gang) take(s *segment, msg muxer.Message) error {
	switch msg.Kind {
	case messenger.KindReserved:
		x.cd.control.step(ganger.Event{Kind: ganger.Granted, Attempt: s.attempt})
		return nil
	case messenger.KindChunk:
		return x.chunk(s, msg)
	case messenger.KindEnd:
		return x.end(s, msg)
	default:
		var f messenger.Failed
		return msg.Decode(&f)
	}
}

func (x *gang) chunk(s *segment, msg muxer.Message) error {
	var c messenger.Chunk
	if err := msg.Decode(&c); err != nil {
		return err
	}
	if c.Attempt != s.attempt || s.prefill || c.Seq <= s.got {
		return nil
	}
	if c.Seq != s.got+1 {
		return coder.Errorf(coder.TargetLost, "gap after chunk %d", s.got)
	}
	s.got++
	if s.got == 1 {
		x.cd.meter.first(x.r, x.cd.cfg.Now().Sub(x.r.Arrived))
		if x.r.Stream && !x.commit(s, false) {
			return former(s.attempt)
		}
	}
	return x.outlet.pass(s.attempt, func() error { return x.r.Answer.Chunk(c) })
}

// commit reports whether a member is still its gang's; from then on the gang does
// not start anew. With ending set, its outcome is left to the member's writer.
func (x *gang) commit(s *segment, ending bool) (current bool) {
	x.cd.control.do(func() {
		if current = x.members[s.attempt] == s; !current {
			return
		}
		x.ending = x.ending || ending
		x.cd.control.gang(ganger.Event{Kind: ganger.AnswerStarted, Attempt: s.attempt})
	})
	return current
}

func (x *gang) end(s *segment, msg muxer.Message) error {
	var end messenger.End
	if err := msg.Decode(&end); err != nil {
		return err
	}
	if end.Attempt != s.attempt {
		return nil
	}
	if s.prefill {
		s.held = true
		x.cd.control.step(ganger.Event{Kind: ganger.Exported, Attempt: s.attempt, Export: end.Export})
		return nil
	}
	if end.Count != s.got {
		return coder.Errorf(coder.TargetLost, "%d of %d chunks", s.got, end.Count)
	}
	end.Usage.Prompt = x.r.Prompt
	if !x.commit(s, true) {
		return former(s.attempt)
	}
	err := x.outlet.pass(s.attempt, func() error { return x.r.Answer.End(end) })
	x.cd.control.step(ganger.Event{Kind: ganger.Ended, Attempt: s.attempt})
	x.done <- err
	return nil
}
