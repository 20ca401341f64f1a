package differ_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/configurer"
	"bramleyshunt/differ"
)

func before() *configurer.Configurer {
	return &configurer.Configurer{
		Services: map[string]configurer.Service{
			"chat": {Kind: "engine", Model: "m", Engine: configurer.Engine{Slots: 16}}, "old": {Kind: "plain"},
		},
		Models: map[string]configurer.Model{"m": {Version: "1"}},
		Paths: []configurer.Path{
			{Name: "a", Host: "H", Prefix: "/a/", Timeout: 10, Split: []configurer.Split{{Service: "chat", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Timeout: 10},
		},
		Accounts: map[string]configurer.Account{
			"gone": {}, "office": {Token: strings.Repeat("a", 64), Keys: []string{strings.Repeat("b", 64)}, Rate: 100},
		},
		Limits: configurer.Limits{Body: 1000},
	}
}

func after() *configurer.Configurer {
	cfg := before()
	delete(cfg.Services, "old")
	cfg.Services["new"] = configurer.Service{Kind: "plain"}
	chat := cfg.Services["chat"]
	chat.Engine.Slots = 8
	cfg.Services["chat"] = chat
	cfg.Paths[0].Host = "h" // hosts are compared without case
	cfg.Paths[0].Regions = []string{"eu"}
	cfg.Paths[0].Split = append(cfg.Paths[0].Split, configurer.Split{Service: "new", Weight: 3})
	cfg.Paths[1].Prefix = "/c/"
	delete(cfg.Accounts, "gone")
	cfg.Accounts["office"] = configurer.Account{Token: strings.Repeat("c", 64), Keys: []string{}, Rate: 50, Services: []string{}}
	cfg.Operators = map[string]configurer.Operator{"night": {Token: strings.Repeat("d", 64)}}
	cfg.Limits.Body = 0
	return cfg
}

// Guards against differences that operators aren't shown before they apply a configuration, and
// against digests of tokens on terminals and in logs.
func TestDifferences(t *testing.T) {
	g := NewWithT(t)
	var text strings.Builder
	changes := (&differ.Differ{}).Diff(before(), after())
	for _, c := range changes {
		fmt.Fprintln(&text, c)
	}
	goldie.New(t).Assert(t, "changes", []byte(text.String()))
	data, err := json.MarshalIndent(changes, "", "  ")
	g.Expect(err).NotTo(HaveOccurred())
	goldie.New(t).Assert(t, "changes-json", append(data, '\n'))
	g.Expect(text.String()).NotTo(ContainSubstring(strings.Repeat("c", 9)))
}

// Guards against differences where there are none: in the order of paths, and between missing
// and empty lists.
func TestEqualConfigurationsDontDiffer(t *testing.T) {
	g := NewWithT(t)
	same := before()
	same.Paths[0], same.Paths[1] = same.Paths[1], same.Paths[0]
	same.Paths[0].Regions = []string{}
	g.Expect((&differ.Differ{}).Diff(before(), same)).To(BeEmpty())
	g.Expect((&differ.Differ{}).Diff(&configurer.Configurer{}, &configurer.Configurer{})).To(BeEmpty())
}
