package keeper

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const batchCount = 512 // inputs decided on before one sync

// input is a message from another keeper or a call of this process.
type input struct {
	message any
	call    *call
}

// run is the control goroutine. While it syncs, inputs gather for the next sync.
func (k *Keeper) run() {
	defer k.end()
	tick := time.NewTicker(k.cfg.Heartbeat / tickParts)
	defer tick.Stop()
	for {
		var err error
		select {
		case <-k.ctx.Done():
			return
		case <-tick.C:
			err = k.step(replicator.Event{})
		case d := <-k.drafts:
			err = k.adopt(d)
		case in := <-k.in:
			err = k.gather(in)
		}
		if err == nil {
			err = k.flush()
		}
		if err != nil {
			k.cfg.Fatal(err)
			return
		}
		k.publish()
	}
}

// gather decides on all inputs that wait.
func (k *Keeper) gather(in input) error {
	var calls []*call
	for n := 1; ; n++ {
		if in.call != nil {
			calls = append(calls, in.call)
		} else if err := k.step(replicator.Event{Message: in.message}); err != nil {
			return err
		}
		if n == batchCount {
			return k.take(calls)
		}
		select {
		case in = <-k.in:
		default:
			return k.take(calls)
		}
	}
}

// take decides on calls: one event for all proposals, one for all read barriers.
func (k *Keeper) take(calls []*call) error {
	if len(calls) == 0 {
		return nil
	}
	var ev replicator.Event
	for _, c := range calls {
		k.next++
		switch c.kind {
		case callRetire:
			if err := k.retire(c); err != nil {
				return err
			}
		case callPropose:
			k.calls[k.next] = []*call{c}
			ev.Proposals = append(ev.Proposals, replicator.Proposal{ID: k.next, Data: c.data})
		case callChange:
			k.calls[k.next] = []*call{c}
			if err := k.step(replicator.Event{Change: &replicator.Change{ID: k.next, Verb: c.verb, Node: c.node}}); err != nil {
				return err
			}
		}
	}
	k.next++
	for _, c := range calls {
		if c.kind == callConfirm {
			ev.ReadBarrier = k.next
			k.calls[k.next] = append(k.calls[k.next], c)
		}
	}
	return k.step(ev)
}

// step decides on one event and carries out what need not wait for the sync.
func (k *Keeper) step(ev replicator.Event) error {
	act := k.rep.Step(k.now(), ev)
	if act.LeadershipLost {
		k.publish() // before another is told to lead
	}
	k.sendAll(act.Send)
	if act.State != nil {
		if err := k.rec.SaveState(*act.State); err != nil {
			return err
		}
	}
	if act.Install != nil {
		if err := k.install(act.Install); err != nil {
			return err
		}
	}
	if len(act.Append) > 0 {
		k.dirty = true
		k.gauges.batch.Update(int64(len(act.Append)))
		if err := k.rec.Append(act.Append); err != nil {
			return err
		}
	}
	if s := act.Snapshot; s != nil {
		k.snapshot, k.size, k.span = s.Index, len(s.Data), 0
		k.draft(*s)
	}
	k.after = append(k.after, act.SendAfterSync...)
	k.apply = append(k.apply, act.Apply...)
	k.inform(&act)
	return nil
}

// draft is a snapshot that was written and awaits being put in force.
type draft struct {
	index uint64
	err   error
}

// draft writes a snapshot beside the control goroutine.
func (k *Keeper) draft(s replicator.Snapshot) {
	k.drafting = true
	k.wg.Go(func() {
		d := draft{index: s.Index, err: k.rec.StageSnapshot(s)}
		select {
		case k.drafts <- d:
		case <-k.ctx.Done():
		}
	})
}

func (k *Keeper) adopt(d draft) error {
	k.drafting = false
	if d.err != nil {
		return d.err
	}
	return k.rec.CommitSnapshot(d.index, d.index-min(d.index, trailCount))
}

// install puts a snapshot in the place of log and state machine. What was
// decided before is finished first.
func (k *Keeper) install(s *replicator.Snapshot) error {
	if err := k.finish(); err != nil {
		return err
	}
	if err := k.rec.InstallSnapshot(*s); err != nil {
		return err
	}
	if err := k.cfg.Restore(s.Data); err != nil {
		return &coder.Error{Code: coder.Damaged, Text: "restore snapshot", Cause: err}
	}
	k.applied, k.snapshot, k.size, k.span = s.Index, s.Index, len(s.Data), 0
	return nil
}

// flush syncs, answers, applies, and takes the replica's messages to itself,
// until nothing is left.
func (k *Keeper) flush() error {
	for {
		if err := k.finish(); err != nil {
			return err
		}
		if k.due() {
			s := &replicator.Snapshot{Index: k.applied, Data: k.cfg.Snapshot()}
			if err := k.step(replicator.Event{Compact: s}); err != nil {
				return err
			}
			continue
		}
		if len(k.own) == 0 {
			return nil
		}
		own := k.own
		k.own = nil
		for _, m := range own {
			if err := k.step(replicator.Event{Message: m}); err != nil {
				return err
			}
		}
	}
}

// due reports whether the log since the last snapshot has grown long.
func (k *Keeper) due() bool {
	return !k.drafting && (k.applied >= k.snapshot+k.cfg.Every || k.span > max(spanBytes, k.size))
}

func (k *Keeper) finish() error {
	if k.dirty {
		if err := k.rec.Sync(); err != nil {
			return err
		}
		k.gauges.syncs.Inc(1)
		k.dirty = false
	}
	after := k.after
	k.after = nil
	k.sendAll(after)
	for i := range k.apply {
		k.applyOne(&k.apply[i])
	}
	k.apply = nil
	k.answerReads()
	return nil
}

func (k *Keeper) applyOne(e *messenger.Entry) {
	var answer []byte
	if len(e.Data) > 0 {
		answer = k.cfg.Apply(e.Index, e.Data)
		k.gauges.applied.Inc(1)
	}
	k.applied = e.Index
	k.span += len(e.Data)
	p := k.pending[e.Index]
	if p == nil {
		return
	}
	delete(k.pending, e.Index)
	if p.term != e.Term {
		p.call.end(result{err: unconfirmed()})
		return
	}
	p.call.end(result{index: e.Index, answer: answer})
}
