// Package sleeper waits for a time or for the end of a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the context's error at once when that ends
// first, also for a d that is not positive.
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
