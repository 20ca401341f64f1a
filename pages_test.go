package main_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pages")
}

var (
	linkRE = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	testRE = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
)

func read(path string) string {
	GinkgoHelper()
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func glob(patterns ...string) []string {
	GinkgoHelper()
	var all []string
	for _, p := range patterns {
		names, err := filepath.Glob(p)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, names...)
	}
	return all
}

var _ = Describe("the documentation pages", func() {
	It("link to pages that exist", func() {
		for _, page := range glob("*.md", "docs/*.md") {
			for _, m := range linkRE.FindAllStringSubmatch(read(page), -1) {
				Expect(filepath.Join(filepath.Dir(page), m[1])).To(BeAnExistingFile(), "linked by %s", page)
			}
		}
	})

	It("name tests that exist", func() {
		var tests strings.Builder
		for _, name := range glob("*/*_test.go", "*_test.go") {
			tests.WriteString(read(name))
		}
		for _, page := range glob("*.md", "docs/*.md") {
			for _, m := range testRE.FindAllStringSubmatch(read(page), -1) {
				Expect(tests.String()).To(ContainSubstring("func "+m[1]+"("), "named by %s", page)
			}
		}
	})

	It("list every package", func() {
		page := read("docs/ARCHITECTURE.md")
		for _, name := range glob("*/*.go") {
			Expect(page).To(ContainSubstring("| `" + filepath.Dir(name) + "` |"))
		}
	})
})
