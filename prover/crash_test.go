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

// poison is the text that kills the stand-ins of these tests.
const poison = "divide by zero"

// prompt sends one prompt through entry i and returns how it ended.
func (f *fleet) prompt(i int, text string) reply {
	return f.call(i, http.MethodPost, "/v1/completions", "", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":8}`, text))
}

var _ = Describe("a request that crashes each engine", func() {
	It("is quarantined after two crashes at every entry, and the others end whole or with a code", func() {
		f := newFleet(GinkgoTB())
		for n := 1; n <= 3; n++ {
			f.engine(n, "--crash", poison, "--revive", "300ms")
		}
		f.reached(0, 1, 2, 3)
		f.served(1, "letters")
		var others sync.WaitGroup
		var r *loader.Report
		others.Go(func() {
			r = f.load(loader.Plan{Requests: 60, Rate: 10, Timeout: 20 * time.Second, Output: 40}, 0, 1)
		})
		Eventually(func() string {
			return f.prompt(0, poison).code
		}).WithPolling(time.Second).Should(Equal(fmt.Sprint(int(coder.Quarantined))))
		Eventually(func() string {
			return f.prompt(1, poison).code
		}).Should(Equal(fmt.Sprint(int(coder.Quarantined))))
		others.Wait()
		GinkgoWriter.Printf("others: %v\n", r.Codes())
		expectSettled(r)
		f.served(0, "letters")
		f.served(1, "letters")
	})
})
