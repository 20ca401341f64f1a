package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/loader"
	"bramleyshunt/sleeper"
)

// fault is one failure injected during the load.
type fault struct {
	after  time.Duration // since the start of the load
	title  string        // printed
	inject func(context.Context, *Demonstrator) error
}

var faults = []fault{
	{1500 * time.Millisecond, "engine-1 killed in mid-stream", killEngine},
	{3 * time.Second, "leading keeper stopped", stopLeader},
	{4 * time.Second, "configuration changed during the election", changeConfig},
	{5 * time.Second, "engine-1 restarted with empty memory", restartEngine},
	{6 * time.Second, "connections of engine-2 went silent", stallEngine},
	{7 * time.Second, "agent of engine-3 stopped without warning", stopAgent},
	{8 * time.Second, "engine-4 frozen for a second", freezeEngine},
}

const (
	changeTimeout  = 9 * time.Second
	freezeDuration = time.Second
)

// loadWithFaults sends the load and the pings while it injects the faults. It also
// returns the errors of the injection.
func (d *Demonstrator) loadWithFaults(ctx context.Context, l *loader.Loader) (*loader.Report, *pings, error) {
	var (
		wg        conc.WaitGroup
		report    *loader.Report
		p         = &pings{}
		injectErr error
	)
	wg.Go(func() {
		report = l.Run(ctx, loader.Plan{Seed: d.Seed + faultSeedOffset, Requests: loadRequests, Rate: loadRate, Timeout: requestTimeout})
	})
	wg.Go(func() { p.send(ctx, d.fleet) })
	wg.Go(func() { injectErr = d.inject(ctx) })
	wg.Wait()
	return report, p, injectErr
}

// faultSeedOffset separates the seeds of the load with faults from those of the
// measurement of each length class alone.
const faultSeedOffset = 1000

// inject injects the faults in order, each at its time, and returns their errors.
func (d *Demonstrator) inject(ctx context.Context) error {
	start := time.Now()
	var errs []error
	for _, f := range faults {
		if err := sleeper.Sleep(ctx, time.Until(start.Add(f.after))); err != nil {
			return err
		}
		d.printf("fault: %s", f.title)
		if err := f.inject(ctx, d); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.title, err))
		}
	}
	return errors.Join(errs...)
}

func killEngine(_ context.Context, d *Demonstrator) error {
	d.fleet.engines[0].Kill()
	return nil
}

func restartEngine(_ context.Context, d *Demonstrator) error {
	return d.fleet.engines[0].Restart()
}

func stallEngine(_ context.Context, d *Demonstrator) error {
	d.fleet.engines[1].StallConnections()
	return nil
}

func stopAgent(_ context.Context, d *Demonstrator) error {
	d.fleet.agents[2].stop()
	return nil
}

func freezeEngine(ctx context.Context, d *Demonstrator) error {
	e := d.fleet.engines[3]
	e.Freeze()
	defer e.Unfreeze()
	return sleeper.Sleep(ctx, freezeDuration)
}

func stopLeader(_ context.Context, d *Demonstrator) error {
	k := d.fleet.leader()
	if k == nil {
		return errors.New("no keeper leads")
	}
	k.stop()
	d.printf("%s stopped", k.node)
	return nil
}

// changeConfig applies a configuration change while the keepers elect a leader, and
// waits until it is in force at both entries.
func changeConfig(ctx context.Context, d *Demonstrator) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	folder := filepath.Join(d.fleet.folder, "config")
	file := filepath.Join(folder, "30-race-night.jsonc")
	if err := os.WriteFile(file, []byte(`{"accounts": {"crews": {"share": 8}}}`), 0o600); err != nil {
		return fmt.Errorf("write change: %w", err)
	}
	started := time.Now()
	version, err := d.fleet.apply(ctx, folder, bearerTokens["OFFICE"])
	if err != nil {
		return err
	}
	accepted := time.Since(started)
	for _, e := range d.fleet.entries {
		for e.runner.Version() < version {
			if sleeper.Sleep(ctx, pollInterval) != nil {
				return fmt.Errorf("version %d is not in force at %s", version, e.node)
			}
		}
	}
	d.printf("configuration %d accepted after %.2fs, in force everywhere after %.2fs", version, accepted.Seconds(), time.Since(started).Seconds())
	return nil
}
