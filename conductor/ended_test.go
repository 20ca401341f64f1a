package conductor

import (
	"context"
	"testing"
)

// A nil *coder.Error must not become an error that is not nil.
func TestEndedWhole(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := (&gang{ctx: ctx}).ended(nil); err != nil {
		t.Fatalf("a whole answer ended with %T", err)
	}
}
