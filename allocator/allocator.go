// Package allocator reserves memory at several targets for one request, all or nothing,
// renews the reservations while the request runs, and releases them afterwards.
package allocator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// holdTTL is how long a target keeps memory reserved without a renewal. When it
	// expires, the target frees memory whose owner has exited, or that was reserved by a
	// call whose caller no longer waits for the answer.
	holdTTL = 3 * time.Second
	// renewInterval leaves time for two more attempts before the reservation expires.
	renewInterval = holdTTL / 3
	// callTimeout bounds one Reserve or Release call.
	callTimeout = 700 * time.Millisecond
	// idleReserve is the part of Allocator.MaxIdle that is left for checking whether
	// reservations are in use, and for releasing them.
	idleReserve = 2500 * time.Millisecond
	// releaseRetryDelay is the delay between two attempts to release a reservation.
	releaseRetryDelay = 200 * time.Millisecond
)

// Reservation is memory reserved at one target.
type Reservation struct {
	ID     string // unique; identifies the reservation at the target
	Target messenger.Target
	Tokens int
}

// Allocator reserves and releases memory. Its Reserve function renews the reservation
// if the target already holds it.
type Allocator struct {
	Reserve func(ctx context.Context, r Reservation, hold time.Duration) error
	Release func(ctx context.Context, r Reservation) error
	Idle    func(ctx context.Context, r Reservation) (bool, error) // reports whether no request has used the reservation; required with MaxIdle
	MaxIdle time.Duration                                          // how long memory may be reserved that no request uses; zero for no bound
	Log     *logrus.Entry

	wg conc.WaitGroup
}

// Wait blocks until all releases have succeeded or been abandoned.
func (a *Allocator) Wait() { a.wg.Wait() }

// ReserveAll makes all reservations, or none and returns code MemoryFull. It renews
// them until the returned function is called, which releases them in the background. If
// one of them is still idle shortly before MaxIdle, it calls giveUp, which ends the request
// that waits to use them, or returns false if that has started meanwhile.
func (a *Allocator) ReserveAll(ctx context.Context, reservations []Reservation, giveUp func() bool) (func(), error) {
	if err := a.forEach(ctx, reservations, func(ctx context.Context, r Reservation) error { return a.Reserve(ctx, r, holdTTL) }); err != nil {
		a.releaseAsync(reservations)
		a.Log.WithError(err).WithField("tickets", len(reservations)).Info("memory reservation failed")
		return nil, &coder.Error{Code: coder.MemoryFull, Run: coder.NotRun, Cause: err}
	}
	a.Log.WithFields(logrus.Fields{"tickets": len(reservations), "first": reservations[0].ID}).Info("memory reserved")
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	a.wg.Go(func() {
		defer close(ended)
		a.renew(renewCtx, reservations, giveUp)
	})
	return sync.OnceFunc(func() {
		stop()
		a.wg.Go(func() {
			<-ended // a renewal in flight would reserve the memory again
			a.release(reservations)
		})
	}), nil
}

// releaseAsync releases reservations in the background.
func (a *Allocator) releaseAsync(reservations []Reservation) {
	a.wg.Go(func() { a.release(reservations) })
}

func (a *Allocator) forEach(ctx context.Context, reservations []Reservation, f func(context.Context, Reservation) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	errs := make([]error, len(reservations))
	var wg conc.WaitGroup
	for i, r := range reservations {
		wg.Go(func() { errs[i] = f(ctx, r) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("target %s: %w", reservations[i].Target.ID, err)
		}
	}
	return nil
}

// renew renews the reservations until ctx ends or one of them has been idle for too long.
// If one cannot be renewed, its target ends the request.
func (a *Allocator) renew(ctx context.Context, reservations []Reservation, giveUp func() bool) {
	reserved, inUse := time.Now(), a.MaxIdle == 0
	for sleeper.Sleep(ctx, renewInterval) == nil {
		err := a.forEach(context.WithoutCancel(ctx), reservations, func(ctx context.Context, r Reservation) error { return a.Reserve(ctx, r, holdTTL) })
		if err != nil {
			a.Log.WithError(err).WithField("first", reservations[0].ID).Warn("memory reservation was not renewed")
		}
		if inUse || time.Since(reserved) < a.MaxIdle-idleReserve {
			continue
		}
		idle, err := a.anyIdle(ctx, reservations)
		if idle && giveUp() {
			a.Log.WithFields(logrus.Fields{"first": reservations[0].ID, "after": time.Since(reserved).Milliseconds()}).Info("memory reserved in vain: the request has not started")
			return
		}
		inUse = idle || err == nil // idle: the request has started, whatever the target reports
	}
}

// anyIdle reports whether any reservation is idle. It returns an error if that could not
// be determined for all of them.
func (a *Allocator) anyIdle(ctx context.Context, reservations []Reservation) (bool, error) {
	var idle atomic.Bool
	err := a.forEach(ctx, reservations, func(ctx context.Context, r Reservation) error {
		unused, err := a.Idle(ctx, r)
		if unused {
			idle.Store(true)
		}
		return err
	})
	if err != nil {
		a.Log.WithError(err).WithField("first", reservations[0].ID).Info("use of a memory reservation is unknown")
	}
	return idle.Load(), err
}

// release releases reservations. It retries for as long as a target may hold them.
func (a *Allocator) release(reservations []Reservation) {
	var wg conc.WaitGroup
	for _, r := range reservations {
		wg.Go(func() {
			var err error
			for end := time.Now().Add(holdTTL); time.Now().Before(end); time.Sleep(releaseRetryDelay) {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				err = a.Release(ctx, r)
				cancel()
				if err == nil {
					return
				}
			}
			a.Log.WithError(err).WithField("ticket", r.ID).Warn("memory reservation was not released; it expires at the target")
		})
	}
	wg.Wait()
}
