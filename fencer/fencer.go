// Package fencer decides whether a target may execute an order. Orders carry a
// fencing number that rises with each leader and command; a target executes none
// with a number below one that it has already executed.
//
// An engine that ignores the number is protected by its agent, which asks the
// Fencer first and sends the engine one order at a time. An agent that has
// restarted, or whose lease ended while it was frozen, has no memory of what was
// executed: it refuses every order until it has learned the highest number issued
// from a source that a quorum has just confirmed.
//
// A target without an agent and without a check of its own has no guard, so its
// controller must give each order a deadline and a new leader must wait until the
// old leader's lease and the longest order deadline have passed before its first
// order. Such a target must not be sent orders by several leaders otherwise.
package fencer

import (
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Fencer guards one target. The zero value knows no number and refuses all
// orders. Not safe for concurrent use.
type Fencer struct {
	known    bool
	floor    uint64 // no order below may be executed
	started  bool   // last holds the newest order begun
	finished bool   // answer holds its outcome
	failed   bool   // it may be tried again
	last     messenger.Order
	answer   messenger.Ordered
}

// Learn takes the highest number issued for the target, read from a confirmed source.
func (f *Fencer) Learn(fence uint64) {
	f.known = true
	f.floor = max(f.floor, fence)
}

// Forget refuses orders until the next Learn. Numbers already executed stay refused.
func (f *Fencer) Forget() { f.known = false }

// Highest returns the lowest number that may still be executed.
func (f *Fencer) Highest() uint64 { return f.floor }

// Begin asks to execute an order. It returns true if the caller must execute it
// now and call Finish. False with a nil error means that the order has been
// executed before; the answer is the first one. Errors carry the codes NotReady
// (no confirmed number yet), Fenced, or Busy (the same order is being executed).
func (f *Fencer) Begin(o *messenger.Order) (bool, messenger.Ordered, error) {
	refused := messenger.Ordered{Fence: f.floor}
	if !f.known {
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
	f.started, f.finished, f.failed, f.last = true, false, false, *o
	return true, messenger.Ordered{}, nil
}

// repeat answers a second order with the number of the last one.
func (f *Fencer) repeat(o *messenger.Order) (bool, messenger.Ordered, error) {
	if *o != f.last {
		return false, messenger.Ordered{Code: coder.Fenced, Fence: f.floor},
			coder.Errorf(coder.Fenced, "another order carried %d", o.Fence)
	}
	if f.failed {
		f.failed = false
		return true, messenger.Ordered{}, nil
	}
	if !f.finished {
		return false, messenger.Ordered{Code: coder.Busy, Fence: f.floor},
			coder.Errorf(coder.Busy, "order %d is being executed", o.Fence)
	}
	return false, f.answer, nil
}

// Finish records the outcome of the order begun last. An outcome other than OK
// may be tried again with the same number, as an order states a wanted state.
func (f *Fencer) Finish(o *messenger.Order, c coder.Code) messenger.Ordered {
	answer := messenger.Ordered{Code: c, Fence: f.floor}
	if !f.started || *o != f.last {
		return answer
	}
	f.failed = c != coder.OK
	f.finished, f.answer = !f.failed, answer
	return answer
}

// Stale reports whether a newer order was begun since o, so that o must not go
// to the target any more.
func (f *Fencer) Stale(o *messenger.Order) bool { return o.Fence < f.floor }
