package conductor

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
)

const (
	reservoir = 1028  // samples kept of a histogram
	decay     = 0.015 // towards the last five minutes
)

// meter counts outcomes and keeps the histograms per client account and length
// class: time to first token and between tokens in microseconds, slowdown in
// hundredths of the time that the request would take alone.
type meter struct {
	registry metrics.Registry
}

func (m *meter) code(c coder.Code) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("entry.code.%d", c), m.registry).Inc(1)
}

func (m *meter) count(name string) {
	metrics.GetOrRegisterCounter("entry."+name, m.registry).Inc(1)
}

func (m *meter) first(r *chainer.Request, d time.Duration) {
	m.histogram("first", r).Update(d.Microseconds())
}

// between returns the histogram of a request's gaps, so that none is looked up
// for each token.
func (m *meter) between(r *chainer.Request) metrics.Histogram { return m.histogram("between", r) }

func (m *meter) slowdown(r *chainer.Request, took, alone time.Duration) {
	if alone > 0 {
		m.histogram("slowdown", r).Update(int64(100 * took / alone))
	}
}

func (m *meter) histogram(name string, r *chainer.Request) metrics.Histogram {
	full := fmt.Sprintf("entry.%s.%s.%s", name, r.Account, r.Class)
	return m.registry.GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
	}).(metrics.Histogram)
}
