// Package demonstrator runs a whole fleet in one process on loopback, sends it
// prompts of a thousand to a million tokens while it injects faults, and judges
// whether every request got its whole answer or a numbered code in time.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/faker"
	"bramleyshunt/loader"
)

const (
	startBound   = 15 * time.Second
	loadRequests = 160
	loadRate     = 14 // arrivals a second
	timeout      = 20 * time.Second
)

// Demonstrator is one run of the demo. The zero value runs with seed zero and
// logs nothing.
type Demonstrator struct {
	Seed uint64
	Log  *logrus.Entry

	w     io.Writer
	start time.Time
	fleet *fleet
}

// Run runs the demo and writes progress and tables to w. It returns an error
// if any request was lost, late, wrong or doubled.
func (d *Demonstrator) Run(ctx context.Context, w io.Writer) error {
	d.w, d.start = w, time.Now()
	f, closer, err := newFleet(d.Log)
	if err != nil {
		return err
	}
	defer closer()
	d.fleet = f
	if err := d.prepare(ctx); err != nil {
		return err
	}
	l := f.loader()
	d.say("measuring each length class alone")
	alone := l.RunAlone(ctx, loader.Plan{Seed: d.Seed, Timeout: timeout})
	d.say("sending %d prompts of 1,000 to 1,000,000 tokens, %d a second, with faults", loadRequests, loadRate)
	report, pings, faults := d.loadWithFaults(ctx, l)
	if err := report.WriteTable(w, alone); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("the demo was not finished: %w", err)
	}
	return d.judge([]*loader.Report{alone, report}, pings, faults)
}

func (d *Demonstrator) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	d.say("3 keepers, 2 entries, %d engines and %d plain targets started", engineCount, plainCount)
	version, err := d.fleet.configure(ctx)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	d.say("configuration %d accepted", version)
	if err := d.fleet.ready(ctx); err != nil {
		return fmt.Errorf("wait for readiness: %w", err)
	}
	d.say("entries ready")
	return nil
}

func (d *Demonstrator) judge(reports []*loader.Report, p *pings, faults error) error {
	bad := 0
	for _, r := range reports {
		for _, o := range r.Invalid() {
			bad++
			d.say("request %d of %d tokens: late=%t wrong=%t %s", o.Number, o.Tokens, o.Late, o.Wrong, o.Detail)
		}
	}
	d.say("pings: %d sent twice each, %d recorded, %d answered, %d refused or unknown", p.sent, p.recorded(d.fleet), p.answered, p.refused)
	switch {
	case faults != nil:
		return fmt.Errorf("inject faults: %w", faults)
	case bad > 0:
		return fmt.Errorf("%d requests were late, cut or wrong", bad)
	case p.doubled(d.fleet) > 0:
		return fmt.Errorf("%d pings were recorded more than once", p.doubled(d.fleet))
	case p.lost(d.fleet) > 0:
		return fmt.Errorf("%d answered pings were not recorded", p.lost(d.fleet))
	}
	d.say("every request got its whole answer or a numbered code in time")
	return nil
}

// say writes a line of progress with the time since the start.
func (d *Demonstrator) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// whole reports whether text is the stand-in's own answer to the prompt.
func whole(prompt string, output int, text string) bool {
	return text == faker.Answer(prompt, output)
}
