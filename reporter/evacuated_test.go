package reporter_test

import (
	"bytes"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/keeper"
	"bramleyshunt/messenger"
	"bramleyshunt/reporter"
)

var _ = Describe("evacuated zones in the tables", func() {
	// Guards against tables that show an evacuated target as serving, or zones by a keeper that lags.
	It("are those of the keeper that has applied most", func() {
		ahead := &reporter.Report{
			Process:   &reporter.Process{Node: "k1", Keeper: &keeper.Status{Applied: 9}},
			Targets:   []messenger.Target{{ID: "t1", Zone: "a"}, {ID: "t2", Zone: "b"}},
			Evacuated: []messenger.Evacuation{{Zone: "a", Operator: "office", Since: 1764864000e9}},
		}
		behind := &reporter.Report{
			Process:   &reporter.Process{Node: "k2", Keeper: &keeper.Status{Applied: 7}},
			Evacuated: []messenger.Evacuation{{Zone: "b", Operator: "office"}},
		}
		var out bytes.Buffer
		reports := []*reporter.Report{ahead, behind, {}}
		Expect(reporter.WriteTable(&out, []string{"a", "b", "c"}, reports, []error{nil, nil, errors.New("no answer")})).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`(?m)^t1 .* evacuated `))
		Expect(out.String()).To(MatchRegexp(`(?m)^t2 .* serving `))
		Expect(out.String()).To(MatchRegexp(`EVACUATED ZONE +OPERATOR +SINCE\na +office +2025-12-04T16:00:00Z`))
		Expect(out.String()).NotTo(MatchRegexp(`(?m)^b +office`))
	})
})
