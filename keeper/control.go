package keeper

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const maxBatch = 512 // inputs handled before one sync

// input is either a message from a keeper or a call from this process.
type input struct {
	message any
	call    *call
}

// run is the control goroutine. Inputs that arrive during a sync share the next one. The
// first step follows at once, as a restarted replica may stand for election.
func (k *Keeper) run() {
	defer k.shutDown()
	tick := time.NewTicker(k.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer tick.Stop()
	for err := k.step(replicator.Event{}); ; err = k.next(tick.C) {
		if err == nil {
			err = k.flush()
		}
		if err != nil {
			k.cfg.Fatal(err)
			return
		}
		if k.ctx.Err() != nil {
			return
		}
		k.publishStatus()
	}
}

// next waits for the next event and handles it.
func (k *Keeper) next(tick <-chan time.Time) error {
	select {
	case <-k.ctx.Done():
		return nil
	case <-tick:
		return k.step(replicator.Event{})
	case staged := <-k.staged:
		return k.commitSnapshot(staged)
	case in := <-k.inputs:
		return k.handleInputs(in)
	}
}

// handleInputs handles an input and those queued behind it, up to maxBatch.
func (k *Keeper) handleInputs(in input) error {
	var calls []*call
	for n := 1; ; n++ {
		if in.call != nil {
			calls = append(calls, in.call)
		} else if err := k.step(replicator.Event{Message: in.message}); err != nil {
			return err
		}
		if n == maxBatch {
			return k.handleCalls(calls)
		}
		select {
		case in = <-k.inputs:
		default:
			return k.handleCalls(calls)
		}
	}
}

// handleCalls passes calls to the replica. All proposals and read barriers share one
// event; each membership change and leadership transfer is an event of its own.
func (k *Keeper) handleCalls(calls []*call) error {
	if len(calls) == 0 {
		return nil
	}
	var ev replicator.Event
	for _, c := range calls {
		k.lastCall++
		switch c.kind {
		case callTransfer:
			if err := k.transferLeadership(c); err != nil {
				return err
			}
		case callPropose:
			k.calls[k.lastCall] = []*call{c}
			ev.Proposals = append(ev.Proposals, replicator.Proposal{ID: k.lastCall, Data: c.command})
		case callChange:
			k.calls[k.lastCall] = []*call{c}
			if err := k.step(replicator.Event{Change: &replicator.Change{ID: k.lastCall, Verb: c.verb, Node: c.node}}); err != nil {
				return err
			}
		}
	}
	k.lastCall++
	for _, c := range calls {
		if c.kind == callConfirm {
			ev.ReadBarrier = k.lastCall
			k.calls[k.lastCall] = append(k.calls[k.lastCall], c)
		}
	}
	return k.step(ev)
}

// step passes one event to the replica and carries out its actions, except those that
// must wait for the next sync, which it queues.
func (k *Keeper) step(ev replicator.Event) error {
	act := k.replica.Step(k.now(), ev)
	if act.LeadershipLost {
		k.publishStatus() // before a message lets another keeper become leader
	}
	k.sendAll(act.Send)
	if act.State != nil {
		if err := k.rec.SaveState(*act.State); err != nil {
			return err
		}
	}
	if act.Install != nil {
		if err := k.installSnapshot(act.Install); err != nil {
			return err
		}
	}
	if len(act.Append) > 0 {
		k.unsynced = true
		k.metrics.batchEntries.Update(int64(len(act.Append)))
		if err := k.rec.Append(act.Append); err != nil {
			return err
		}
	}
	if s := act.Snapshot; s != nil {
		k.snapshotIndex, k.snapshotBytes, k.bytesSinceSnapshot = s.Index, len(s.Data), 0
		k.stageSnapshot(*s)
	}
	k.sendAfterSync = append(k.sendAfterSync, act.SendAfterSync...)
	k.toApply = append(k.toApply, act.Apply...)
	k.resolveCalls(&act)
	return nil
}

// stagedSnapshot is the outcome of staging a snapshot. If err is nil, the snapshot is
// written and waits to be committed.
type stagedSnapshot struct {
	index uint64
	err   error
}

// stageSnapshot writes a snapshot without blocking the control goroutine.
func (k *Keeper) stageSnapshot(s replicator.Snapshot) {
	k.staging = true
	k.wg.Go(func() {
		staged := stagedSnapshot{index: s.Index, err: k.rec.StageSnapshot(s)}
		select {
		case k.staged <- staged:
		case <-k.ctx.Done():
		}
	})
}

func (k *Keeper) commitSnapshot(staged stagedSnapshot) error {
	k.staging = false
	if staged.err != nil {
		return staged.err
	}
	return k.rec.CommitSnapshot(staged.index, staged.index-min(staged.index, trailingEntries))
}

// installSnapshot replaces the log and the state machine's state by a snapshot from
// the leader. It carries out the queued actions first.
func (k *Keeper) installSnapshot(s *replicator.Snapshot) error {
	if err := k.syncAndApply(); err != nil {
		return err
	}
	if err := k.rec.InstallSnapshot(*s); err != nil {
		return err
	}
	if err := k.cfg.Restore(s.Data); err != nil {
		return &coder.Error{Code: coder.Damaged, Text: "restore snapshot", Cause: err}
	}
	k.applied, k.snapshotIndex, k.snapshotBytes, k.bytesSinceSnapshot = s.Index, s.Index, len(s.Data), 0
	return nil
}

// flush carries out the queued actions, takes a snapshot if one is due, and handles
// the messages that the replica sends to itself, until nothing is left.
func (k *Keeper) flush() error {
	for {
		if err := k.syncAndApply(); err != nil {
			return err
		}
		if k.snapshotDue() {
			s := &replicator.Snapshot{Index: k.applied, Data: k.cfg.Snapshot()}
			if err := k.step(replicator.Event{Compact: s}); err != nil {
				return err
			}
			continue
		}
		if len(k.selfMessages) == 0 {
			return nil
		}
		own := k.selfMessages
		k.selfMessages = nil
		for _, m := range own {
			if err := k.step(replicator.Event{Message: m}); err != nil {
				return err
			}
		}
	}
}

// snapshotDue reports whether the log since the last snapshot is long enough for the
// next one.
func (k *Keeper) snapshotDue() bool {
	return !k.staging && (k.applied >= k.snapshotIndex+k.cfg.SnapshotEntries || k.bytesSinceSnapshot > max(minSnapshotGrowth, k.snapshotBytes))
}

func (k *Keeper) syncAndApply() error {
	if k.unsynced {
		if err := k.rec.Sync(); err != nil {
			return err
		}
		k.metrics.syncs.Inc(1)
		k.unsynced = false
	}
	after := k.sendAfterSync
	k.sendAfterSync = nil
	k.sendAll(after)
	for i := range k.toApply {
		k.applyOne(&k.toApply[i])
	}
	k.toApply = nil
	k.finishReads()
	return nil
}

func (k *Keeper) applyOne(e *messenger.Entry) {
	var answer []byte
	if len(e.Data) > 0 {
		answer = k.cfg.Apply(e.Index, e.Data)
		k.metrics.applied.Inc(1)
	}
	k.applied = e.Index
	k.bytesSinceSnapshot += len(e.Data)
	p := k.pending[e.Index]
	if p == nil {
		return
	}
	delete(k.pending, e.Index)
	if p.term != e.Term {
		p.call.finish(result{err: errUnconfirmed()})
		return
	}
	p.call.finish(result{index: e.Index, answer: answer})
}
