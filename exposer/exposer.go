// Package exposer writes metrics in the Prometheus text format, version 0.0.4.
package exposer

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix is the prefix of all metric names.
const prefix = "bramleyshunt_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Exposer serves the metrics of a registry over HTTP.
type Exposer struct {
	Registry metrics.Registry
}

// ServeHTTP writes the current values.
func (e *Exposer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = e.Write(w) // a scraper that has disconnected retries
}

// Write writes the current values sorted by metric name.
func (e *Exposer) Write(w io.Writer) error {
	all := map[string]any{}
	e.Registry.Each(func(name string, v any) { all[name] = v })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if err := write(w, name, all[name]); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

func write(w io.Writer, name string, v any) error {
	id, labels := nameAndLabels(name)
	var err error
	switch m := v.(type) {
	case metrics.Counter:
		_, err = fmt.Fprintf(w, "%s%s %d\n", id, formatLabels(labels), m.Count())
	case metrics.Gauge:
		_, err = fmt.Fprintf(w, "%s%s %d\n", id, formatLabels(labels), m.Value())
	case metrics.GaugeFloat64:
		_, err = fmt.Fprintf(w, "%s%s %g\n", id, formatLabels(labels), m.Value())
	case metrics.Histogram:
		h := m.Snapshot()
		for i, x := range h.Percentiles(quantiles) {
			with := append(slices.Clone(labels), fmt.Sprintf("quantile=\"%g\"", quantiles[i]))
			if _, err = fmt.Fprintf(w, "%s%s %g\n", id, formatLabels(with), x); err != nil {
				return err
			}
		}
		_, err = fmt.Fprintf(w, "%s_sum%s %d\n%s_count%s %d\n", id, formatLabels(labels), h.Sum(), id, formatLabels(labels), h.Count())
	}
	return err
}

// nameAndLabels returns the metric name and labels for a name in the registry.
// Histograms of an entry are named entry.NAME.ACCOUNT.CLASS, where ACCOUNT may contain
// dots.
func nameAndLabels(name string) (string, []string) {
	parts := strings.Split(name, ".")
	if len(parts) < 4 || parts[0] != "entry" || parts[1] == "code" || parts[1] == "attempt" {
		return prefix + sanitize(name), nil
	}
	last := len(parts) - 1
	return prefix + sanitize(parts[0]+"."+parts[1]), []string{
		fmt.Sprintf("account=%q", strings.Join(parts[2:last], ".")), fmt.Sprintf("class=%q", parts[last]),
	}
}

func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

func formatLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}
