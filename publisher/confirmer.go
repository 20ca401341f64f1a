package publisher

import (
	"context"
	"sync"
	"time"

	"bramleyshunt/sleeper"
)

// confirmer shares confirmations by a quorum between all who wait for one. A
// waiter gets the outcome of a confirmation that began after it asked.
type confirmer struct {
	want chan struct{}

	mu     sync.Mutex
	next   *round
	ok     bool   // outcome of the last round
	number uint64 // of rounds ended
	begun  uint64 // number of rounds begun
}

// round is one confirmation.
type round struct {
	done chan struct{}
	ok   bool
}

func (c *confirmer) init() {
	c.want = make(chan struct{}, 1)
	c.next = &round{done: make(chan struct{})}
}

// last returns the outcome and the number of the last round, zero before the first.
func (c *confirmer) last() (bool, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok, c.number
}

// coming returns the number of the first round that begins after the call.
func (c *confirmer) coming() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun + 1
}

// ask has a round begin as soon as may be.
func (c *confirmer) ask() {
	select {
	case c.want <- struct{}{}:
	default:
	}
}

// wait returns the outcome of a round that begins after the call, false if ctx
// ends first.
func (c *confirmer) wait(ctx context.Context) bool {
	c.mu.Lock()
	r := c.next
	c.mu.Unlock()
	c.ask()
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// run begins a round when one is wanted or every so often, and calls told after each.
func (c *confirmer) run(ctx context.Context, every time.Duration, confirm func(context.Context) (uint64, error), told func()) {
	t := time.NewTicker(every)
	defer t.Stop()
	for ctx.Err() == nil {
		c.once(ctx, confirm)
		told()
		_ = sleeper.Sleep(ctx, min(confirmGap, every))
		select {
		case <-ctx.Done():
		case <-c.want:
		case <-t.C:
		}
	}
}

func (c *confirmer) once(ctx context.Context, confirm func(context.Context) (uint64, error)) {
	c.mu.Lock()
	r := c.next
	c.next = &round{done: make(chan struct{})}
	c.begun++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	_, err := confirm(ctx)
	r.ok = err == nil
	c.mu.Lock()
	c.ok = r.ok
	c.number++
	c.mu.Unlock()
	close(r.done)
}
