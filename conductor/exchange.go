package conductor

import (
	"context"
	"fmt"

	"bramleyshunt/allocator"
	"bramleyshunt/chainer"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
)

// reserveHelpers reserves memory at the helpers and returns a function that releases
// it. giveUp is called if the target has not started the request within the time for
// which the helpers may keep unused memory reserved.
func (x *execution) reserveHelpers(ctx context.Context, a *Attempt, memory []int, giveUp func() bool) (func(), error) {
	var reservations []allocator.Reservation
	a.ReservationIDs = make([]string, len(a.Helpers))
	for i, n := range memory {
		if n > 0 {
			a.ReservationIDs[i] = fmt.Sprintf("%s.%d", a.ID, i)
			reservations = append(reservations, allocator.Reservation{ID: a.ReservationIDs[i], Target: a.Helpers[i], Tokens: n})
		}
	}
	if len(reservations) == 0 {
		return func() {}, nil
	}
	return x.cd.cfg.Allocator.ReserveAll(ctx, reservations, giveUp)
}

// exchange runs an attempt through Config.Exchange if that is set, else through the
// target's agent.
func (x *execution) exchange(ctx context.Context, a *Attempt) (messenger.End, error) {
	if x.cd.cfg.Exchange != nil {
		return messenger.End{Attempt: a.ID}, x.cd.cfg.Exchange(ctx, a)
	}
	return x.cd.dispatch.Do(ctx, x.job(a))
}

func (x *execution) job(a *Attempt) dispatcher.Job {
	return dispatcher.Job{
		Address: a.Target.Address,
		Reserve: messenger.Reserve{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Account: x.r.Account,
			Prompt: x.r.Prompt, Output: x.r.Output, Bytes: len(x.r.Body), Priority: priority(x.r),
			Remaining: a.Remaining, Fingerprint: x.r.Fingerprint, Key: x.r.Key, Batch: x.r.Batch,
		},
		Run: messenger.Run{
			Attempt: a.ID, Incarnation: a.Target.Incarnation, Remaining: a.Remaining,
			Method: x.r.Method, Path: x.r.Path, Headers: x.r.Headers, Body: x.r.Body,
		},
		BeforeRun: func(ctx context.Context) error { return x.beforeRun(ctx, a.Target) },
		OnLoad:    a.ReportLoad,
		OnChunk:   a.Emit,
	}
}

// priority ranks short prompts before long ones of the same configured priority.
func priority(r *chainer.Request) int {
	return r.Priority*messenger.Classes + messenger.Classes - 1 - int(r.Class)
}

// claim records with the keepers that a non-idempotent request starts to run.
func (x *execution) claim(ctx context.Context, target string) error {
	if !x.r.NonIdempotent {
		return nil
	}
	return x.cd.claims.Run(ctx, claimOf(x.r), target)
}
