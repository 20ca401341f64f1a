// Package ticketer sets memory aside at several targets for one request, all or
// nothing, keeps it for as long as the request runs, and gives it back.
package ticketer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

const (
	// hold is how long a target keeps memory without a renewal. If this process ends,
	// or an order that was given up is carried out late, the memory comes back then.
	hold = 3 * time.Second
	// renewEvery leaves two more tries before the memory is lost.
	renewEvery = hold / 3
	// orderLimit bounds one order.
	orderLimit = 700 * time.Millisecond
	// releasePause is the time between two tries to give memory back.
	releasePause = 200 * time.Millisecond
)

// Ticket is memory at one target.
type Ticket struct {
	ID     string // unique; the target knows it by this
	Target messenger.Target
	Tokens int
}

// Ticketer sets memory aside. Reserve renews a ticket that the target has.
type Ticketer struct {
	Reserve func(ctx context.Context, t Ticket, hold time.Duration) error
	Release func(ctx context.Context, t Ticket) error
	Log     *logrus.Entry

	wg conc.WaitGroup
}

// Wait returns when all memory has been given back or can't be.
func (k *Ticketer) Wait() { k.wg.Wait() }

// Take sets all tickets aside, or none and returns code MemoryFull. The returned
// function gives them back, beside its caller.
func (k *Ticketer) Take(ctx context.Context, tickets []Ticket) (func(), error) {
	if err := k.each(ctx, tickets, func(ctx context.Context, t Ticket) error { return k.Reserve(ctx, t, hold) }); err != nil {
		k.free(tickets)
		k.Log.WithError(err).WithField("tickets", len(tickets)).Info("memory was not set aside")
		return nil, &coder.Error{Code: coder.MemoryFull, Run: coder.NotRun, Cause: err}
	}
	k.Log.WithFields(logrus.Fields{"tickets": len(tickets), "first": tickets[0].ID}).Info("memory set aside")
	kept, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	k.wg.Go(func() {
		defer close(ended)
		k.renew(kept, tickets)
	})
	return sync.OnceFunc(func() {
		stop()
		k.wg.Go(func() {
			<-ended // a renewal on its way would set the memory aside again
			k.release(tickets)
		})
	}), nil
}

// free gives tickets back beside the caller.
func (k *Ticketer) free(tickets []Ticket) { k.wg.Go(func() { k.release(tickets) }) }

func (k *Ticketer) each(ctx context.Context, tickets []Ticket, f func(context.Context, Ticket) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	errs := make([]error, len(tickets))
	var wg conc.WaitGroup
	for i, t := range tickets {
		wg.Go(func() { errs[i] = f(ctx, t) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("target %s: %w", tickets[i].Target.ID, err)
		}
	}
	return nil
}

// renew keeps the tickets until ctx ends. One that can't be renewed is left to the
// request, which its target then ends.
func (k *Ticketer) renew(ctx context.Context, tickets []Ticket) {
	for sleeper.Sleep(ctx, renewEvery) == nil {
		err := k.each(context.WithoutCancel(ctx), tickets, func(ctx context.Context, t Ticket) error { return k.Reserve(ctx, t, hold) })
		if err != nil {
			k.Log.WithError(err).WithField("first", tickets[0].ID).Warn("memory was not kept")
		}
	}
}

// release gives tickets back. It tries for as long as a target may keep them.
func (k *Ticketer) release(tickets []Ticket) {
	var wg conc.WaitGroup
	for _, t := range tickets {
		wg.Go(func() {
			var err error
			for end := time.Now().Add(hold); time.Now().Before(end); time.Sleep(releasePause) {
				ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
				err = k.Release(ctx, t)
				cancel()
				if err == nil {
					return
				}
			}
			k.Log.WithError(err).WithField("ticket", t.ID).Warn("memory was not given back; the target's hold ends it")
		})
	}
	wg.Wait()
}
