package runner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countServing returns a function that counts the serving targets of a service in the
// view of a running node. If version is not empty, only targets with that model
// version count.
func (d *deployment) countServing(service, version string) func() int {
	return func() int {
		count := 0
		for _, n := range d.nodes {
			if n.stop == nil {
				continue
			}
			count = 0
			for _, t := range n.process.Targets() {
				if t.Service == service && !t.Leaving && (version == "" || t.Version == version) {
					count++
				}
			}
		}
		return count
	}
}

var _ = Describe("scaling", func() {
	It("follows the configured number of targets, also after a change of leader", func() {
		d := start("laufspur", map[string]int{"erzaehler": 4})
		d.apply(d.fleetToken(), map[string]string{"95-scale.json": `{"services": {"erzaehler": {"least": 2, "most": 2}}}`})
		Eventually(d.countServing("erzaehler", "")).Should(Equal(2))
		d.stopLeader()
		d.apply(exampleToken("race-office"), map[string]string{"95-scale.json": `{"services": {"erzaehler": {"least": 4, "most": 4}}, "models": {"erzaehler": {"version": "next"}}}`})
		Eventually(d.countServing("erzaehler", "")).Should(Equal(4))
		Eventually(d.countServing("erzaehler", "next")).Should(BeNumerically(">=", 1))
	})
})
