package publisher

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Leases are held in memory. So that keepers that restart have targets before those
// announce themselves again, the leader records the targets in the replicated log when
// they change other than in their load. A recorded target is a hint: entries name the
// target on each send, so an outdated record costs a refusal.

const (
	// recordInterval is the shortest time between two records of changed targets.
	recordInterval = time.Second
	// recordTimeout bounds the wait for a record.
	recordTimeout = 700 * time.Millisecond
)

// restoreTargets grants leases to the recorded targets, once after the start of the
// process. It runs on the control goroutine, after a quorum has confirmed the state.
func (p *Publisher) restoreTargets() {
	if p.restored {
		return
	}
	p.restored = true
	if p.cfg.ForgetTargets {
		return
	}
	recorded := p.cfg.Applier.Targets()
	for _, t := range recorded {
		if err := p.leases.Restore(p.cfg.Now(), t); err != nil {
			p.cfg.Log.WithError(err).WithField("target", t.ID).Info("recorded target not restored")
		}
	}
	p.cfg.Log.WithField("targets", len(recorded)).Info("recorded targets restored")
}

// recordTargets proposes to record the targets that have changed. Only the leader's
// proposal succeeds. It runs on the control goroutine.
func (p *Publisher) recordTargets() {
	now := p.cfg.Now()
	if !p.restored || p.recording || now.Sub(p.recordedAt) < recordInterval || p.leases.Rev() == p.recordedRev {
		return
	}
	rev := p.leases.Rev()
	change := p.changedTargets()
	if len(change.Known)+len(change.Gone) == 0 {
		p.recordedRev = rev
		return
	}
	p.recordedAt, p.recording = now, true
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, recordTimeout)
		defer cancel()
		_, _, err := p.proposeCommand(ctx, &applier.Command{Verb: applier.VerbTargets, Targets: change})
		if err == nil {
			p.count("publisher.targets.recorded")
			p.cfg.Log.WithFields(logrus.Fields{"changed": len(change.Known), "gone": len(change.Gone)}).Info("targets recorded")
		} else if coder.Of(err).Code != coder.NotLeader {
			p.cfg.Log.WithError(err).Info("targets not recorded, trying again")
		}
		p.do(p.ctx, func() { p.recording = false })
	})
}

// changedTargets compares the live targets with the recorded ones.
func (p *Publisher) changedTargets() *applier.Targets {
	recorded := map[string]messenger.Target{}
	for _, t := range p.cfg.Applier.Targets() {
		recorded[t.ID] = t
	}
	change := &applier.Targets{}
	for _, l := range p.leases.Live() {
		old := recorded[l.Target.ID]
		delete(recorded, l.Target.ID)
		if next := applier.MergeTarget(old, l.Target); !reflect.DeepEqual(old, next) {
			change.Known = append(change.Known, next)
		}
	}
	for id := range recorded {
		change.Gone = append(change.Gone, id)
	}
	return change
}

// recordLeaving records that a target leaves and waits until a quorum has the record on
// disk, unless it is recorded already.
func (p *Publisher) recordLeaving(ctx context.Context, t messenger.Target) error {
	known := false
	p.do(ctx, func() {
		for _, l := range p.leases.Live() {
			if l.Target.ID == t.ID {
				t, known = l.Target, true
			}
		}
	})
	t.Leaving = true
	for _, old := range p.cfg.Applier.Targets() {
		if old.ID == t.ID {
			known = true
			if old.Leaving && old.Incarnation >= t.Incarnation {
				return nil
			}
		}
	}
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return p.proposeToLeader(ctx, &applier.Command{Verb: applier.VerbTargets, Targets: &applier.Targets{Known: []messenger.Target{t}}})
}

// proposeToLeader proposes a command here or, if another keeper leads, there. A leader of
// a build that doesn't know the command records nothing, which is not an error.
func (p *Publisher) proposeToLeader(ctx context.Context, c *applier.Command) error {
	_, _, err := p.proposeCommand(ctx, c)
	if err == nil || coder.Of(err).Code != coder.NotLeader {
		return err
	}
	body, err := msgpack.Marshal(&messenger.Propose{Data: c.Encode()})
	if err != nil {
		return coder.Errorf(coder.Internal, "encode proposal: %v", err)
	}
	got, err := p.callLeader(ctx, &messenger.Forward{Kind: messenger.KindPropose, Body: body})
	if err != nil {
		return err
	}
	var out messenger.Proposed
	return got.Decode(&out)
}
