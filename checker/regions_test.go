package checker_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/checker"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// Guards against a restriction that is accepted although no region can bear its name, and so
// refuses all requests, and against lists without bound.
func TestRegionNamesAreChecked(t *testing.T) {
	g := NewWithT(t)
	many := strings.Repeat(`"r",`, 64) + `"r"`
	for regions, faults := range map[string]int{`[]`: 0, `["eu-1", "us_2"]`: 0, `[""]`: 2, `["a b"]`: 2, `["a,b", "c"]`: 2, `[` + many + `]`: 2} {
		data := fmt.Sprintf(`{"services": {"s": {"kind": "plain"}}, "accounts": {"a": {"token": %q, "regions": %s}},
			"paths": [{"host": "h", "prefix": "/", "kind": "safe", "timeout": 1, "split": [{"service": "s", "weight": 1}], "regions": %s}]}`,
			strings.Repeat("0", 64), regions, regions)
		_, found := checker.Check([]messenger.File{{Name: "a.json", Data: []byte(data)}})
		g.Expect(found).To(HaveLen(faults), "%s: %v", regions, found)
	}
}

// Guards against a path and an account without a common region that together count as
// unrestricted.
func TestAllowedRegions(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		a, b, want []string
		none       bool
	}{
		{},
		{a: []string{"b", "a"}, want: []string{"a", "b"}},
		{b: []string{"b", "b"}, want: []string{"b"}},
		{a: []string{"c", "b", "a"}, b: []string{"b", "c", "d"}, want: []string{"b", "c"}},
		{a: []string{"a"}, b: []string{"b"}, none: true},
	} {
		got, ok := configurer.AllowedRegions(c.a, c.b)
		g.Expect(ok).To(Equal(!c.none))
		g.Expect(got).To(HaveLen(len(c.want)))
		if len(c.want) > 0 {
			g.Expect(got).To(Equal(c.want))
		}
	}
}
