package reporter_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/entry"
	"bramleyshunt/keeper"
	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
	"bramleyshunt/reporter"
)

func TestReporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reporter")
}

var _ = Describe("WriteTable", func() {
	It("lists processes, listeners that did not answer, and targets", func() {
		reports := []*reporter.Report{
			{
				Process: &reporter.Process{
					Node: "gar-1", Zone: "halle-gar", Roles: []string{"entry", "keeper"}, Version: 7,
					Keeper: &keeper.Status{Node: "gar-1", Leader: "ros-1", Role: replicator.Follower, Term: 3, Applied: 90, Voters: make([]messenger.Member, 3)},
					Entry:  &entry.Status{Ready: true, Active: 4, Queued: 1},
				},
				Targets: []messenger.Target{
					{ID: "e-1", Service: "erzaehler", Model: "erzaehler", Version: "2", Lane: "short", Load: messenger.Load{Used: 900, Memory: 4000, Running: 2}},
					{ID: "e-2", Service: "erzaehler", Leaving: true},
					{ID: "e-3", Service: "erzaehler", Leaving: true, Standby: true},
				},
				Claims: 12,
			},
			{},
		}
		var out bytes.Buffer
		Expect(reporter.WriteTable(&out, []string{"a", "b"}, reports, []error{nil, errors.New("connection refused")})).To(Succeed())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "tables", out.Bytes())
	})
})
