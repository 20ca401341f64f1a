package conductor

import (
	"context"
	"time"

	"bramleyshunt/replicator"
	"bramleyshunt/sleeper"
)

const (
	// startLimit is how long after its start a process holds requests until it has a
	// confirmed view: keepers that start at the same moment elect a leader within two
	// election timeouts, and the view comes right after.
	startLimit = 2*replicator.DefaultElectionTimeout + time.Second
	// heldShare of its time left a request is held at most, so that enough is left to
	// serve it or to try elsewhere.
	heldShare = 0.5
	// mostHeld bounds the requests that are held at once.
	mostHeld = 1024
	// heldEvery is the time between two looks at whether the process is ready.
	heldEvery = 10 * time.Millisecond
)

// Await returns nil once new requests are taken. A process that has just started
// holds them until it has its first view; any other one that isn't ready, and one
// that has nothing by then, refuses with the code that Ready returns. A request that
// has some time left, if that is known, is held for a part of it.
func (cd *Conductor) Await(ctx context.Context, left time.Duration) error {
	err := cd.Ready()
	if err == nil || !cd.starting() {
		return err
	}
	if cd.held.Add(1) > mostHeld {
		cd.held.Add(-1)
		return err
	}
	defer cd.held.Add(-1)
	cd.meter.count("held")
	until := cd.cfg.Now().Add(startLimit)
	if left > 0 {
		until = cd.cfg.Now().Add(time.Duration(heldShare * float64(left)))
	}
	for err != nil && cd.starting() && cd.cfg.Now().Before(until) {
		if sleeper.Sleep(ctx, heldEvery) != nil {
			return err
		}
		err = cd.Ready()
	}
	if err != nil {
		return cd.Ready() // another request may have found it ready since
	}
	return nil
}

// starting reports whether the process waits for its first view.
func (cd *Conductor) starting() bool {
	cd.mu.Lock()
	leaving := cd.leaving
	cd.mu.Unlock()
	return !leaving && !cd.viewed.Load() && cd.cfg.Now().Sub(cd.started) < startLimit
}
