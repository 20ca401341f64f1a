package publisher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// announceLimit bounds the wait of an announcement for a confirmation.
const announceLimit = time.Second

// Handle serves one stream if its first message is the Publisher's. It reports
// false, at once, if it is not.
func (p *Publisher) Handle(ctx context.Context, s *muxer.Stream, first muxer.Message) bool {
	switch first.Kind {
	case messenger.KindAnnounce:
		p.answer(s, first, p.announce(ctx, first))
	case messenger.KindWatch:
		p.watch(ctx, s, first)
	case messenger.KindClaim:
		p.answer(s, first, p.claim(ctx, first))
	case messenger.KindSuspect:
		p.answer(s, first, p.suspect(ctx, first))
	case messenger.KindPropose:
		p.answer(s, first, p.propose(ctx, first))
	case messenger.KindForward:
		p.answer(s, first, p.forward(ctx, first))
	case messenger.KindNodes:
		p.answer(s, first, p.list(ctx))
	default:
		return false
	}
	return true
}

// reply is the answer to one message.
type reply struct {
	kind messenger.Kind
	body any
	err  error
}

func (p *Publisher) answer(s *muxer.Stream, first muxer.Message, r reply) {
	p.count("publisher." + first.Kind.String())
	if r.err == nil {
		_ = s.Send(r.kind, r.body)
		return
	}
	f := messenger.FailedOf("", r.err)
	f.Leader = p.cfg.Leader()
	_ = s.Send(messenger.KindFailed, f)
}

func (p *Publisher) announce(ctx context.Context, m muxer.Message) reply {
	var a messenger.Announce
	if err := m.Decode(&a); err != nil {
		return reply{err: err}
	}
	if a.Spread {
		a.Spread = false
		if err := p.Announce(ctx, a); err != nil {
			return reply{err: err}
		}
		return reply{kind: messenger.KindAnnounced, body: &messenger.Announced{Leader: p.cfg.Leader()}}
	}
	if err := p.take(ctx, &a); err != nil {
		return reply{err: err}
	}
	if a.Relayed {
		return reply{kind: messenger.KindAnnounced, body: &messenger.Announced{Leader: p.cfg.Leader()}}
	}
	wait, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	ok := p.confirm.wait(wait)
	return reply{kind: messenger.KindAnnounced, body: &messenger.Announced{
		Fence: p.cfg.Applier.Fence(a.Target.ID), Leader: p.cfg.Leader(),
		Version: p.cfg.Applier.View().Version, Confirmed: ok,
	}}
}

// take has the control goroutine take an announcement.
func (p *Publisher) take(ctx context.Context, a *messenger.Announce) (err error) {
	if !p.do(ctx, func() { err = p.renew(a) }) {
		return coder.Errorf(coder.NotReady, "keeper is ending")
	}
	return err
}

// renew runs on the control goroutine.
func (p *Publisher) renew(a *messenger.Announce) error {
	now := p.cfg.Now()
	before := p.leases.Rev()
	if a.Gone {
		p.leases.Leave(now, a.Target.ID, a.Target.Incarnation)
		p.cfg.Log.WithFields(logrus.Fields{"target": a.Target.ID, "incarnation": a.Target.Incarnation}).Info("target deregistered")
		p.notify()
		return nil
	}
	e, err := p.leases.Announce(now, *a)
	if err != nil {
		return err
	}
	if e.Rev > before {
		p.notify()
	}
	if e.Since.Equal(now) || e.Rev > before && a.Target.Leaving {
		p.cfg.Log.WithFields(logrus.Fields{
			"target": a.Target.ID, "incarnation": a.Target.Incarnation, "seq": a.Target.Seq,
			"service": a.Target.Service, "address": a.Target.Address, "leaving": a.Target.Leaving,
		}).Info("target announced")
	}
	return nil
}

// command has a command decided. Only the leader's keeper can.
func (p *Publisher) command(ctx context.Context, c *applier.Command) (uint64, *applier.Answer, error) {
	index, data, err := p.cfg.Propose(ctx, c.Stamp(p.cfg.Now()))
	if err != nil {
		return 0, nil, err
	}
	a, err := applier.DecodeAnswer(data)
	return index, a, err
}

func (p *Publisher) claim(ctx context.Context, m muxer.Message) reply {
	var c messenger.Claim
	if err := m.Decode(&c); err != nil {
		return reply{err: err}
	}
	_, a, err := p.command(ctx, &applier.Command{Verb: applier.VerbClaim, Claim: &c})
	if err != nil {
		return reply{err: err}
	}
	if a.Claimed == nil {
		return reply{err: a.Err()}
	}
	return reply{kind: messenger.KindClaimed, body: a.Claimed}
}

func (p *Publisher) suspect(ctx context.Context, m muxer.Message) reply {
	var s messenger.Suspect
	if err := m.Decode(&s); err != nil {
		return reply{err: err}
	}
	index, a, err := p.command(ctx, &applier.Command{Verb: applier.VerbSuspect, Suspect: &s})
	return proposed(index, a, err)
}

func (p *Publisher) propose(ctx context.Context, m muxer.Message) reply {
	var w messenger.Propose
	if err := m.Decode(&w); err != nil {
		return reply{err: err}
	}
	c, err := applier.DecodeCommand(w.Data)
	if err != nil {
		return reply{err: err}
	}
	return proposed(p.command(ctx, c))
}

func proposed(index uint64, a *applier.Answer, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	return reply{kind: messenger.KindProposed, body: &messenger.Proposed{Index: index, Data: a.Encode()}}
}

// watch streams updates until the stream ends.
func (p *Publisher) watch(ctx context.Context, s *muxer.Stream, first muxer.Message) {
	var w messenger.Watch
	if err := first.Decode(&w); err != nil {
		_ = s.Fail("", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &cursor{lean: w.Lean, version: w.Version}
	p.heard(ctx, c, &w)
	p.confirm.ask()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		defer cancel()
		p.reports(ctx, s, c)
	})
	p.stream(ctx, s, c)
}

// heard notes the version in force at the watcher and its wish for a proof, which
// is urgent when the version is new to it.
func (p *Publisher) heard(ctx context.Context, c *cursor, w *messenger.Watch) {
	p.note(ctx, w.Node, w.Version)
	if w.Version != c.reported {
		defer p.confirm.ask()
	}
	c.reported = w.Version
	if w.Seq > 0 {
		c.proofs.add(w.Seq, p.confirm.coming())
	}
}

// reports takes the versions that the watcher puts in force.
func (p *Publisher) reports(ctx context.Context, s *muxer.Stream, c *cursor) {
	for {
		m, err := s.Receive(ctx)
		if err != nil {
			return
		}
		var w messenger.Watch
		if m.Decode(&w) == nil {
			p.heard(ctx, c, &w)
		}
	}
}

func (p *Publisher) stream(ctx context.Context, s *muxer.Stream, c *cursor) {
	for {
		b := p.board.Load()
		if u := c.update(b, p.cfg.Now()); u != nil {
			p.count("publisher.update")
			if s.Send(messenger.KindUpdate, u) != nil {
				return
			}
		}
		select {
		case <-b.next:
		case <-ctx.Done():
			return
		case <-p.ctx.Done():
			return
		}
	}
}
