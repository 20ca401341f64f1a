package prover_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/loader"
)

// crashText is the text that crashes the fake engines of these tests.
const crashText = "divide by zero"

// prompt sends one prompt through entry i and returns its outcome.
func (f *fleet) prompt(i int, text string) reply {
	return f.call(i, http.MethodPost, "/v1/completions", "", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":8}`, text))
}

var _ = Describe("A request that crashes every engine", func() {
	It("is quarantined at every entry after two crashes, and other requests are answered or end with a code", func() {
		f := newFleet(GinkgoTB())
		for n := 1; n <= 3; n++ {
			f.engine(n, "--crash", crashText, "--revive", "300ms")
		}
		f.waitReached(0, 1, 2, 3)
		f.waitServed(1, "letters")
		var wg sync.WaitGroup
		var report *loader.Report
		wg.Go(func() {
			report = f.load(loader.Plan{Requests: 60, Rate: 10, Timeout: 20 * time.Second, Output: 40}, 0, 1)
		})
		Eventually(func() string {
			return f.prompt(0, crashText).code
		}).WithPolling(time.Second).Should(Equal(fmt.Sprint(int(coder.Quarantined))))
		Eventually(func() string {
			return f.prompt(1, crashText).code
		}).Should(Equal(fmt.Sprint(int(coder.Quarantined))))
		wg.Wait()
		GinkgoWriter.Printf("other requests: %v\n", report.Codes())
		expectSettled(report)
		f.waitServed(0, "letters")
		f.waitServed(1, "letters")
	})
})
