package merger_test

import (
	"testing"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

func TestMerger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "merger")
}

// newFiles returns files from pairs of name and content.
func newFiles(pairs ...string) []messenger.File {
	var files []messenger.File
	for i := 0; i < len(pairs); i += 2 {
		files = append(files, messenger.File{Name: pairs[i], Data: []byte(pairs[i+1])})
	}
	return files
}

func expectFaults(files []messenger.File, want string) {
	GinkgoHelper()
	m, faults := merger.Merge(files)
	Expect(m).To(BeNil())
	Expect(faults.Error()).To(Equal(want))
}

var _ = Describe("Merge", func() {
	It("merges in byte order of names regardless of input order", func() {
		m, faults := merger.Merge(newFiles(
			"20.json", `{"limits": {"body": 2}, "accounts": {"a": {"services": ["y"]}, "b": null}}`,
			"B.json", `{"limits": {"crashes": 9}}`,
			"10.json", `{"limits": {"body": 1, "crashes": 3}, "accounts": {"a": {"share": 4, "services": ["w", "x"]}, "b": {"share": 1}}}`,
		))
		Expect(faults).To(BeEmpty())
		Expect(m.Config.Limits).To(Equal(configurer.Limits{Body: 2, CrashLimit: 9}))
		Expect(m.Config.Accounts).To(Equal(map[string]configurer.Account{"a": {Share: 4, Services: []string{"y"}}}))
	})

	It("keeps the position of each value", func() {
		m, _ := merger.Merge(newFiles("1.json", `{"limits": {"body": 1}}`, "2.json", "{\"limits\":\n{\"kept\": 5}}"))
		Expect(m.Tree.FindPosition("limits", "body")).To(Equal(decoder.Position{Name: "1.json", Line: 1, Column: 21}))
		Expect(m.Tree.FindPosition("limits", "kept")).To(Equal(decoder.Position{Name: "2.json", Line: 2, Column: 10}))
		Expect(m.Tree.FindPosition("limits", "banned")).To(Equal(decoder.Position{Name: "1.json", Line: 1, Column: 12}))
	})

	It("applies removals inside a new object and leaves its input unchanged", func() {
		files := newFiles("1.json", `{"accounts": {"a": null, "b": {"share": null}}}`, "2.json", `{"accounts": {"a": {"share": 2}}}`)
		for range 2 {
			m, faults := merger.Merge(files)
			Expect(faults).To(BeEmpty())
			Expect(m.Config.Accounts).To(Equal(map[string]configurer.Account{"a": {Share: 2}, "b": {}}))
		}
	})

	It("reports a fault in a value that a later file overrides", func() {
		expectFaults(newFiles("1.json", `{"limits": {"body": "x"}}`, "2.json", `{"limits": {"body": 1}, "acounts": {}}`),
			"1.json:1:21: want number, found string\n"+
				`2.json:1:25: unknown key "acounts"; known are services, paths, models, accounts, limits, operators`)
	})

	DescribeTable("rejects invalid file names", func(name string) {
		_, faults := merger.Merge(newFiles(name, "{}"))
		Expect(faults).To(HaveLen(1))
	},
		Entry("path separator", "../a.json"), Entry("hidden file", ".a.json"), Entry("unknown extension", "a.yaml"), Entry("empty name", ""), Entry("line break", "a\n.json"),
	)

	It("rejects duplicate file names", func() {
		expectFaults(newFiles("1.json", "{}", "1.json", "{}"), "1.json:1:1: file is given twice")
	})

	It("reads configuration files only and digests them independently of order", func() {
		files, err := merger.Read(fstest.MapFS{
			"2.jsonc": {Data: []byte("{}")}, "1.json": {Data: []byte("{}")}, "README.md": {}, ".x.json": {}, "sub/3.json": {},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(Equal(newFiles("1.json", "{}", "2.jsonc", "{}")))
		Expect(merger.Digest(files)).To(Equal(merger.Digest(newFiles("2.jsonc", "{}", "1.json", "{}"))))
		Expect(merger.Digest(files)).NotTo(Equal(merger.Digest(newFiles("1.json", "{}2.jsonc{}"))))
	})
})

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"limits": {"body": 1}, "accounts": {"a": {"share": 1}}}`), []byte(`{"limits": null, "accounts": {"a": null}}`))
	f.Add([]byte(`{"services": {"s": {"routes": [{"method": "GET"}]}}}`), []byte(`{"services": {"s": {"routes": []}}} // end`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		files := newFiles("1.json", string(first), "2.json", string(second))
		m, faults := merger.Merge(files)
		if (m == nil) != (len(faults) > 0) {
			t.Fatalf("Merge returned %v and faults %v", m, faults)
		}
		if m == nil {
			return
		}
		again, faults := merger.Merge(newFiles("1.json", string(m.JSON())))
		if len(faults) > 0 || string(again.JSON()) != string(m.JSON()) {
			t.Fatalf("merging the merged JSON again gives another result: %v", faults)
		}
	})
}
