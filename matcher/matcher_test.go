package matcher_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/matcher"
)

func TestMatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "matcher")
}

var _ = Describe("Match", func() {
	m := matcher.New([]configurer.Path{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "b", Host: "B.example", Prefix: "/x/"},
	})
	DescribeTable("returns the path with the longest prefix on the host",
		func(host, requestPath, name string) {
			p := m.Match(host, requestPath)
			if name == "" {
				Expect(p).To(BeNil())
				return
			}
			Expect(p).NotTo(BeNil())
			Expect(p.Name).To(Equal(name))
		},
		Entry("the longest of three prefixes", "a.example", "/x/y/z", "xy"),
		Entry("a shorter prefix", "a.example", "/x/z", "x"),
		Entry("a prefix includes its last slash", "a.example", "/x/yz", "x"),
		Entry("a request path without the last slash of the prefix", "a.example", "/x", "all"),
		Entry("the query is ignored", "a.example", "/x?p=/x/y/", "all"),
		Entry("the case and the port of the host are ignored", "A.EXAMPLE:80", "/x/1", "x"),
		Entry("a prefix on another host", "b.example", "/x/y/", "b"),
		Entry("no matching prefix", "b.example", "/y/", ""),
		Entry("unknown host", "c.example", "/x/", ""),
		Entry("percent-encoding is not decoded", "b.example", "/%78/1", ""),
	)
})

var _ = Describe("PickService", func() {
	p := &configurer.Path{Split: []configurer.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	It("sends requests to services in proportion to their weights", func() {
		n := map[string]int{}
		for i := range 10000 {
			n[matcher.PickService(p, strconv.Itoa(i))]++
		}
		Expect(n["a"]).To(BeNumerically("~", 9000, 300))
		Expect(n["b"]).To(BeNumerically("~", 1000, 300))
		Expect(n).NotTo(HaveKey("c"))
	})
	It("returns no service without weights", func() {
		Expect(matcher.PickService(&configurer.Path{}, "1")).To(BeEmpty())
	})
})
