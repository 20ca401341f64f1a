package differ_test

import (
	"testing"

	"pgregory.net/rapid"

	"bramleyshunt/configurer"
	"bramleyshunt/differ"
)

// drawConfig draws a configuration of a few entries, so that two often share some.
func drawConfig(t *rapid.T) *configurer.Configurer {
	cfg := &configurer.Configurer{Accounts: map[string]configurer.Account{}, Services: map[string]configurer.Service{}}
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID)
	for _, name := range names.Draw(t, "accounts") {
		cfg.Accounts[name] = configurer.Account{
			Share: rapid.IntRange(0, 2).Draw(t, "share"), Regions: rapid.SampledFrom([][]string{nil, {}, {"eu"}}).Draw(t, "regions"),
		}
	}
	for _, name := range names.Draw(t, "services") {
		cfg.Services[name] = configurer.Service{Kind: "plain", Engine: configurer.Engine{Slots: rapid.IntRange(0, 2).Draw(t, "slots")}}
	}
	for _, name := range names.Draw(t, "paths") {
		cfg.Paths = append(cfg.Paths, configurer.Path{Host: "h", Prefix: "/" + name + "/", Gap: float64(rapid.IntRange(0, 2).Draw(t, "gap"))})
	}
	return cfg
}

// Guards against differences that are shown one way and not the other: each one from an earlier
// to a later configuration is there reversed when these are exchanged.
func TestDifferencesAreReversible(t *testing.T) {
	reversed := map[differ.Kind]differ.Kind{differ.Added: differ.Removed, differ.Removed: differ.Added, differ.Changed: differ.Changed}
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t), drawConfig(t)
		there, back := (&differ.Differ{}).Diff(a, b), (&differ.Differ{}).Diff(b, a)
		if len(there) != len(back) {
			t.Fatalf("%d differences, %d back", len(there), len(back))
		}
		for i, c := range there {
			r := back[i]
			if r.Kind != reversed[c.Kind] || r.Entry != c.Entry || r.Field != c.Field || r.From != c.To || r.To != c.From {
				t.Fatalf("difference %+v, back %+v", c, r)
			}
		}
		if len((&differ.Differ{}).Diff(a, a)) > 0 {
			t.Fatalf("a configuration differs from itself")
		}
	})
}
