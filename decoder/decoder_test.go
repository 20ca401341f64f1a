package decoder_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/decoder"
	"bramleyshunt/setter"
)

func TestDecoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decoder")
}

func expectFaults(document string, want ...string) {
	GinkgoHelper()
	var s setter.Setter
	err := decoder.Decode("settings.json", []byte(document), &s)
	if len(want) == 0 {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(err).To(MatchError(strings.Join(want, "\n")))
}

var _ = Describe("Decode", func() {
	It("accepts comments and trailing commas", func() {
		var s setter.Setter
		err := decoder.Decode("s", []byte("{ // who\n \"node\": \"a\", \"roles\": [\"entry\",], \"grace\": 1.5, \"target\": {\"slots\": 8, \"fences\": true} }"), &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Node).To(Equal("a"))
		Expect(s.Roles).To(Equal([]string{"entry"}))
		Expect(s.GracePeriod).To(Equal(1.5))
		Expect(s.Target).To(Equal(setter.Target{Slots: 8, Fences: true}))
	})

	DescribeTable("reports all faults with their positions", expectFaults,
		Entry("unknown key", "{\n  \"nod\": 1}",
			`settings.json:2:3: unknown key "nod"; known are node, zone, region, roles, key, listen, http, admin, folder, keepers, target, grow, join, direct, grace, memory, log, zones`),
		Entry("key in the wrong case", `{"target": {"ID": "x"}}`,
			`settings.json:1:13: unknown key "ID"; known are id, service, kind, model, url, memory, slots, fences`),
		Entry("duplicate key", "{\"node\": \"é\", \"node\": \"b\"}", `settings.json:1:15: key "node" is doubled`),
		Entry("several wrong types", "{\"node\": 1,\n\"roles\": {}, \"grace\": \"x\",\n \"target\": {\"slots\": 1.5, \"fences\": 0}}",
			`settings.json:1:10: want string, found number`,
			`settings.json:2:10: want list, found object`,
			`settings.json:2:23: want number, found string`,
			`settings.json:3:22: want a whole number, found 1.5`,
			`settings.json:3:37: want boolean, found number`),
		Entry("null for a string", `{"node": null}`, `settings.json:1:10: want string, found null`),
		Entry("null for an object", `{"target": null}`, `settings.json:1:12: want object, found null`),
		Entry("number out of range", `{"grace": 1e999}`, `settings.json:1:11: number 1e999 is out of range`),
		Entry("not an object", `[]`, `settings.json:1:1: want object, found list`),
		Entry("empty document", ``, `settings.json:1:1: parsing value: unexpected EOF`),
		Entry("truncated document", "{\n\"node\": ", `settings.json:2:9: parsing value: unexpected EOF`),
		Entry("trailing data", `{} {}`, `settings.json:1:4: invalid character '{' after top-level value`),
	)

	It("bounds nesting depth and document size", func() {
		expectFaults(strings.Repeat("[", 1<<19), "settings.json:1:33: nested deeper than 32")
		expectFaults(strings.Repeat(" ", decoder.MaxBytes+1), "settings.json:1:1: document of 1048577 bytes exceeds 1048576")
		expectFaults(`{"node": "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[" /* {{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{{ */ }`)
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"node": "a", "keepers": [{"node": "k", "address": "127.0.0.1:1"}]}`))
	f.Add([]byte("{// c\n\"grace\": 1e3, /* x */ }"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s setter.Setter
		if err := decoder.Decode("f", data, &s); err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("error without position: %v", err)
			}
		}
	})
}
