package authenticator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/authenticator"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(coder.Of(err)).To(HaveField("Code", want))
}

var _ = Describe("an authenticator", func() {
	au := authenticator.New(map[string]configurer.Account{
		"crew":  {Token: authenticator.Hash("secret")},
		"empty": {},
	})

	It("returns the account of a token", func() {
		Expect(au.Identify("secret")).To(Equal("crew"))
	})

	It("refuses unknown, empty and hashed tokens", func() {
		for _, token := range []string{"other", "", authenticator.Hash("secret")} {
			_, err := au.Identify(token)
			expectCode(err, coder.Unauthenticated)
		}
		_, err := (&authenticator.Authenticator{}).Identify("secret")
		expectCode(err, coder.Unauthenticated)
	})

	It("allows an account only the services that it lists, all if it lists none", func() {
		Expect(au.Allow(configurer.Account{}, "a")).To(Succeed())
		expectCode(au.Allow(configurer.Account{Services: []string{"b"}}, "a"), coder.Forbidden)
	})
})
