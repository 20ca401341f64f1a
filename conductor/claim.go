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
	// claimSettleTimeout bounds background calls to the keepers, such as settling a
	// claim after its request has ended.
	claimSettleTimeout = 5 * time.Second
	// answerRecordTimeout bounds the wait for the keepers to record an answer before
	// its end is written.
	answerRecordTimeout = time.Second
	// claimRenewInterval is the time between renewals of a claim whose request is
	// queued. The keepers let a claim lapse that is not renewed for a minute.
	claimRenewInterval = 15 * time.Second
)

// claim ensures that a non-idempotent request runs at most once, and answers a resend
// with the recorded answer. Idempotent requests pass without contacting a keeper.
func (cd *Conductor) claim(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if !r.NonIdempotent || r.SkipClaim {
			return next(ctx, r)
		}
		if r.Key == "" {
			return coder.Errorf(coder.KeyRequired, "")
		}
		cl := claimOf(r)
		answer, err := cd.claims.Hold(ctx, cl)
		if err != nil {
			return cd.claimError(cl, err)
		}
		if answer != nil {
			cd.meter.count("replayed")
			return r.Answer.Replay(answer)
		}
		stop := cd.renewClaim(ctx, cl)
		rec := cd.recordAnswer(ctx, r, cl)
		err = next(ctx, r)
		stop()
		if !rec.recorded {
			cd.settleClaim(cl, rec.encoded, err)
		}
		return err
	}
}

// renewClaim renews a claim periodically until the returned function is called or the
// request has begun to run.
func (cd *Conductor) renewClaim(ctx context.Context, cl messenger.Claim) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	cd.wg.Go(func() {
		for sleeper.Sleep(ctx, claimRenewInterval) == nil {
			if _, err := cd.claims.Hold(ctx, cl); coder.Of(err) != nil && coder.Of(err).Code != coder.NoQuorum {
				return
			}
		}
	})
	return stop
}

// recordedAnswer is the answer of a claimed request.
type recordedAnswer struct {
	encoded  []byte // as returned by chainer.Answer.Encode
	recorded bool   // the keepers have it
}

// recordAnswer has the answer recorded before its end is written, so that a caller
// that has received the whole answer and resends the request is served from the
// record. Without a quorum the caller does not wait for it.
func (cd *Conductor) recordAnswer(ctx context.Context, r *chainer.Request, cl messenger.Claim) *recordedAnswer {
	rec := &recordedAnswer{}
	end := r.Answer.End
	r.Answer.End = func(m messenger.End) error {
		ctx, stop := context.WithTimeout(ctx, answerRecordTimeout)
		defer stop()
		rec.encoded = r.Answer.Encode(m)
		rec.recorded = cd.claims.Done(ctx, cl, rec.encoded) == nil
		return end(m)
	}
	return rec
}

func claimOf(r *chainer.Request) messenger.Claim {
	return messenger.Claim{
		Account: r.Account, Service: r.Service, Key: r.Key, Digest: r.Fingerprint, Owner: r.ID,
	}
}

// claimError returns the error for a request that could not be claimed. Without a
// quorum the claim may have been recorded although no answer came, so it is voided.
func (cd *Conductor) claimError(cl messenger.Claim, err error) error {
	c := coder.Of(err)
	if c.Code == coder.NoQuorum {
		cd.retryInBackground(func(ctx context.Context) error { return cd.claims.Void(ctx, cl) })
	}
	if c.Code == coder.NoQuorum || c.Code == coder.ClaimHeld {
		return withRetryAfter(c, time.Second)
	}
	return c
}

// settleClaim records the outcome of a claimed request. If the outcome is unknown, the
// claim is left as it is, so that no resend runs.
func (cd *Conductor) settleClaim(cl messenger.Claim, answer []byte, err error) {
	switch {
	case err == nil:
		cd.retryInBackground(func(ctx context.Context) error { return cd.claims.Done(ctx, cl, answer) })
	case coder.Of(err).Run == coder.NotRun:
		cd.retryInBackground(func(ctx context.Context) error { return cd.claims.Void(ctx, cl) })
	case coder.Of(err).Run == coder.Ran:
		cd.retryInBackground(func(ctx context.Context) error { return cd.claims.Done(ctx, cl, nil) })
	}
}

// retryInBackground calls f until it succeeds, claimSettleTimeout has passed or the
// Conductor stops. The caller of the request does not wait for it.
func (cd *Conductor) retryInBackground(f func(context.Context) error) {
	cd.wg.Go(func() {
		ctx, stop := context.WithTimeout(cd.ctx, claimSettleTimeout)
		defer stop()
		for f(ctx) != nil && sleeper.Sleep(ctx, pollInterval) == nil {
		}
	})
}
