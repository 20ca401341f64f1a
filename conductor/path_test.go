package conductor

import (
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/authenticator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

// Guards against a path that accepts all keys once a configuration holds no account any more.
func TestPathNeedsAccountUnlessItIsOpen(t *testing.T) {
	crew := configurer.Account{Keys: []string{authenticator.Hash("k")}}
	for name, c := range map[string]struct {
		open     bool
		accounts map[string]configurer.Account
		accepted bool
	}{
		"accounts missing":  {},
		"no accounts":       {accounts: map[string]configurer.Account{}},
		"account lost keys": {accounts: map[string]configurer.Account{"crew": {Keys: []string{}}}},
		"key of an account": {accounts: map[string]configurer.Account{"crew": crew}, accepted: true},
		"open":              {open: true, accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := twoTargets()
			v.Config.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Open: c.open, Split: []configurer.Split{{Service: "s", Weight: 1}}}}
			v.Config.Accounts = c.accounts
			withHolds(t, Config{}, v, func(b *holdBed) {
				err := b.cd.Match(&chainer.Request{}, "h", "/x/1", "k")
				if c.accepted {
					b.Expect(err).NotTo(HaveOccurred())
					return
				}
				b.Expect(coder.Of(err)).To(HaveField("Code", coder.Unauthenticated))
			})
		})
	}
}
