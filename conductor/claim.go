package conductor

import (
	"context"
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// claimLimit bounds the settling of a claim after its request has ended.
	claimLimit = 5 * time.Second
	// recordLimit bounds the wait for the record of an answer before it is ended.
	recordLimit = time.Second
	// claimRenewal is the time between renewals while a request is queued. The
	// keepers let a claim lapse that is not renewed for a minute.
	claimRenewal = 15 * time.Second
)

// claim keeps a request that is not idempotent to one run, and answers a resend
// with what was kept. Idempotent requests pass without a keeper.
func (cd *Conductor) claim(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if !r.Once || r.Single {
			return next(ctx, r)
		}
		if r.Key == "" {
			return coder.Errorf(coder.KeyRequired, "")
		}
		cl := claimOf(r)
		answer, err := cd.claims.Hold(ctx, cl)
		if err != nil {
			return cd.unclaimed(cl, err)
		}
		if answer != nil {
			cd.meter.count("replayed")
			return r.Answer.Reply(answer)
		}
		stop := cd.renew(ctx, cl)
		kept := cd.record(ctx, r, cl)
		err = next(ctx, r)
		stop()
		if !kept.recorded {
			cd.settle(cl, kept.answer, err)
		}
		return err
	}
}

// renew keeps a claim alive until the returned function is called or its run
// has begun.
func (cd *Conductor) renew(ctx context.Context, cl messenger.Claim) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	cd.wg.Go(func() {
		for sleeper.Sleep(ctx, claimRenewal) == nil {
			if _, err := cd.claims.Hold(ctx, cl); coder.Of(err) != nil && coder.Of(err).Code != coder.NoQuorum {
				return
			}
		}
	})
	return stop
}

// record is the answer of a claimed request.
type record struct {
	answer   []byte // in its kept form
	recorded bool   // at the keepers
}

// record has the answer recorded before its end is written, so that a resend by a
// caller that has it all finds it. Without a quorum the caller doesn't wait.
func (cd *Conductor) record(ctx context.Context, r *chainer.Request, cl messenger.Claim) *record {
	kept := &record{}
	end := r.Answer.End
	r.Answer.End = func(m messenger.End) error {
		ctx, stop := context.WithTimeout(ctx, recordLimit)
		defer stop()
		kept.answer = r.Answer.Kept(m)
		kept.recorded = cd.claims.Done(ctx, cl, kept.answer) == nil
		return end(m)
	}
	return kept
}

func claimOf(r *chainer.Request) messenger.Claim {
	return messenger.Claim{
		Account: r.Account, Service: r.Service, Key: r.Key, Digest: r.Fingerprint, Owner: r.ID,
	}
}

// unclaimed gives back a claim that may have been recorded though no answer came.
func (cd *Conductor) unclaimed(cl messenger.Claim, err error) error {
	c := coder.Of(err)
	if c.Code == coder.NoQuorum {
		cd.later(func(ctx context.Context) error { return cd.claims.Void(ctx, cl) })
	}
	if c.Code == coder.NoQuorum || c.Code == coder.ClaimHeld {
		return Retry(c, time.Second)
	}
	return c
}

// settle records the outcome. An unknown one leaves the claim as it is, so that
// no resend runs.
func (cd *Conductor) settle(cl messenger.Claim, answer []byte, err error) {
	switch {
	case err == nil:
		cd.later(func(ctx context.Context) error { return cd.claims.Done(ctx, cl, answer) })
	case coder.Of(err).Run == coder.NotRun:
		cd.later(func(ctx context.Context) error { return cd.claims.Void(ctx, cl) })
	case coder.Of(err).Run == coder.Ran:
		cd.later(func(ctx context.Context) error { return cd.claims.Done(ctx, cl, nil) })
	}
}

// later runs f until it succeeds, its time is up or the Conductor ends, after the
// caller's answer.
func (cd *Conductor) later(f func(context.Context) error) {
	cd.wg.Go(func() {
		ctx, stop := context.WithTimeout(cd.ctx, claimLimit)
		defer stop()
		for f(ctx) != nil && sleeper.Sleep(ctx, tick) == nil {
		}
	})
}
