package bencher

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FleetResult holds the calls of one or several runs of a Fleet.
type FleetResult struct {
	Site    Site
	Faults  FaultCounts
	Crashes CrashCounts
	calls   []*call   // but those with the part that crashes targets
	runs    [][]*call // calls by run
}

// Add appends the calls of another result.
func (r *FleetResult) Add(o *FleetResult) {
	r.calls = append(r.calls, o.calls...)
	r.runs = append(r.runs, o.runs...)
	r.Faults.add(o.Faults)
	r.Crashes.add(o.Crashes)
}

// Worth returns the earned fraction of the total worth of all calls. An answer that is
// complete but misses an objective earns Traffic.LateWorth.
func (r *FleetResult) Worth() float64 {
	return r.worth(func(*call) bool { return true })
}

// Served returns the fraction of the calls whose answer is complete, in time or late.
func (r *FleetResult) Served() float64 {
	n := 0
	for _, c := range r.calls {
		if c.complete {
			n++
		}
	}
	return float64(n) / float64(max(1, len(r.calls)))
}

// WorthOf returns the earned fraction for one kind of request, an index in Site.Traffic.
func (r *FleetResult) WorthOf(kind int) float64 {
	return r.worth(func(c *call) bool { return c.kind == kind })
}

func (r *FleetResult) worth(keep func(*call) bool) float64 {
	earned, all := 0.0, 0.0
	for _, c := range r.calls {
		if keep(c) {
			earned += c.earned()
			all += c.worth()
		}
	}
	return earned / max(all, 1)
}

// worth returns the worth of the call if it is answered in time.
func (c *call) worth() float64 { return c.traffic.Worth * c.traffic.sizeFactor(c.prompt) }

// earned returns the worth that the call's outcome earns.
func (c *call) earned() float64 {
	switch {
	case c.inTime():
		return c.worth()
	case c.complete:
		return c.traffic.LateWorth * c.traffic.sizeFactor(c.prompt)
	default:
		return 0
	}
}

const (
	windowLength = 2 * time.Second
	worstWindows = 2 // number of windows that WorstWindows averages
)

// WorstWindows returns the mean, over the runs, of the fraction of the worth that is earned
// in the worst windows of a run, by arrival.
func (r *FleetResult) WorstWindows() float64 {
	sum := 0.0
	for _, calls := range r.runs {
		earned, all := map[time.Duration]float64{}, map[time.Duration]float64{}
		for _, c := range calls {
			earned[c.at/windowLength] += c.earned()
			all[c.at/windowLength] += c.worth()
		}
		var shares []float64
		for w := range all {
			shares = append(shares, earned[w]/all[w])
		}
		slices.Sort(shares)
		n := min(worstWindows, len(shares))
		for _, s := range shares[:n] {
			sum += s / float64(n*len(r.runs))
		}
	}
	return sum
}

// inTime reports whether the answer is complete and met both objectives.
func (c *call) inTime() bool {
	return c.complete && c.ttft <= c.traffic.Objective && c.maxGap <= c.traffic.MaxGap
}

// TTFT returns a percentile of the time to the first event over the complete answers to
// one kind of request; p is between 0 and 1.
func (r *FleetResult) TTFT(kind int, p float64) time.Duration {
	return r.percentile(kind, p, func(c *call) time.Duration { return c.ttft })
}

// Gap returns a percentile of the longest gap between events in each complete answer to
// one kind of request; p is between 0 and 1.
func (r *FleetResult) Gap(kind int, p float64) time.Duration {
	return r.percentile(kind, p, func(c *call) time.Duration { return c.maxGap })
}

func (r *FleetResult) percentile(kind int, p float64, of func(*call) time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range r.calls {
		if c.kind == kind && c.complete {
			all = append(all, of(c))
		}
	}
	slices.Sort(all)
	return percentile(all, p)
}

// share returns the fraction of the calls of one kind for which keep returns true.
func (r *FleetResult) share(kind int, keep func(*call) bool) float64 {
	n, all := 0, 0
	for _, c := range r.calls {
		if c.kind != kind {
			continue
		}
		all++
		if keep(c) {
			n++
		}
	}
	return float64(n) / float64(max(1, all))
}

// Row returns a row of a Markdown table. Times are in milliseconds, shares in percent.
func (r *FleetResult) Row(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %.3f | %.3f |", name, r.Worth(), r.WorstWindows())
	for k := range r.Site.Traffic {
		fmt.Fprintf(&b, " %.0f | %d, %d | %d, %d | %.0f, %.0f, %.1f |", 100*r.share(k, (*call).inTime),
			r.TTFT(k, 0.5).Milliseconds(), r.TTFT(k, 0.95).Milliseconds(),
			r.Gap(k, 0.5).Milliseconds(), r.Gap(k, 0.95).Milliseconds(),
			100*r.share(k, func(c *call) bool { return c.complete && c.ttft > c.traffic.Objective }),
			100*r.share(k, func(c *call) bool { return c.complete && c.maxGap > c.traffic.MaxGap }),
			100*r.share(k, func(c *call) bool { return !c.complete }))
	}
	return b.String()
}

// TableHeader returns the header of the table that FleetResult.Row fills.
func (s Site) TableHeader() string {
	var b strings.Builder
	b.WriteString("| policy | worth | worst windows |")
	for _, t := range s.Traffic {
		fmt.Fprintf(&b, " %s in time %% | first p50, p95 ms | pause p50, p95 ms | late first, late pause, not served %% |", t.Name)
	}
	b.WriteString("\n|" + strings.Repeat("---|", 3+4*len(s.Traffic)))
	return b.String()
}
