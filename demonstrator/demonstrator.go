// Package demonstrator runs a complete fleet in one process on loopback, sends it
// prompts of a thousand to a million tokens while it injects faults, and verifies
// that every request received its complete answer or a numbered error code in time.
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
	startTimeout   = 15 * time.Second
	loadRequests   = 160
	loadRate       = 14 // arrivals per second
	requestTimeout = 20 * time.Second
)

// Demonstrator is one run of the demo. The zero value uses seed zero and logs
// nothing.
type Demonstrator struct {
	Seed uint64
	Log  *logrus.Entry

	w     io.Writer
	start time.Time
	fleet *fleet
}

// Run runs the demo and writes progress and tables to w. It returns an error if any
// request was lost, answered after its deadline or incorrectly, or executed twice.
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
	d.printf("measuring each length class alone")
	unloaded := l.RunAlone(ctx, loader.Plan{Seed: d.Seed, Timeout: requestTimeout})
	d.printf("sending %d prompts of 1,000 to 1,000,000 tokens, %d a second, with faults", loadRequests, loadRate)
	report, pings, injectErr := d.loadWithFaults(ctx, l)
	if err := report.WriteTable(w, unloaded); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("the demo was not finished: %w", err)
	}
	return d.verify([]*loader.Report{unloaded, report}, pings, injectErr)
}

// prepare applies the configuration and waits until the entries are ready.
func (d *Demonstrator) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d.printf("3 keepers, 2 entries, %d engines and %d plain targets started", engineCount, plainCount)
	version, err := d.fleet.configure(ctx)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	d.printf("configuration %d accepted", version)
	if err := d.fleet.waitReady(ctx); err != nil {
		return fmt.Errorf("wait for readiness: %w", err)
	}
	d.printf("entries ready")
	return nil
}

// verify prints the failed requests and the results of the pings. It returns an error
// if any request or ping failed, or if faults could not be injected.
func (d *Demonstrator) verify(reports []*loader.Report, p *pings, injectErr error) error {
	unsettled := 0
	for _, r := range reports {
		for _, o := range r.Invalid() {
			unsettled++
			d.printf("request %d of %d tokens: late=%t wrong=%t %s", o.Number, o.Tokens, o.Late, o.Wrong, o.Detail)
		}
	}
	d.printf("pings: %d sent twice each, %d recorded, %d answered, %d refused or unknown", p.sent, p.recorded(d.fleet), p.answered, p.refused)
	switch {
	case injectErr != nil:
		return fmt.Errorf("inject faults: %w", injectErr)
	case unsettled > 0:
		return fmt.Errorf("%d requests were late, cut or wrong", unsettled)
	case p.duplicated(d.fleet) > 0:
		return fmt.Errorf("%d pings were recorded more than once", p.duplicated(d.fleet))
	case p.lost(d.fleet) > 0:
		return fmt.Errorf("%d answered pings were not recorded", p.lost(d.fleet))
	}
	d.printf("every request got its whole answer or a numbered code in time")
	return nil
}

// printf writes a progress line with the time since the start.
func (d *Demonstrator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// isAnswer reports whether text is the complete answer of the fake engine to the
// prompt.
func isAnswer(prompt string, output int, text string) bool {
	return text == faker.Answer(prompt, output)
}
