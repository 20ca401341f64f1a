package publisher

import (
	"context"
	"sync"
	"time"
)

// confirmer runs confirmations by a quorum in rounds that callers share. A caller
// always gets the outcome of a round that began after its request.
type confirmer struct {
	wake chan struct{}

	mu      sync.Mutex
	next    *round // the round that begins next
	ok      bool   // outcome of the last round
	ended   uint64 // number of rounds that ended
	started uint64 // number of rounds that began
}

// round is one confirmation. The field ok is valid once done is closed.
type round struct {
	done chan struct{}
	ok   bool
}

func (c *confirmer) init() {
	c.wake = make(chan struct{}, 1)
	c.next = &round{done: make(chan struct{})}
}

// lastRound returns the outcome and the number of the last round that ended. The
// number is zero before the first.
func (c *confirmer) lastRound() (bool, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok, c.ended
}

// nextRoundNumber returns the number of the first round that begins after the call.
func (c *confirmer) nextRoundNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started + 1
}

// request lets the next round begin without waiting for the interval to pass.
func (c *confirmer) request() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wait returns the outcome of a round that begins after the call. It reports false if
// ctx ends first.
func (c *confirmer) wait(ctx context.Context) bool {
	c.mu.Lock()
	r := c.next
	c.mu.Unlock()
	c.request()
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// run begins a round on each request and at least once per interval, and calls onRound
// after each. Rounds begin at least minConfirmInterval or the interval apart, whichever
// is shorter, except that the next one follows at once when the outcome changes: after a
// restart of all keepers, watchers have waited for the first quorum.
func (c *confirmer) run(ctx context.Context, interval time.Duration, confirm func(context.Context) (uint64, error), onRound func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		pause := time.NewTimer(min(minConfirmInterval, interval))
		before, _ := c.lastRound()
		c.runRound(ctx, confirm)
		onRound()
		if after, _ := c.lastRound(); after == before {
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
		}
		pause.Stop()
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-t.C:
		}
	}
}

func (c *confirmer) runRound(ctx context.Context, confirm func(context.Context) (uint64, error)) {
	c.mu.Lock()
	r := c.next
	c.next = &round{done: make(chan struct{})}
	c.started++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := confirm(ctx)
	r.ok = err == nil
	c.mu.Lock()
	c.ok = r.ok
	c.ended++
	c.mu.Unlock()
	close(r.done)
}
