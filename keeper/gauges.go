package keeper

import "github.com/rcrowley/go-metrics"

const sampleSize = 1028

// gauges counts what a keeper does.
type gauges struct {
	sent    metrics.Counter
	dropped metrics.Counter // messages to peers that don't keep up
	syncs   metrics.Counter
	applied metrics.Counter
	batch   metrics.Histogram // entries written with one sync
}

func newGauges(r metrics.Registry) gauges {
	return gauges{
		sent:    metrics.GetOrRegisterCounter("keeper.sent", r),
		dropped: metrics.GetOrRegisterCounter("keeper.dropped", r),
		syncs:   metrics.GetOrRegisterCounter("keeper.syncs", r),
		applied: metrics.GetOrRegisterCounter("keeper.applied", r),
		batch:   metrics.GetOrRegisterHistogram("keeper.batch", r, metrics.NewUniformSample(sampleSize)),
	}
}
