// Package orderer requests fencing tokens from the keepers and sends orders to the
// agents of targets.
package orderer

import (
	"context"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
)

// Orderer sends orders. Call sends a request to the leading keeper and decodes the
// answer into out.
type Orderer struct {
	Call func(ctx context.Context, kind messenger.Kind, v, out any) error
	Pool *pooler.Pooler
}

// IssueFence returns a new fencing token for a target, greater than all issued before.
// It fails if no quorum records the token before ctx ends.
func (o *Orderer) IssueFence(ctx context.Context, target string) (uint64, error) {
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

// Send sends an order to the agent at an address and waits until it is executed.
// Errors returned by the agent carry its code. After a connection error the order may
// have been executed.
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
