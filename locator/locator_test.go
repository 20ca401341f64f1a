package locator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/locator"
	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

func TestLocator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "locator")
}

func keeper(name string) setter.Keeper { return setter.Keeper{Node: name, Address: name + ":1"} }

func member(name string) messenger.Member {
	return messenger.Member{Node: name, Address: name + ":1"}
}

var _ = Describe("a locator", func() {
	It("lists the seeds, and members before seeds once they are reported", func() {
		l := locator.Locator{Seeds: []setter.Keeper{keeper("a"), keeper("b")}}
		Expect(l.Keepers()).To(Equal([]setter.Keeper{keeper("a"), keeper("b")}))
		l.SetMembers([]messenger.Member{member("b"), member("d")})
		Expect(l.Keepers()).To(Equal([]setter.Keeper{keeper("b"), keeper("d"), keeper("a")}))
	})

	It("keeps the members when a keeper reports none", func() {
		l := locator.Locator{}
		l.SetMembers([]messenger.Member{member("d")})
		l.SetMembers(nil)
		Expect(l.Keepers()).To(Equal([]setter.Keeper{keeper("d")}))
	})
})
