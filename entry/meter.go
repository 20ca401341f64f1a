package entry

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

func (m *meter) first(r *chainer.Request, d time.Duration) { m.update("first", r, d.Microseconds()) }

func (m *meter) between(r *chainer.Request, d time.Duration) {
	m.update("between", r, d.Microseconds())
}

func (m *meter) slowdown(r *chainer.Request, took, alone time.Duration) {
	if alone > 0 {
		m.update("slowdown", r, int64(100*took/alone))
	}
}

func (m *meter) update(name string, r *chainer.Request, v int64) {
	full := fmt.Sprintf("entry.%s.%s.%s", name, r.Account, r.Class)
	h := m.registry.GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
	}).(metrics.Histogram)
	h.Update(v)
}
