// Package claimer keeps a request that must not be repeated to one run: it
// moves the request's claim through the keepers' log before and after the run.
package claimer

import (
	"context"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// MostAnswer is the largest answer kept with a claim, in bytes.
const MostAnswer = 64 << 10

// Claimer asks the leading keeper. Call is proposer.Proposer's.
type Claimer struct {
	Call func(ctx context.Context, kind messenger.Kind, v, out any) error
}

// Hold claims the request for its owner. It returns the kept answer if the
// request ran already. An error is one of NoQuorum, ClaimHeld, KeyReused,
// AlreadyRan and OutcomeUnknown.
func (c *Claimer) Hold(ctx context.Context, cl messenger.Claim) ([]byte, error) {
	cl.State = messenger.ClaimHeld
	got, err := c.ask(ctx, cl)
	if err != nil {
		return nil, err
	}
	if got.State == messenger.ClaimDone && len(got.Answer) > 0 && got.Code != coder.KeyReused {
		return got.Answer, nil
	}
	return nil, outcome(got, cl)
}

// Run records that the claim's owner is about to start the request at a target.
// Unless it returns nil, the run must not be sent.
func (c *Claimer) Run(ctx context.Context, cl messenger.Claim, target string) error {
	cl.State, cl.Target = messenger.ClaimRun, target
	return c.move(ctx, cl)
}

// Done records that the request ran. The answer is left out if it is too large.
func (c *Claimer) Done(ctx context.Context, cl messenger.Claim, answer []byte) error {
	cl.State = messenger.ClaimDone
	if len(answer) <= MostAnswer {
		cl.Answer = answer
	}
	return c.move(ctx, cl)
}

// Void gives the claim of a request back that did not run and never will.
func (c *Claimer) Void(ctx context.Context, cl messenger.Claim) error {
	cl.State = messenger.ClaimVoid
	return c.move(ctx, cl)
}

func (c *Claimer) move(ctx context.Context, cl messenger.Claim) error {
	got, err := c.ask(ctx, cl)
	if err != nil {
		return err
	}
	return outcome(got, cl)
}

func (c *Claimer) ask(ctx context.Context, cl messenger.Claim) (messenger.Claimed, error) {
	var got messenger.Claimed
	if c.Call == nil {
		return got, coder.Errorf(coder.NoQuorum, "")
	}
	if err := c.Call(ctx, messenger.KindClaim, &cl, &got); err != nil {
		return got, &coder.Error{Code: coder.NoQuorum, Run: coder.NotRun, Cause: err}
	}
	return got, nil
}

// outcome returns nil only if the wanted state now stands for the owner.
func outcome(got messenger.Claimed, want messenger.Claim) error {
	if got.Code != coder.OK {
		return coder.Errorf(got.Code, "")
	}
	if got.Owner != want.Owner || got.State != want.State {
		return coder.Errorf(coder.ClaimHeld, "")
	}
	return nil
}
