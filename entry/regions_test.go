package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
)

// Guards against callers that come back although the configuration leaves no region, and against
// others that are told not to.
func TestRetryAfterOfRefusalsByRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retryAfter(coder.Errorf(coder.NoRegion, ""))).To(BeZero())
	g.Expect(retryAfter(&coder.Error{Code: coder.NoRegion, Retry: 1200 * time.Millisecond})).To(Equal(2))
	g.Expect(retryAfter(coder.Errorf(coder.NoTarget, ""))).To(Equal(1))
}
