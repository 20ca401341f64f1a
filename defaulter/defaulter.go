// Package defaulter provides the default logger, metrics registry and clock for the
// components of a process.
package defaulter

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Fill replaces nil arguments: by a logger that discards its output, a new registry
// and the system clock.
func Fill(log **logrus.Entry, registry *metrics.Registry, now *func() time.Time) {
	if *log == nil {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		*log = logrus.NewEntry(logger)
	}
	if *registry == nil {
		*registry = metrics.NewRegistry()
	}
	if *now == nil {
		*now = time.Now
	}
}
