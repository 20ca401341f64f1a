package conductor

import (
	"context"
	"time"

	"bramleyshunt/replicator"
	"bramleyshunt/sleeper"
	"bramleyshunt/switcher"
)

const (
	// startupHoldLimit bounds the time from the start of the process during which
	// requests are held until the first confirmed view. Keepers that start at the same
	// moment elect a leader within two election timeouts, and the view follows
	// right after.
	startupHoldLimit = 2*replicator.DefaultElectionTimeout + time.Second
	// maxHoldFraction bounds the part of its remaining time for which a request is
	// held, so that enough is left to serve it or to retry it at another process.
	maxHoldFraction = 0.5
	// maxHeldRequests bounds the requests that are held concurrently.
	maxHeldRequests = 1024
	// readyPollInterval is the time between two readiness checks of a held request.
	readyPollInterval = 10 * time.Millisecond
)

// AwaitReady returns nil once new requests are accepted. A process that has just
// started holds requests until its first view, for at most startupHoldLimit or, if the
// request's remaining time is known, maxHoldFraction of that. In all other cases
// AwaitReady returns the error of Ready. Zero remaining time means unknown.
func (cd *Conductor) AwaitReady(ctx context.Context, remaining time.Duration) error {
	err := cd.Ready()
	if err == nil || !cd.starting() || cd.cfg.Disabled.Off(switcher.HoldAtStart) {
		return err
	}
	if cd.heldRequests.Add(1) > maxHeldRequests {
		cd.heldRequests.Add(-1)
		return err
	}
	defer cd.heldRequests.Add(-1)
	cd.meter.count("held")
	until := cd.cfg.Now().Add(startupHoldLimit)
	if remaining > 0 {
		until = cd.cfg.Now().Add(time.Duration(maxHoldFraction * float64(remaining)))
	}
	for err != nil && cd.starting() && cd.cfg.Now().Before(until) {
		if sleeper.Sleep(ctx, readyPollInterval) != nil {
			return err
		}
		err = cd.Ready()
	}
	if err != nil {
		return cd.Ready() // another request may have found the process ready since err was returned
	}
	return nil
}

// starting reports whether the process still waits for its first view after a start.
func (cd *Conductor) starting() bool {
	cd.mu.Lock()
	leaving := cd.leaving
	cd.mu.Unlock()
	return !leaving && !cd.wasReady.Load() && cd.cfg.Now().Sub(cd.started) < startupHoldLimit
}
