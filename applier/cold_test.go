package applier_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
)

// Guards against a record in the keepers' log with each heartbeat of a cold target.
func TestColdTimeIsNotRecorded(t *testing.T) {
	g := NewWithT(t)
	old := messenger.Target{ID: "t", Address: "a", Incarnation: 1}
	next := old
	next.Cold = 3 * time.Second
	g.Expect(applier.MergeTarget(old, next)).To(Equal(old))
}
