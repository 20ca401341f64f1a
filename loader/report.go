package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Report holds the outcomes of a load.
type Report struct {
	Outcomes []Outcome
	Duration time.Duration
}

// Summary summarises the requests of one length class. Durations are in milliseconds.
type Summary struct {
	Class       string  `json:"class"`
	Sent        int     `json:"sent"`
	Complete    int     `json:"whole"`
	Refused     int     `json:"refused"` // ended with a numbered code
	Invalid     int     `json:"bad"`     // late, incomplete or wrong
	TTFT50      float64 `json:"first50"` // time to first token (TTFT), 50th percentile
	TTFT95      float64 `json:"first95"`
	TTFT99      float64 `json:"first99"`
	Gap95       float64 `json:"gap95"`    // inter-token gap, 95th percentile
	Slowdown    float64 `json:"slowdown"` // TTFT95 divided by AloneTTFT50
	AloneTTFT50 float64 `json:"alone"`    // median TTFT without concurrent requests
}

// Invalid returns the outcomes of requests that were late, incomplete or wrong.
func (r *Report) Invalid() []Outcome {
	var invalid []Outcome
	for _, o := range r.Outcomes {
		if !o.Valid() {
			invalid = append(invalid, o)
		}
	}
	return invalid
}

// Codes counts the outcomes by code.
func (r *Report) Codes() map[coder.Code]int {
	counts := map[coder.Code]int{}
	for _, o := range r.Outcomes {
		counts[o.Code]++
	}
	return counts
}

// MedianTTFT returns the median time to first token of a class, or zero if there was none.
func (r *Report) MedianTTFT(c messenger.Class) time.Duration {
	return time.Duration(r.ttfts(c).Percentile(0.5))
}

// Summaries returns a summary for each class that was sent. Slowdowns are relative to
// alone, the report of Loader.RunAlone, which may be nil.
func (r *Report) Summaries(alone *Report) []Summary {
	var all []Summary
	for c := messenger.Short; c < messenger.Classes; c++ {
		if s := r.summary(c, alone); s.Sent > 0 {
			all = append(all, s)
		}
	}
	return all
}

func (r *Report) summary(c messenger.Class, alone *Report) Summary {
	s := Summary{Class: c.String()}
	for _, o := range r.Outcomes {
		if o.Class != c {
			continue
		}
		s.Sent++
		switch {
		case !o.Valid():
			s.Invalid++
		case o.Code != coder.OK:
			s.Refused++
		default:
			s.Complete++
		}
	}
	ttft := r.ttfts(c)
	s.TTFT50, s.TTFT95, s.TTFT99 = percentileMillis(ttft, 0.5), percentileMillis(ttft, 0.95), percentileMillis(ttft, 0.99)
	s.Gap95 = percentileMillis(r.gaps(c), 0.95)
	if alone != nil {
		s.AloneTTFT50 = percentileMillis(alone.ttfts(c), 0.5)
	}
	if s.AloneTTFT50 > 0 {
		s.Slowdown = s.TTFT95 / s.AloneTTFT50
	}
	return s
}

func (r *Report) ttfts(c messenger.Class) metrics.Histogram {
	return r.histogram(c, func(o *Outcome) []time.Duration {
		if o.TTFT == 0 {
			return nil
		}
		return []time.Duration{o.TTFT}
	})
}

func (r *Report) gaps(c messenger.Class) metrics.Histogram {
	return r.histogram(c, func(o *Outcome) []time.Duration { return o.Gaps })
}

func (r *Report) histogram(c messenger.Class, durations func(*Outcome) []time.Duration) metrics.Histogram {
	var all []time.Duration
	for i := range r.Outcomes {
		if r.Outcomes[i].Class == c {
			all = append(all, durations(&r.Outcomes[i])...)
		}
	}
	h := metrics.NewHistogram(metrics.NewUniformSample(max(len(all), 1)))
	for _, d := range all {
		h.Update(int64(d))
	}
	return h
}

// percentileMillis returns a percentile of a histogram of nanoseconds in milliseconds.
func percentileMillis(h metrics.Histogram, p float64) float64 {
	return h.Percentile(p) / float64(time.Millisecond)
}

// WriteTable writes the summaries as an aligned table, followed by the count of each
// error code. See Summaries for alone.
func (r *Report) WriteTable(w io.Writer, alone *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\tsent\twhole\trefused\tbad\tfirst p50 ms\tp95\tp99\tgap p95 ms\talone ms\tslowdown p95\t")
	for _, s := range r.Summaries(alone) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n", s.Class, s.Sent, s.Complete,
			s.Refused, s.Invalid, s.TTFT50, s.TTFT95, s.TTFT99, s.Gap95, s.AloneTTFT50, s.Slowdown)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return r.writeCodes(w)
}

func (r *Report) writeCodes(w io.Writer) error {
	counts := r.Codes()
	for _, c := range coder.All() {
		if counts[c] == 0 || c == coder.OK {
			continue
		}
		if _, err := fmt.Fprintf(w, "code %d %s: %d\n", c, c.Title(), counts[c]); err != nil {
			return fmt.Errorf("write codes: %w", err)
		}
	}
	return nil
}

// WriteJSON writes the summaries, the counts of codes and the duration of the load as a
// JSON object. See Summaries for alone.
func (r *Report) WriteJSON(w io.Writer, alone *Report) error {
	codes := map[string]int{}
	for c, n := range r.Codes() {
		codes[c.String()] = n
	}
	out := struct {
		Duration float64        `json:"took"` // seconds
		Classes  []Summary      `json:"classes"`
		Codes    map[string]int `json:"codes"`
	}{r.Duration.Seconds(), r.Summaries(alone), codes}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(out); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
