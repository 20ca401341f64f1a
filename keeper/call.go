package keeper

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/replicator"
)

// maxCommand bounds an entry, in bytes. It travels in one frame, and heartbeats
// wait behind it, so that a much larger one would cost the leader its lease.
const maxCommand = 1 << 20

type callKind uint8

const (
	callPropose callKind = iota
	callConfirm
	callChange
	callRetire
)

// call is a request of this process to the control goroutine.
type call struct {
	kind callKind
	data []byte
	verb replicator.Verb
	node string
	done chan result // takes one result without a reader
}

type result struct {
	index  uint64
	answer []byte
	err    error
}

// promise is a call whose entry stands in the log.
type promise struct {
	term uint64
	call *call
}

func (c *call) end(r result) {
	select {
	case c.done <- r:
	default:
	}
}

func unconfirmed() error {
	return coder.Errorf(coder.Unconfirmed, "leadership ended before the entry was committed")
}

// Propose appends a command to the log and returns the state machine's answer
// once it is applied. Errors: NotLeader, Malformed for an empty command, TooLarge
// for one beyond 1 MiB, and Unconfirmed if the outcome is open.
func (k *Keeper) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	if len(command) == 0 {
		return 0, nil, coder.Errorf(coder.Malformed, "empty command")
	}
	if len(command) > maxCommand {
		return 0, nil, coder.Errorf(coder.TooLarge, "command of %d bytes exceeds %d", len(command), maxCommand)
	}
	r := k.ask(ctx, &call{kind: callPropose, data: command}, coder.Unconfirmed)
	return r.index, r.answer, r.err
}

// Confirm returns once everything that was committed when it was called is
// applied here. It fails with NoQuorum.
func (k *Keeper) Confirm(ctx context.Context) (uint64, error) {
	r := k.ask(ctx, &call{kind: callConfirm}, coder.NoQuorum)
	return r.index, r.err
}

// Change adds or removes a node, and returns once the change is committed.
// Errors: NotLeader, Conflict if the change can't be made now, and Unconfirmed.
func (k *Keeper) Change(ctx context.Context, verb replicator.Verb, node string) error {
	return k.ask(ctx, &call{kind: callChange, verb: verb, node: node}, coder.Unconfirmed).err
}

// Retire hands the leadership over before a stop, so that the others need not wait
// for an election timeout. It returns once this keeper does not lead, and takes no
// proposals meanwhile. It fails with NoQuorum when ctx ends.
func (k *Keeper) Retire(ctx context.Context) error {
	return k.ask(ctx, &call{kind: callRetire}, coder.NoQuorum).err
}

// ask hands a call over and waits. late is the code when ctx ends meanwhile.
func (k *Keeper) ask(ctx context.Context, c *call, late coder.Code) result {
	c.done = make(chan result, 1)
	select {
	case k.in <- input{call: c}:
	case <-ctx.Done():
		return result{err: &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Cause: context.Cause(ctx)}}
	case <-k.ctx.Done():
		return result{err: coder.Errorf(coder.NotReady, "keeper has stopped")}
	}
	select {
	case r := <-c.done:
		return r
	case <-ctx.Done():
		return result{err: &coder.Error{Code: late, Run: late.Run(), Cause: context.Cause(ctx)}}
	case <-k.ctx.Done():
		return result{err: coder.Errorf(late, "keeper has stopped")}
	}
}

// inform passes on what became of calls.
func (k *Keeper) inform(act *replicator.Actions) {
	for _, a := range act.Accepted {
		k.pending[a.Index] = &promise{term: a.Term, call: k.calls[a.ID][0]}
		delete(k.calls, a.ID)
	}
	for _, id := range act.Refused {
		k.calls[id][0].end(result{err: k.refusal(k.calls[id][0])})
		delete(k.calls, id)
	}
	for _, r := range act.Reads {
		if r.OK {
			k.reads[r.Index] = append(k.reads[r.Index], k.calls[r.ID]...)
		} else {
			k.endAll(k.calls[r.ID], result{err: coder.Errorf(coder.NoQuorum, "no leader confirmed the read")})
		}
		delete(k.calls, r.ID)
	}
	if act.LeadershipLost {
		k.endAll(k.retiring, result{})
		k.retiring = nil
		for i, p := range k.pending {
			p.call.end(result{err: unconfirmed()})
			delete(k.pending, i)
		}
	}
}

func (k *Keeper) refusal(c *call) error {
	s := k.rep.Status()
	if s.Role == replicator.Leader {
		return coder.Errorf(coder.Conflict, "members can't change now: node %s unknown, or a change or too few live voters in the way", c.node)
	}
	return coder.Errorf(coder.NotLeader, "leader is %q", s.Leader.Node)
}

func (k *Keeper) endAll(calls []*call, r result) {
	for _, c := range calls {
		c.end(r)
	}
}

// answerReads ends the read barriers whose index is applied.
func (k *Keeper) answerReads() {
	for i, calls := range k.reads {
		if i <= k.applied {
			k.endAll(calls, result{index: i})
			delete(k.reads, i)
		}
	}
}

// end answers all that waits when the keeper stops.
func (k *Keeper) end() {
	k.stop()
	for _, p := range k.pending {
		p.call.end(result{err: unconfirmed()})
	}
}

// retire begins the hand-over, if this keeper leads.
func (k *Keeper) retire(c *call) error {
	if k.rep.Status().Role != replicator.Leader {
		c.end(result{})
		return nil
	}
	k.retiring = append(k.retiring, c)
	return k.step(replicator.Event{TransferLeadership: true})
}
