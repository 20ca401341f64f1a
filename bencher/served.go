package bencher

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Served is what a fleet's run measured.
type Served struct {
	Site  Site
	calls []*call
}

// Add takes the calls of another run in.
func (s *Served) Add(o *Served) { s.calls = append(s.calls, o.calls...) }

// Worth returns the share of all calls' worth that was earned.
func (s *Served) Worth() float64 {
	return s.worth(func(*call) bool { return true })
}

// WorthOf returns the same of one kind of request.
func (s *Served) WorthOf(kind int) float64 {
	return s.worth(func(c *call) bool { return c.kind == kind })
}

func (s *Served) worth(keep func(*call) bool) float64 {
	got, all := 0.0, 0.0
	for _, c := range s.calls {
		if !keep(c) {
			continue
		}
		all += c.traffic.Worth
		switch {
		case c.inTime():
			got += c.traffic.Worth
		case c.whole:
			got += c.traffic.Late
		}
	}
	return got / max(all, 1)
}

func (c *call) inTime() bool {
	return c.whole && c.first <= c.traffic.Aim && c.gap <= c.traffic.Gap
}

// First returns a percentile of the time to the first event of a kind of request.
func (s *Served) First(kind int, p float64) time.Duration {
	return s.percentile(kind, p, func(c *call) time.Duration { return c.first })
}

// Pause returns a percentile of the longest pause of a kind's answers.
func (s *Served) Pause(kind int, p float64) time.Duration {
	return s.percentile(kind, p, func(c *call) time.Duration { return c.gap })
}

func (s *Served) percentile(kind int, p float64, of func(*call) time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range s.calls {
		if c.kind == kind && c.whole {
			all = append(all, of(c))
		}
	}
	slices.Sort(all)
	return percentile(all, p)
}

// share returns the share of a kind's calls that is kept.
func (s *Served) share(kind int, keep func(*call) bool) float64 {
	n, all := 0, 0
	for _, c := range s.calls {
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

// Row returns one line of a table.
func (s *Served) Row(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %.3f |", name, s.Worth())
	for k := range s.Site.Traffic {
		fmt.Fprintf(&b, " %.0f | %d, %d | %d, %d | %.0f, %.0f, %.1f |", 100*s.share(k, (*call).inTime),
			s.First(k, 0.5).Milliseconds(), s.First(k, 0.95).Milliseconds(),
			s.Pause(k, 0.5).Milliseconds(), s.Pause(k, 0.95).Milliseconds(),
			100*s.share(k, func(c *call) bool { return c.whole && c.first > c.traffic.Aim }),
			100*s.share(k, func(c *call) bool { return c.whole && c.gap > c.traffic.Gap }),
			100*s.share(k, func(c *call) bool { return !c.whole }))
	}
	return b.String()
}

// Head returns the head of the table that Row fills.
func (s Site) Head() string {
	var b strings.Builder
	b.WriteString("| policy | worth |")
	for _, t := range s.Traffic {
		fmt.Fprintf(&b, " %s in time %% | first p50, p95 ms | pause p50, p95 ms | late first, late pause, not served %% |", t.Name)
	}
	b.WriteString("\n|" + strings.Repeat("---|", 2+4*len(s.Traffic)))
	return b.String()
}
