// Package examples_test checks the examples and the page on configuration.
package examples_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/checker"
	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
	"bramleyshunt/setter"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

var folders = []string{"laufspur", "kilimanjaro"}

var _ = Describe("the example folders", func() {
	for _, folder := range folders {
		It("pass the check: "+folder, func() {
			files, err := merger.ReadFolder(folder)
			Expect(err).NotTo(HaveOccurred())
			cfg, faults := checker.Check(files)
			Expect(faults).To(BeEmpty())
			Expect(cfg.Services).To(HaveLen(2))
			Expect(cfg.Accounts).To(HaveLen(10))
			Expect(cfg.Operators).NotTo(BeEmpty())
		})
		It("have settings that can be read: "+folder, func() {
			names, err := filepath.Glob(filepath.Join(folder, "settings", "*.json"))
			Expect(err).NotTo(HaveOccurred())
			Expect(names).To(HaveLen(5))
			for _, name := range names {
				data, err := os.ReadFile(name)
				Expect(err).NotTo(HaveOccurred())
				var s setter.Setter
				Expect(decoder.Decode(name, data, &s)).To(Succeed())
				Expect(s.Keepers).To(HaveLen(3))
			}
		})
	}
})

// tags returns the path of every json tag below a type, as the page writes it.
func tags(t reflect.Type, path string) []string {
	switch t.Kind() {
	case reflect.Map:
		return tags(t.Elem(), path+".*")
	case reflect.Slice:
		return tags(t.Elem(), path+"[]")
	case reflect.Struct:
	default:
		return nil
	}
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		name := strings.TrimPrefix(path+"."+tag, ".")
		out = append(out, name)
		out = append(out, tags(f.Type, name)...)
	}
	return out
}

var _ = Describe("the page on configuration", func() {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	It("names every key", func() {
		Expect(err).NotTo(HaveOccurred())
		for _, t := range []reflect.Type{reflect.TypeFor[setter.Setter](), reflect.TypeFor[configurer.Configurer]()} {
			for _, tag := range tags(t, "") {
				Expect(string(page)).To(ContainSubstring("\n| `"+tag+"` |"), "no row for %s", tag)
			}
		}
	})
})
