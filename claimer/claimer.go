// Package claimer ensures that a request with an idempotency key runs at most once. It
// records each state of the request's claim in the replicated log of the keepers
// before and after the run.
package claimer

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// MaxAnswerBytes is the size of the largest answer that is stored with a claim.
const MaxAnswerBytes = 64 << 10

// Claimer proposes claims to the leading keeper. Call sends a message to the leader, as
// proposer.Proposer.Call does; without it every claim fails with code NoQuorum.
type Claimer struct {
	Call func(ctx context.Context, kind messenger.Kind, v, out any) error
}

// Hold claims the request for its owner. If the request has already run, it returns
// the stored answer. Errors carry one of the codes NoQuorum, ClaimHeld, KeyReused,
// AlreadyRan and OutcomeUnknown.
func (c *Claimer) Hold(ctx context.Context, cl messenger.Claim) ([]byte, error) {
	cl.State = messenger.ClaimHeld
	got, err := c.propose(ctx, cl)
	if err != nil {
		return nil, err
	}
	if got.State == messenger.ClaimDone && len(got.Answer) > 0 && got.Code != coder.KeyReused {
		return got.Answer, nil
	}
	return nil, checkOutcome(got, cl)
}

// Run records that the owner of the claim is about to start the request at a target.
// The request must not be sent unless Run returns nil.
func (c *Claimer) Run(ctx context.Context, cl messenger.Claim, target string) error {
	cl.State, cl.Target = messenger.ClaimRun, target
	return c.transition(ctx, cl)
}

// Done records that the request has run. The answer is stored unless it exceeds
// MaxAnswerBytes.
func (c *Claimer) Done(ctx context.Context, cl messenger.Claim, answer []byte) error {
	cl.State = messenger.ClaimDone
	if len(answer) <= MaxAnswerBytes {
		cl.Answer = answer
	}
	return c.transition(ctx, cl)
}

// Void releases the claim of a request that did not run and will not run.
func (c *Claimer) Void(ctx context.Context, cl messenger.Claim) error {
	cl.State = messenger.ClaimVoid
	return c.transition(ctx, cl)
}

func (c *Claimer) transition(ctx context.Context, cl messenger.Claim) error {
	got, err := c.propose(ctx, cl)
	if err != nil {
		return err
	}
	return checkOutcome(got, cl)
}

func (c *Claimer) propose(ctx context.Context, cl messenger.Claim) (messenger.Claimed, error) {
	var got messenger.Claimed
	if c.Call == nil {
		return got, coder.Errorf(coder.NoQuorum, "")
	}
	if err := c.Call(ctx, messenger.KindClaim, &cl, &got); err != nil {
		return got, &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Cause: err}
	}
	return got, nil
}

// checkOutcome returns nil only if the claim is in the wanted state and belongs to the
// owner that asked for it.
func checkOutcome(got messenger.Claimed, want messenger.Claim) error {
	if got.Code != coder.OK {
		return coder.Errorf(got.Code, "")
	}
	if got.Owner != want.Owner || got.State != want.State {
		return coder.Errorf(coder.ClaimHeld, "")
	}
	return nil
}
