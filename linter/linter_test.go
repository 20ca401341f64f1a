package linter_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/checker"
	"bramleyshunt/decoder"
	"bramleyshunt/linter"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// lint returns the warnings about a file that package checker accepts.
func lint(g *WithT, name string, regions ...string) decoder.Faults {
	data, err := os.ReadFile("testdata/" + name)
	g.Expect(err).NotTo(HaveOccurred())
	m, faults := merger.Merge([]messenger.File{{Name: name, Data: data}})
	g.Expect(faults).To(BeEmpty())
	g.Expect(checker.CheckMerged(m)).To(BeEmpty(), "warnings are about configurations that keepers accept")
	return (&linter.Linter{Regions: regions}).Lint(m)
}

// Guards against entries that can't take effect and contradicting limits that nobody is told of,
// or at the wrong place.
func TestWarnings(t *testing.T) {
	g := NewWithT(t)
	goldie.New(t).Assert(t, "warnings", []byte(lint(g, "warnings.jsonc", "eu", "us").Error()+"\n"))
}

// Guards against warnings that operators learn to overlook, as a sound configuration has some, and
// against regions called unknown although no settings were given.
func TestSoundConfigurationHasNoWarnings(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lint(g, "sound.jsonc", "eu", "us")).To(BeEmpty())
	g.Expect(lint(g, "sound.jsonc")).To(BeEmpty())
}

// Guards against paths that refuse every request, as after the last account was removed, and of
// which nobody is told.
func TestPathsWithoutAccountsAreReported(t *testing.T) {
	g := NewWithT(t)
	for _, accounts := range []string{"", `, "accounts": {}`, `, "accounts": {"a": {"keys": []}}`} {
		m, faults := merger.Merge([]messenger.File{{Name: "f.json", Data: []byte(`{"services": {"s": {"kind": "plain"}}, "paths": [
			{"host": "h", "prefix": "/c/", "kind": "safe", "timeout": 1, "split": [{"service": "s", "weight": 1}]},
			{"host": "h", "prefix": "/o/", "kind": "safe", "timeout": 1, "open": true, "split": [{"service": "s", "weight": 1}]}]` + accounts + `}`)}})
		g.Expect(faults).To(BeEmpty())
		warnings := (&linter.Linter{}).Lint(m).Error()
		g.Expect(warnings).To(ContainSubstring("paths.0.open: no request can use this path"), accounts)
		g.Expect(warnings).NotTo(ContainSubstring("paths.1"), accounts)
	}
}
