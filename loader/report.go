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

// Report is how a load went.
type Report struct {
	Outcomes []Outcome
	Took     time.Duration
}

// Summary is one line of the table: the requests of one length class.
// Durations are in milliseconds.
type Summary struct {
	Class    string  `json:"class"`
	Sent     int     `json:"sent"`
	Whole    int     `json:"whole"`
	Refused  int     `json:"refused"` // answered with a numbered code
	Bad      int     `json:"bad"`     // late, cut or wrong
	First50  float64 `json:"first50"` // time to first token
	First95  float64 `json:"first95"`
	First99  float64 `json:"first99"`
	Gap95    float64 `json:"gap95"`    // time between tokens
	Slowdown float64 `json:"slowdown"` // 95th percentile of time to first token over Alone
	Alone    float64 `json:"alone"`    // median time to first token of the class alone
}

// Unsettled returns the requests that were late, cut or wrong.
func (r *Report) Unsettled() []Outcome {
	var bad []Outcome
	for _, o := range r.Outcomes {
		if !o.Settled() {
			bad = append(bad, o)
		}
	}
	return bad
}

// Codes counts the outcomes by code.
func (r *Report) Codes() map[coder.Code]int {
	n := map[coder.Code]int{}
	for _, o := range r.Outcomes {
		n[o.Code]++
	}
	return n
}

// Median returns the median time to first token of a class; zero if none came.
func (r *Report) Median(c messenger.Class) time.Duration {
	return time.Duration(r.first(c).Percentile(0.5))
}

// Summaries returns a line for each class that was sent. Slowdowns are taken
// against alone, which may be nil.
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
		case !o.Settled():
			s.Bad++
		case o.Code != coder.OK:
			s.Refused++
		default:
			s.Whole++
		}
	}
	first := r.first(c)
	s.First50, s.First95, s.First99 = millis(first, 0.5), millis(first, 0.95), millis(first, 0.99)
	s.Gap95 = millis(r.gaps(c), 0.95)
	if alone != nil {
		s.Alone = millis(alone.first(c), 0.5)
	}
	if s.Alone > 0 {
		s.Slowdown = s.First95 / s.Alone
	}
	return s
}

func (r *Report) first(c messenger.Class) metrics.Histogram {
	return r.histogram(c, func(o *Outcome) []time.Duration {
		if o.First == 0 {
			return nil
		}
		return []time.Duration{o.First}
	})
}

func (r *Report) gaps(c messenger.Class) metrics.Histogram {
	return r.histogram(c, func(o *Outcome) []time.Duration { return o.Gaps })
}

func (r *Report) histogram(c messenger.Class, of func(*Outcome) []time.Duration) metrics.Histogram {
	var all []time.Duration
	for i := range r.Outcomes {
		if r.Outcomes[i].Class == c {
			all = append(all, of(&r.Outcomes[i])...)
		}
	}
	h := metrics.NewHistogram(metrics.NewUniformSample(max(len(all), 1)))
	for _, d := range all {
		h.Update(int64(d))
	}
	return h
}

func millis(h metrics.Histogram, p float64) float64 {
	return h.Percentile(p) / float64(time.Millisecond)
}

// WriteTable writes the summaries as an aligned table.
func (r *Report) WriteTable(w io.Writer, alone *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\tsent\twhole\trefused\tbad\tfirst p50 ms\tp95\tp99\tgap p95 ms\talone ms\tslowdown p95\t")
	for _, s := range r.Summaries(alone) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n", s.Class, s.Sent, s.Whole,
			s.Refused, s.Bad, s.First50, s.First95, s.First99, s.Gap95, s.Alone, s.Slowdown)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return r.writeCodes(w)
}

func (r *Report) writeCodes(w io.Writer) error {
	n := r.Codes()
	for _, c := range coder.All() {
		if n[c] == 0 || c == coder.OK {
			continue
		}
		if _, err := fmt.Fprintf(w, "code %d %s: %d\n", c, c.Title(), n[c]); err != nil {
			return fmt.Errorf("write codes: %w", err)
		}
	}
	return nil
}

// WriteJSON writes the summaries, codes and time taken as one JSON object.
func (r *Report) WriteJSON(w io.Writer, alone *Report) error {
	codes := map[string]int{}
	for c, n := range r.Codes() {
		codes[c.String()] = n
	}
	out := struct {
		Took    float64        `json:"took"` // seconds
		Classes []Summary      `json:"classes"`
		Codes   map[string]int `json:"codes"`
	}{r.Took.Seconds(), r.Summaries(alone), codes}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(out); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
