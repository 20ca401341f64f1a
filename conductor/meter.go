package conductor

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
)

const (
	sampleSize  = 1028  // samples kept per histogram
	sampleAlpha = 0.015 // biases samples towards the last five minutes
)

// meter counts outcomes and keeps histograms per client account and length class: time
// to first token and inter-token gap in microseconds, and slowdown in hundredths of
// the time that the request would take on an idle target.
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

// gaps returns the inter-token gap histogram of a request, so that it is not looked up
// for each token.
func (m *meter) gaps(r *chainer.Request) metrics.Histogram { return m.histogram("between", r) }

func (m *meter) slowdown(r *chainer.Request, took, unloaded time.Duration) {
	if unloaded > 0 {
		m.histogram("slowdown", r).Update(int64(100 * took / unloaded))
	}
}

func (m *meter) histogram(name string, r *chainer.Request) metrics.Histogram {
	full := fmt.Sprintf("entry.%s.%s.%s", name, r.Account, r.Class)
	return m.registry.GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}
