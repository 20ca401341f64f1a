// Package orderer has the keepers issue fencing numbers and sends orders to the
// agents of targets.
package orderer

import (
	"context"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
)

// Orderer issues and sends orders. Call asks the leading keeper.
type Orderer struct {
	Call func(ctx context.Context, kind messenger.Kind, v, out any) error
	Pool *pooler.Pooler
}

// Fence returns a new fencing number for a target, above all issued before. It
// fails if no quorum records it in the context's time.
func (o *Orderer) Fence(ctx context.Context, target string) (uint64, error) {
	c := &applier.Command{Verb: applier.VerbFence, Target: target}
	var out messenger.Proposed
	if err := o.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out); err != nil {
		return 0, err
	}
	answer, err := applier.DecodeAnswer(out.Data)
	if err != nil {
		return 0, err
	}
	return answer.Fence, answer.Err()
}

// Send has the agent at an address execute an order. Errors carry the agent's
// code; after one of the connection the order may have been executed.
func (o *Orderer) Send(ctx context.Context, addr string, m messenger.Order) error {
	conn, err := o.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	var done messenger.Ordered
	if err := conn.Call(ctx, messenger.KindOrder, &m, &done); err != nil {
		return err
	}
	if done.Code != coder.OK {
		return coder.Errorf(done.Code, "target %q", m.Target)
	}
	return nil
}
