package exposer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/exposer"
)

func TestExposer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exposer")
}

var _ = Describe("metrics in text format", func() {
	It("include counters, gauges, and histograms labelled by account and class", func() {
		r := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("entry.code.2012", r).Inc(3)
		metrics.GetOrRegisterGauge("watcher.version", r).Update(7)
		h := metrics.NewHistogram(metrics.NewUniformSample(10))
		Expect(r.Register("entry.first.a.b.Short", h)).To(Succeed())
		h.Update(5)
		var out strings.Builder
		e := exposer.Exposer{Registry: r}
		Expect(e.Write(&out)).To(Succeed())
		Expect(out.String()).To(Equal(`bramleyshunt_entry_code_2012 3
bramleyshunt_entry_first{account="a.b",class="Short",quantile="0.5"} 5
bramleyshunt_entry_first{account="a.b",class="Short",quantile="0.95"} 5
bramleyshunt_entry_first{account="a.b",class="Short",quantile="0.99"} 5
bramleyshunt_entry_first_sum{account="a.b",class="Short"} 5
bramleyshunt_entry_first_count{account="a.b",class="Short"} 1
bramleyshunt_watcher_version 7
`))
	})
})
