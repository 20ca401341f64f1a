package keeper

import "github.com/rcrowley/go-metrics"

const sampleSize = 1028

// keeperMetrics holds the metrics of one keeper.
type keeperMetrics struct {
	sent         metrics.Counter
	dropped      metrics.Counter // messages dropped because a peer's queue was full
	syncs        metrics.Counter
	applied      metrics.Counter
	batchEntries metrics.Histogram // entries per append to the log
}

func newMetrics(r metrics.Registry) keeperMetrics {
	return keeperMetrics{
		sent:         metrics.GetOrRegisterCounter("keeper.sent", r),
		dropped:      metrics.GetOrRegisterCounter("keeper.dropped", r),
		syncs:        metrics.GetOrRegisterCounter("keeper.syncs", r),
		applied:      metrics.GetOrRegisterCounter("keeper.applied", r),
		batchEntries: metrics.GetOrRegisterHistogram("keeper.batch", r, metrics.NewUniformSample(sampleSize)),
	}
}
