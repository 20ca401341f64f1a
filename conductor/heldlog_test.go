package conductor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// Guards against holds that can't be followed in the log.
func TestHoldsAreLoggedAndCounted(t *testing.T) {
	withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
		b.expectUsed("t1", "t2")
		began := time.Now()
		for range 2 {
			b.leave(b.target(0))
			b.pause(b.target(1), 3*time.Second)
		}
		b.Expect(b.lines("target leaves")).To(ConsistOf(logrus.Fields{"target": "t1", "incarnation": uint64(1), "service": "s", "request": "r"}))
		b.Expect(b.lines("target asked for a pause")).To(ConsistOf(logrus.Fields{
			"target": "t2", "incarnation": uint64(1), "service": "s", "request": "r", "asked": "3s", "until": began.Add(3 * time.Second),
		}))
		b.Expect(b.counter("holds")).To(BeEquivalentTo(2))
		b.Expect(b.lines("hold on target ended")).To(BeEmpty())
		<-time.After(time.Minute)
		b.expectUsed("t2")
		b.Expect(b.lines("hold on target ended")).To(ConsistOf(logrus.Fields{
			"target": "t2", "leaving": false, "until": began.Add(3 * time.Second), "age": int64(3000),
		}))
	})
}
