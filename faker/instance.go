package faker

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
)

// idleInterval is the time between steps while the engine has no work.
const idleInterval = 20 * time.Millisecond

// instance is one incarnation of a target, from a start to the next kill. Its
// control goroutine owns the engine; HTTP handlers reach the engine through do.
type instance struct {
	f           *Faker
	incarnation uint64
	ctx         context.Context
	stop        context.CancelFunc
	server      *http.Server
	wg          conc.WaitGroup
	calls       chan func()
	events      *cacheEvents

	// Owned by the control goroutine.
	engine  *batcher.Batcher
	records map[string]*record
}

type connKey struct{}

func newInstance(f *Faker, l net.Listener, incarnation uint64) *instance {
	e := &instance{
		f: f, incarnation: incarnation, calls: make(chan func()),
		events: newCacheEvents(f.cfg), engine: f.batcher(), records: map[string]*record{},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{
		Handler: e.withFaults(e.routes()),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, f.conns.Add(1))
		},
	}
	e.wg.Go(func() { _ = e.server.Serve(l) })
	e.wg.Go(e.control)
	return e
}

// close shuts the instance down. It must not be called on the control goroutine.
// It closes the connections before it cancels the context: a handler that returned
// first would end its response cleanly, and the client would take it as complete.
func (e *instance) close() {
	_ = e.server.Close()
	e.stop()
	e.wg.Wait()
}

// control runs the steps of the engine and, between them, the functions that
// handlers submit through do.
func (e *instance) control() {
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	for e.f.gate.wait(e.ctx) {
		select {
		case <-e.ctx.Done():
			return
		case fn := <-e.calls:
			idle := !e.engine.Busy()
			fn()
			if idle && e.engine.Busy() {
				t.Reset(e.engine.Config.Step)
			}
		case <-t.C:
			started := time.Now()
			e.step(batcher.Event{Kind: batcher.Compute})
			t.Reset(e.untilNextStep(started))
		}
	}
}

// untilNextStep returns the remaining time of the step that began at started, or
// idleInterval if the engine has no work.
func (e *instance) untilNextStep(started time.Time) time.Duration {
	if !e.engine.Busy() {
		return idleInterval
	}
	return max(e.engine.Config.Step-time.Since(started), 0)
}

// do runs fn on the control goroutine and waits until it has returned. It returns an
// error without running fn if ctx or the instance ends first.
func (e *instance) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case e.calls <- func() { fn(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return coder.Errorf(coder.NotReady, "the engine is gone")
	}
	<-done
	return nil
}

// step passes one event to the engine and applies the resulting actions. It runs
// on the control goroutine.
func (e *instance) step(ev batcher.Event) []batcher.Action {
	actions := e.engine.Step(time.Now(), ev)
	for _, a := range actions {
		e.apply(a)
	}
	return actions
}

func (e *instance) apply(a batcher.Action) {
	switch a.Kind {
	case batcher.Token:
		e.records[a.ID].addToken()
	case batcher.Ended:
		r := e.records[a.ID]
		r.finish(endEvent(a, r))
	case batcher.Forgotten:
		delete(e.records, a.ID)
	case batcher.CacheChanged:
		e.events.add(driver.Event{Seq: a.Seq, Added: a.Added, Removed: a.Removed})
	case batcher.Crashed:
		e.f.crash(e)
	}
}

// endEvent returns the final event of a request's stream.
func endEvent(a batcher.Action, r *record) *driver.End {
	end := &driver.End{Usage: driver.Usage(a.Usage)}
	switch {
	case a.Err != nil:
		end.Error = failure(a.Err)
	case r.prefill:
		end.FinishReason = "export"
		end.Export = r.prefix.encode()
	default:
		end.FinishReason = "length"
	}
	return end
}

func failure(err *coder.Error) *driver.Failure {
	return &driver.Failure{Code: err.Code, Text: err.Text, RetryAfter: err.Retry.Seconds()}
}

// report returns the current state of the engine.
func (e *instance) report(ctx context.Context) (driver.Report, error) {
	var s batcher.Stats
	if err := e.do(ctx, func() { s = e.engine.Stats() }); err != nil {
		return driver.Report{}, err
	}
	return driver.Report{
		Incarnation: e.incarnation, Memory: s.Memory, Used: s.Used, Cached: s.Cached,
		Waiting: s.Waiting, Running: s.Running, PrefillRate: s.PrefillRate, DecodeRate: s.DecodeRate, Live: s.Live,
		Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role, Fence: s.Fence, Loading: s.Loading,
	}, nil
}
