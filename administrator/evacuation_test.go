package administrator_test

import (
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/administrator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reporter"
)

var _ = Describe("orders to evacuate a zone", func() {
	var a *api
	BeforeEach(func() {
		a = newAPI()
		a.Targets = func() []messenger.Target { return []messenger.Target{{ID: "t1", Service: "s", Zone: "a"}} }
	})
	order := func(path string) (out administrator.Evacuated) {
		GinkgoHelper()
		status, body := a.send(http.MethodPost, path, administrator.FleetToken(key), "")
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(json.Unmarshal([]byte(body), &out)).To(Succeed())
		return out
	}

	// Guards against an answer that hides whether the order changed anything, and against zones that
	// operators don't see.
	It("are accepted and shown with who gave them and when", func() {
		got := order("/v1/evacuations/a/start")
		Expect(got).To(And(HaveField("Evacuated", true), HaveField("Repeated", false), HaveField("Targets", 1), HaveField("Index", BeEquivalentTo(1))))
		Expect(got.Evacuation).To(HaveField("Operator", "fleet key"))
		Expect(order("/v1/evacuations/a/start")).To(HaveField("Repeated", true))
		_, body := a.send(http.MethodGet, "/v1/configuration", administrator.FleetToken(key), "")
		var shown administrator.Configuration
		Expect(json.Unmarshal([]byte(body), &shown)).To(Succeed())
		Expect(shown.Evacuated).To(Equal([]administrator.Evacuation{*got.Evacuation}))
		_, body = a.send(http.MethodGet, "/v1/status", administrator.FleetToken(key), "")
		var report reporter.Report
		Expect(json.Unmarshal([]byte(body), &report)).To(Succeed())
		Expect(report.Evacuated).To(ConsistOf(HaveField("Zone", "a")))
		Expect(order("/v1/evacuations/a/end")).To(And(HaveField("Evacuated", false), HaveField("Repeated", false)))
		Expect(order("/v1/evacuations/a/end")).To(And(HaveField("Repeated", true), HaveField("Evacuation", BeNil())))
	})

	// Guards against a typing error that is taken for an order, and against strangers.
	It("are refused for unknown zones unless forced, invalid names and without a token", func() {
		token := administrator.FleetToken(key)
		a.expectError(coder.NotFound, http.MethodPost, "/v1/evacuations/b/start", token, "")
		a.expectError(coder.NotFound, http.MethodPost, "/v1/evacuations/b/start?force=false", token, "")
		a.expectError(coder.Malformed, http.MethodPost, "/v1/evacuations/b/start?force=yes", token, "")
		a.expectError(coder.Malformed, http.MethodPost, "/v1/evacuations/b%20c/start?force=true", token, "")
		a.expectError(coder.Unauthenticated, http.MethodPost, "/v1/evacuations/a/start", "", "")
		Expect(a.applier.Evacuated().Zones).To(BeEmpty())
		Expect(order("/v1/evacuations/b/start?force=true")).To(HaveField("Targets", 0))
	})
})
