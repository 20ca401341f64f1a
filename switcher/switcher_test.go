package switcher_test

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/switcher"
)

func TestSwitcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "switcher")
}

// countTrue returns the number of set fields of a struct of bools.
func countTrue(v any) int {
	n := 0
	for i := range reflect.ValueOf(v).NumField() {
		if reflect.ValueOf(v).Field(i).Bool() {
			n++
		}
	}
	return n
}

var _ = Describe("parts of the policy", func() {
	It("are on unless they are named", func() {
		s, err := switcher.Parse(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(switcher.Switcher{}))
		Expect(s.Names()).To(BeEmpty())
	})

	It("are switched off by their names", func() {
		s, err := switcher.Parse([]string{"hold-at-start", "first-fit"})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Names()).To(Equal([]string{"first-fit", "hold-at-start"}))
		Expect(s.Off(switcher.HoldAtStart)).To(BeTrue())
		Expect(s.Off(switcher.Aging)).To(BeFalse())
		Expect(s.Router().Fill).To(BeTrue())
	})

	It("are listed when a name is unknown", func() {
		_, err := switcher.Parse([]string{"luck"})
		Expect(err).To(MatchError(ContainSubstring(strings.Join(switcher.Names(), ", "))))
	})

	It("cover every feature of router and scheduler", func() {
		s, err := switcher.Parse(switcher.Names())
		Expect(err).NotTo(HaveOccurred())
		Expect(countTrue(s.Router())).To(Equal(reflect.TypeOf(s.Router()).NumField()))
		Expect(countTrue(s.Scheduler())).To(Equal(reflect.TypeOf(s.Scheduler()).NumField()))
	})

	It("are described one a line", func() {
		lines := strings.Split(strings.TrimSpace(switcher.Help()), "\n")
		Expect(lines).To(HaveLen(len(switcher.Names())))
		for i, name := range switcher.Names() {
			Expect(lines[i]).To(MatchRegexp(`^ *` + name + ` +\S`))
		}
	})
})
