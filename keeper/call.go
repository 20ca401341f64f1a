package keeper

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/replicator"
)

// maxCommandBytes bounds a command. A command travels in one frame, and heartbeats
// queue behind it, so a much larger one would cost the leader its lease.
const maxCommandBytes = 1 << 20

type callKind uint8

const (
	callPropose callKind = iota
	callConfirm
	callChange
	callTransfer
)

// call is a request from this process to the control goroutine.
type call struct {
	kind    callKind
	command []byte
	verb    replicator.Verb
	node    string
	done    chan result // buffered, so that one result can be sent without a receiver
}

type result struct {
	index  uint64
	answer []byte
	err    error
}

// pendingCall is a proposal or membership change whose entry is in the log and not
// yet applied.
type pendingCall struct {
	term uint64
	call *call
}

func (c *call) finish(r result) {
	select {
	case c.done <- r:
	default:
	}
}

func errUnconfirmed() error {
	return coder.Errorf(coder.Unconfirmed, "leadership ended before the entry was committed")
}

// Propose appends a command to the log, waits until it is applied, and returns its
// index and the state machine's answer. It fails with Malformed if the command is
// empty, with TooLarge if it exceeds 1 MiB, with NotLeader, and with Unconfirmed if
// the outcome is unknown.
func (k *Keeper) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	if len(command) == 0 {
		return 0, nil, coder.Errorf(coder.Malformed, "empty command")
	}
	if len(command) > maxCommandBytes {
		return 0, nil, coder.Errorf(coder.TooLarge, "command of %d bytes exceeds %d", len(command), maxCommandBytes)
	}
	r := k.do(ctx, &call{kind: callPropose, command: command}, coder.Unconfirmed)
	return r.index, r.answer, r.err
}

// Confirm waits until everything that was committed when it was called is applied
// on this keeper, and returns the index up to which that holds. It fails with NoQuorum.
func (k *Keeper) Confirm(ctx context.Context) (uint64, error) {
	r := k.do(ctx, &call{kind: callConfirm}, coder.NoQuorum)
	return r.index, r.err
}

// ChangeMembers adds or removes a node and waits until the change is committed. It
// fails with NotLeader, with Conflict if the change can't be made now, and with
// Unconfirmed if the outcome is unknown.
func (k *Keeper) ChangeMembers(ctx context.Context, verb replicator.Verb, node string) error {
	return k.do(ctx, &call{kind: callChange, verb: verb, node: node}, coder.Unconfirmed).err
}

// TransferLeadership hands the leadership over before a stop, so that the other
// keepers need not wait for an election timeout. It returns once this keeper does not
// lead; meanwhile the keeper refuses proposals. It fails with NoQuorum if ctx ends first.
func (k *Keeper) TransferLeadership(ctx context.Context) error {
	return k.do(ctx, &call{kind: callTransfer}, coder.NoQuorum).err
}

// do passes a call to the control goroutine and waits for its result. If ctx ends or
// the keeper stops after the call was passed on, it fails with code interrupted.
func (k *Keeper) do(ctx context.Context, c *call, interrupted coder.Code) result {
	c.done = make(chan result, 1)
	select {
	case k.inputs <- input{call: c}:
	case <-ctx.Done():
		return result{err: &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Cause: context.Cause(ctx)}}
	case <-k.ctx.Done():
		return result{err: coder.Errorf(coder.NotReady, "keeper has stopped")}
	}
	select {
	case r := <-c.done:
		return r
	case <-ctx.Done():
		return result{err: &coder.Error{Code: interrupted, Run: interrupted.Run(), Cause: context.Cause(ctx)}}
	case <-k.ctx.Done():
		return result{err: coder.Errorf(interrupted, "keeper has stopped")}
	}
}

// resolveCalls handles the decisions of the replica on calls. It fails the refused ones
// and keeps the accepted ones until their entry or read index is applied; when the
// leadership is lost, it finishes transfers and fails the calls whose entry is pending.
func (k *Keeper) resolveCalls(act *replicator.Actions) {
	for _, a := range act.Accepted {
		k.pending[a.Index] = &pendingCall{term: a.Term, call: k.calls[a.ID][0]}
		delete(k.calls, a.ID)
	}
	for _, id := range act.Refused {
		k.calls[id][0].finish(result{err: k.refusal(k.calls[id][0])})
		delete(k.calls, id)
	}
	for _, r := range act.Reads {
		if r.OK {
			k.reads[r.Index] = append(k.reads[r.Index], k.calls[r.ID]...)
		} else {
			k.finishAll(k.calls[r.ID], result{err: coder.Errorf(coder.NoQuorum, "no leader confirmed the read")})
		}
		delete(k.calls, r.ID)
	}
	if act.LeadershipLost {
		k.finishAll(k.transfers, result{})
		k.transfers = nil
		for i, p := range k.pending {
			p.call.finish(result{err: errUnconfirmed()})
			delete(k.pending, i)
		}
	}
}

func (k *Keeper) refusal(c *call) error {
	s := k.replica.Status()
	if s.Role == replicator.Leader {
		return coder.Errorf(coder.Conflict, "members can't change now: node %s unknown, or a change or too few live voters in the way", c.node)
	}
	return coder.Errorf(coder.NotLeader, "leader is %q", s.Leader.Node)
}

func (k *Keeper) finishAll(calls []*call, r result) {
	for _, c := range calls {
		c.finish(r)
	}
}

// finishReads answers the read barriers whose index is applied.
func (k *Keeper) finishReads() {
	for i, calls := range k.reads {
		if i <= k.applied {
			k.finishAll(calls, result{index: i})
			delete(k.reads, i)
		}
	}
}

// shutDown fails the pending calls when the control goroutine ends.
func (k *Keeper) shutDown() {
	k.stop()
	for _, p := range k.pending {
		p.call.finish(result{err: errUnconfirmed()})
	}
}

// transferLeadership starts a transfer if this keeper leads, and finishes c at once
// if it doesn't.
func (k *Keeper) transferLeadership(c *call) error {
	if k.replica.Status().Role != replicator.Leader {
		c.finish(result{})
		return nil
	}
	k.transfers = append(k.transfers, c)
	return k.step(replicator.Event{TransferLeadership: true})
}
