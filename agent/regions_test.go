package agent_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
)

// Guards against targets that serve no restricted request, as their region is not announced.
var _ = DescribeTable("an agent announces the region of its settings", func(region string, zones map[string]string, want string) {
	n := start(newStub(), func(cfg *agent.Config) {
		cfg.Settings.Zone, cfg.Settings.Region, cfg.Settings.Zones = "z1", region, zones
	})
	Expect(n.agent.Target().Region).To(Equal(want))
},
	Entry("its own", "eu", map[string]string{"z1": "us"}, "eu"),
	Entry("that of its zone", "", map[string]string{"z1": "us"}, "us"),
	Entry("none", "", map[string]string{"z2": "us"}, ""),
)
