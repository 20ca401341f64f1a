package checker_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/checker"
	"bramleyshunt/merger"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checker")
}

// TestBadFolders compares the faults of each folder in testdata with its golden file.
func TestBadFolders(t *testing.T) {
	folders, err := filepath.Glob("testdata/*.folder")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no folders in testdata: %v", err)
	}
	for _, folder := range folders {
		t.Run(folder, func(t *testing.T) {
			files, err := merger.Read(os.DirFS(folder))
			if err != nil {
				t.Fatal(err)
			}
			_, faults := checker.Check(files)
			goldie.New(t).Assert(t, strings.TrimSuffix(filepath.Base(folder), ".folder"), []byte(faults.Error()+"\n"))
		})
	}
}

var _ = Describe("Check", func() {
	It("accepts an empty folder", func() {
		cfg, faults := checker.Check(nil)
		Expect(faults).To(BeEmpty())
		Expect(cfg).NotTo(BeNil())
	})
})
