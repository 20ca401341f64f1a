// Package examples_test checks that the example configurations are valid and that
// docs/CONFIGURATION.md documents every key.
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

var _ = Describe("an example folder", func() {
	for _, folder := range folders {
		It("is a valid configuration: "+folder, func() {
			files, err := merger.ReadFolder(folder)
			Expect(err).NotTo(HaveOccurred())
			cfg, faults := checker.Check(files)
			Expect(faults).To(BeEmpty())
			Expect(cfg.Services).To(HaveLen(2))
			Expect(cfg.Accounts).To(HaveLen(10))
			Expect(cfg.Operators).NotTo(BeEmpty())
		})
		It("has settings that decode: "+folder, func() {
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

// keyPaths returns the path of every json key below a type, in the notation of
// docs/CONFIGURATION.md: .* stands for any map key and [] for any element.
func keyPaths(t reflect.Type, path string) []string {
	switch t.Kind() {
	case reflect.Map:
		return keyPaths(t.Elem(), path+".*")
	case reflect.Slice:
		return keyPaths(t.Elem(), path+"[]")
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
		out = append(out, keyPaths(f.Type, name)...)
	}
	return out
}

var _ = Describe("docs/CONFIGURATION.md", func() {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	It("has a row for every key", func() {
		Expect(err).NotTo(HaveOccurred())
		for _, t := range []reflect.Type{reflect.TypeFor[setter.Setter](), reflect.TypeFor[configurer.Configurer]()} {
			for _, tag := range keyPaths(t, "") {
				Expect(string(page)).To(ContainSubstring("\n| `"+tag+"` |"), "no row for %s", tag)
			}
		}
	})
})
