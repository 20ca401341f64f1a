// Package defaulter gives the shells of a process the same defaults for what
// watches and times them.
package defaulter

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Fill sets what is nil: a log that discards its lines, a registry of its own,
// the clock of the system.
func Fill(log **logrus.Entry, registry *metrics.Registry, now *func() time.Time) {
	if *log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		*log = logrus.NewEntry(l)
	}
	if *registry == nil {
		*registry = metrics.NewRegistry()
	}
	if *now == nil {
		*now = time.Now
	}
}
