package identifier_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/identifier"
)

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(coder.Of(err)).To(HaveField("Code", want))
}

var _ = Describe("an identifier", func() {
	i := identifier.New(map[string]configurer.Account{
		"crew":  {Token: identifier.Hash("secret")},
		"empty": {},
	})

	It("returns the account of a token", func() {
		Expect(i.Identify("secret")).To(Equal("crew"))
	})

	It("refuses unknown, empty and hashed tokens", func() {
		for _, token := range []string{"other", "", identifier.Hash("secret")} {
			_, err := i.Identify(token)
			expectCode(err, coder.Unauthenticated)
		}
		_, err := (&identifier.Identifier{}).Identify("secret")
		expectCode(err, coder.Unauthenticated)
	})

	It("allows an account only the services that it lists, all if it lists none", func() {
		Expect(i.Allow(configurer.Account{}, "a")).To(Succeed())
		expectCode(i.Allow(configurer.Account{Services: []string{"b"}}, "a"), coder.Forbidden)
	})
})
