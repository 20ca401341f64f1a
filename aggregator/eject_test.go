package aggregator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/aggregator"
	"bramleyshunt/messenger"
)

// Guards against a relay that goes on picking a target for its members that one of them has
// found to break off requests, and against ejections that last longer the more often they are
// passed on.
func TestEjectionsReachRelaysWithTheirAge(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	peers := []messenger.Target{{ID: "a", Aggregates: true}, {ID: "b", Aggregates: true}}
	a := aggregator.Aggregator{Node: "a"}
	a.Round(now, peers, messenger.Share{})
	a.Record(now, messenger.Share{Node: "b", Scope: messenger.ScopeMember, Ejections: []messenger.Ejection{
		{Target: 1, Incarnation: 2, Left: 500}, {Target: 3, Left: 40},
	}})
	now = now.Add(100 * time.Millisecond)
	others, ok := a.Others(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(others.Ejections).To(Equal([]messenger.Ejection{{Target: 1, Incarnation: 2, Left: 400, Observer: "b"}}))
}
