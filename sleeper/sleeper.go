// Package sleeper provides a sleep that ends with a context and a clock that advances
// while the machine is suspended.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and then returns the error of ctx. If d is not
// positive, it returns the error of ctx, if any, without waiting.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
