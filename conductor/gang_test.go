package conductor

import (
	"context"
	"testing"
)

// Guards against a nil *coder.Error becoming a non-nil error interface when a gang's
// answer completes although its context has ended.
func TestGangOutcomeOfCompleteAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := (&gang{ctx: ctx}).outcome(nil); err != nil {
		t.Fatalf("outcome of a complete answer is a non-nil %T", err)
	}
}
