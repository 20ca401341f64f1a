package linter_test

import (
	"os"
	"testing"

	"bramleyshunt/checker"
	"bramleyshunt/linter"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// Guards against a configuration that keepers accept and that ends the command with a panic, or
// has a warning without a place.
func FuzzLint(f *testing.F) {
	for _, name := range []string{"warnings.jsonc", "sound.jsonc"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, faults := merger.Merge([]messenger.File{{Name: "f.json", Data: data}})
		if len(faults) > 0 || len(checker.CheckMerged(m)) > 0 {
			return
		}
		for _, w := range (&linter.Linter{Regions: []string{"eu"}}).Lint(m) {
			if w.Line == 0 || w.Column == 0 || w.Message == "" {
				t.Errorf("warning without a place: %+v", w)
			}
		}
	})
}
