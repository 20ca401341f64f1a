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

var _ = Describe("identifying", func() {
	i := identifier.New(map[string]configurer.Account{
		"crew":  {Token: identifier.Hash("secret")},
		"empty": {},
	})

	It("finds the account of a token", func() {
		Expect(i.Identify("secret")).To(Equal("crew"))
	})

	It("refuses an unknown, an empty and a hashed token", func() {
		for _, token := range []string{"other", "", identifier.Hash("secret")} {
			_, err := i.Identify(token)
			expectCode(err, coder.Unauthenticated)
		}
		_, err := (&identifier.Identifier{}).Identify("secret")
		expectCode(err, coder.Unauthenticated)
	})

	It("holds an account to its services", func() {
		Expect(i.Allow(configurer.Account{}, "a")).To(Succeed())
		expectCode(i.Allow(configurer.Account{Services: []string{"b"}}, "a"), coder.Forbidden)
	})
})
