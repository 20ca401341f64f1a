// Package fencer decides whether a target may execute an order. Orders carry a
// fencing token that rises with each leader and command; a target executes no order
// whose token is below one that it has already executed.
//
// An engine that ignores the token is protected by its agent, which consults the
// Fencer first and sends the engine one order at a time. An agent that has
// restarted, or whose lease ended while it was frozen, does not know what was
// executed: it refuses every order until it has received the highest token issued
// from a source that a quorum has just confirmed.
//
// A target that has no agent and does not check tokens is unprotected. Its controller
// must give each order a deadline, and a new leader must wait until the old leader's
// lease and the longest order deadline have passed before it sends its first order.
// Otherwise only one leader may ever send orders to such a target.
package fencer

import (
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Fencer protects one target from outdated and repeated orders. The zero value has no
// confirmed token and refuses all orders. It is not safe for concurrent use.
type Fencer struct {
	confirmed bool
	floor     uint64 // lowest token that may be executed
	started   bool   // last holds the newest order that began
	finished  bool   // answer holds the outcome of last
	retryable bool   // last failed and may be executed again
	last      messenger.Order
	answer    messenger.Ordered
}

// Learn records the highest token issued for the target. The caller must have it from
// a source that a quorum has confirmed.
func (f *Fencer) Learn(fence uint64) {
	f.confirmed = true
	f.floor = max(f.floor, fence)
}

// Invalidate refuses all orders until the next Learn. Tokens below the highest one
// executed stay refused after that.
func (f *Fencer) Invalidate() { f.confirmed = false }

// Floor returns the lowest token that may still be executed.
func (f *Fencer) Floor() uint64 { return f.floor }

// Begin decides whether an order is executed. It returns true if the caller must
// execute it now and call Finish. False with a nil error means that the order has
// been executed before; the answer is that of the first execution. Errors carry the
// codes NotReady (no confirmed token yet), Fenced, or Busy (the same order is being
// executed).
func (f *Fencer) Begin(o *messenger.Order) (bool, messenger.Ordered, error) {
	refused := messenger.Ordered{Fence: f.floor}
	if !f.confirmed {
		refused.Code = coder.NotReady
		return false, refused, coder.Errorf(coder.NotReady, "no confirmed fencing number yet")
	}
	if o.Fence < f.floor {
		refused.Code = coder.Fenced
		return false, refused, coder.Errorf(coder.Fenced, "order %d, highest %d", o.Fence, f.floor)
	}
	if f.started && o.Fence == f.last.Fence {
		return f.repeat(o)
	}
	f.floor = o.Fence
	f.started, f.finished, f.retryable, f.last = true, false, false, *o
	return true, messenger.Ordered{}, nil
}

// repeat answers an order that has the same token as the last one.
func (f *Fencer) repeat(o *messenger.Order) (bool, messenger.Ordered, error) {
	if *o != f.last {
		return false, messenger.Ordered{Code: coder.Fenced, Fence: f.floor},
			coder.Errorf(coder.Fenced, "another order carried %d", o.Fence)
	}
	if f.retryable {
		f.retryable = false
		return true, messenger.Ordered{}, nil
	}
	if !f.finished {
		return false, messenger.Ordered{Code: coder.Busy, Fence: f.floor},
			coder.Errorf(coder.Busy, "order %d is being executed", o.Fence)
	}
	return false, f.answer, nil
}

// Finish records the outcome of the order that began last. An order that failed may be
// executed again with the same token, because orders state the wanted state and are
// idempotent.
func (f *Fencer) Finish(o *messenger.Order, c coder.Code) messenger.Ordered {
	answer := messenger.Ordered{Code: c, Fence: f.floor}
	if !f.started || *o != f.last {
		return answer
	}
	f.retryable = c != coder.OK
	f.finished, f.answer = !f.retryable, answer
	return answer
}

// Stale reports whether a newer order began after o, so that o must no longer be sent
// to the target.
func (f *Fencer) Stale(o *messenger.Order) bool { return o.Fence < f.floor }
