package publisher

import (
	"context"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// announceTimeout bounds the time that an announcement waits for a confirmation.
const announceTimeout = time.Second

// Handle serves one stream until it ends. It returns false, without serving it, if
// the first message is of a kind that the Publisher doesn't serve.
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
		p.answer(s, first, p.listNodes(ctx))
	default:
		return false
	}
	return true
}

// reply is the answer to one message: a body of a kind, or an error.
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
	if err := p.acceptAnnounce(ctx, &a); err != nil {
		return reply{err: err}
	}
	if a.Relayed {
		return reply{kind: messenger.KindAnnounced, body: &messenger.Announced{Leader: p.cfg.Leader()}}
	}
	wait, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	ok := p.confirm.wait(wait)
	return reply{kind: messenger.KindAnnounced, body: &messenger.Announced{
		Fence: p.cfg.Applier.Fence(a.Target.ID), Leader: p.cfg.Leader(),
		Version: p.cfg.Applier.View().Version, Confirmed: ok,
	}}
}

// acceptAnnounce handles an announcement on the control goroutine.
func (p *Publisher) acceptAnnounce(ctx context.Context, a *messenger.Announce) (err error) {
	if !p.do(ctx, func() { err = p.renewLease(a) }) {
		return coder.Errorf(coder.NotReady, "keeper is ending")
	}
	return err
}

// renewLease renews or ends the lease of a target. It runs on the control goroutine.
func (p *Publisher) renewLease(a *messenger.Announce) error {
	now := p.cfg.Now()
	before := p.leases.Rev()
	if a.Gone {
		p.leases.Leave(now, a.Target.ID, a.Target.Incarnation)
		p.cfg.Log.WithFields(logrus.Fields{"target": a.Target.ID, "incarnation": a.Target.Incarnation}).Info("target deregistered")
		p.requestPublish()
		return nil
	}
	lease, err := p.leases.Announce(now, *a)
	if err != nil {
		return err
	}
	if lease.Rev > before {
		p.requestPublish()
	}
	if lease.Since.Equal(now) || lease.Rev > before && a.Target.Leaving {
		p.cfg.Log.WithFields(logrus.Fields{
			"target": a.Target.ID, "incarnation": a.Target.Incarnation, "seq": a.Target.Seq,
			"service": a.Target.Service, "address": a.Target.Address, "leaving": a.Target.Leaving,
		}).Info("target announced")
	}
	return nil
}

// proposeCommand stamps and proposes a command, and returns its index and the answer.
// It fails on a keeper that doesn't lead.
func (p *Publisher) proposeCommand(ctx context.Context, c *applier.Command) (uint64, *applier.Answer, error) {
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
	_, a, err := p.proposeCommand(ctx, &applier.Command{Verb: applier.VerbClaim, Claim: &c})
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
	index, a, err := p.proposeCommand(ctx, &applier.Command{Verb: applier.VerbSuspect, Suspect: &s})
	log := p.cfg.Log.WithFields(logrus.Fields{
		"fingerprint": strconv.FormatUint(s.Fingerprint, 16), "target": s.Target, "incarnation": s.Incarnation, "index": index,
	})
	if err != nil {
		log.WithError(err).Info("lost target not recorded")
	} else {
		log.Info("lost target recorded")
		p.logAccused(&s)
		p.settleParts()
	}
	return proposedReply(index, a, err)
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
	index, a, err := p.proposeCommand(ctx, c)
	if err == nil && c.Parts != nil {
		p.logPartsChange(c.Parts, a)
	}
	if err == nil && c.Evacuation != nil {
		p.logEvacuationOrder(c.Evacuation, index, a)
	}
	return proposedReply(index, a, err)
}

func proposedReply(index uint64, a *applier.Answer, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	return reply{kind: messenger.KindProposed, body: &messenger.Proposed{Index: index, Data: a.Encode()}}
}

// watch sends updates and receives reports until the stream ends.
func (p *Publisher) watch(ctx context.Context, s *muxer.Stream, first muxer.Message) {
	var w messenger.Watch
	if err := first.Decode(&w); err != nil {
		_ = s.Fail("", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &cursor{configOnly: w.Lean, version: w.Version, packs: w.Packs}
	p.recordWatch(ctx, c, &w)
	p.confirm.request()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		defer cancel()
		p.receiveReports(ctx, s, c)
	})
	p.streamUpdates(ctx, s, c)
}

// recordWatch records the version in force at the watcher and its request for a
// confirmation.
// It requests a confirmation round at once if the version differs from the last report.
func (p *Publisher) recordWatch(ctx context.Context, c *cursor, w *messenger.Watch) {
	p.recordNode(ctx, w.Node, w.Version)
	if w.Version != c.reportedVersion {
		defer p.confirm.request()
	}
	c.reportedVersion = w.Version
	if w.Seq > 0 {
		c.pending.add(w.Seq, p.confirm.nextRoundNumber())
	}
}

// receiveReports receives the versions that the watcher puts in force.
func (p *Publisher) receiveReports(ctx context.Context, s *muxer.Stream, c *cursor) {
	for {
		m, err := s.Receive(ctx)
		if err != nil {
			return
		}
		var w messenger.Watch
		if m.Decode(&w) == nil {
			p.recordWatch(ctx, c, &w)
		}
	}
}

func (p *Publisher) streamUpdates(ctx context.Context, s *muxer.Stream, c *cursor) {
	for {
		st := p.state.Load()
		if u := c.nextUpdate(st, p.cfg.Now()); u != nil {
			p.count("publisher.update")
			p.packFiles(c, u)
			if s.Send(messenger.KindUpdate, u) != nil {
				return
			}
		}
		select {
		case <-st.replaced:
		case <-ctx.Done():
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// packFiles compresses the files of an update if the watcher accepts that.
func (p *Publisher) packFiles(c *cursor, u *messenger.Update) {
	if !c.packs || len(u.Files) == 0 {
		return
	}
	files, err := p.packer.Pack(u.Files)
	if err != nil {
		p.cfg.Log.WithError(err).Warn("could not compress the configuration, sending it as it is")
		return
	}
	u.Files = files
}
