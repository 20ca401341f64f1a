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

var _ = Describe("the path of a request", func() {
	m := matcher.New([]configurer.Path{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "b", Host: "B.example", Prefix: "/x/"},
	})
	DescribeTable("is that of the longest prefix of its host",
		func(host, target, name string) {
			p := m.Match(host, target)
			if name == "" {
				Expect(p).To(BeNil())
				return
			}
			Expect(p).NotTo(BeNil())
			Expect(p.Name).To(Equal(name))
		},
		Entry("whole", "a.example", "/x/y/z", "xy"),
		Entry("shorter", "a.example", "/x/z", "x"),
		Entry("a prefix ends with its slash", "a.example", "/x/yz", "x"),
		Entry("without the slash it is not begun", "a.example", "/x", "all"),
		Entry("the query is no part of it", "a.example", "/x?p=/x/y/", "all"),
		Entry("host without regard to case and port", "A.EXAMPLE:80", "/x/1", "x"),
		Entry("another host", "b.example", "/x/y/", "b"),
		Entry("no prefix", "b.example", "/y/", ""),
		Entry("unknown host", "c.example", "/x/", ""),
		Entry("escapes are not decoded", "b.example", "/%78/1", ""),
	)
})

var _ = Describe("a split", func() {
	p := &configurer.Path{Split: []configurer.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	It("gives each service its share of the requests", func() {
		n := map[string]int{}
		for i := range 10000 {
			n[matcher.Service(p, strconv.Itoa(i))]++
		}
		Expect(n["a"]).To(BeNumerically("~", 9000, 300))
		Expect(n["b"]).To(BeNumerically("~", 1000, 300))
		Expect(n).NotTo(HaveKey("c"))
	})
	It("gives nothing without weights", func() {
		Expect(matcher.Service(&configurer.Path{}, "1")).To(BeEmpty())
	})
})
