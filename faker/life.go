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

const idleBeat = 20 * time.Millisecond

// life is one incarnation of a target. Its control goroutine owns the engine;
// handlers ask it through do.
type life struct {
	f           *Faker
	incarnation uint64
	ctx         context.Context
	stop        context.CancelFunc
	server      *http.Server
	wg          conc.WaitGroup
	asked       chan func()
	events      *changes

	// Owned by the control goroutine.
	engine  *batcher.Batcher
	records map[string]*record
}

type connKey struct{}

func newLife(f *Faker, l net.Listener, incarnation uint64) *life {
	e := &life{
		f: f, incarnation: incarnation, asked: make(chan func()),
		events: newChanges(f.cfg), engine: f.batcher(), records: map[string]*record{},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{
		Handler: e.guarded(e.routes()),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, f.conns.Add(1))
		},
	}
	e.wg.Go(func() { _ = e.server.Serve(l) })
	e.wg.Go(e.control)
	return e
}

// end drops everything. It must not be called on the control goroutine.
// Connections go first: a handler that sees the end must not close its answer cleanly.
func (e *life) end() {
	_ = e.server.Close()
	e.stop()
	e.wg.Wait()
}

// control runs steps while there is work, and what handlers ask for between them.
func (e *life) control() {
	t := time.NewTimer(idleBeat)
	defer t.Stop()
	for e.f.gate.pass(e.ctx) {
		select {
		case <-e.ctx.Done():
			return
		case fn := <-e.asked:
			idle := !e.engine.Busy()
			fn()
			if idle && e.engine.Busy() {
				t.Reset(e.engine.Config.Step)
			}
		case <-t.C:
			began := time.Now()
			e.step(batcher.Event{Kind: batcher.Compute})
			t.Reset(e.pause(began))
		}
	}
}

// pause returns what is left of the step that began at a time.
func (e *life) pause(began time.Time) time.Duration {
	if !e.engine.Busy() {
		return idleBeat
	}
	return max(e.engine.Config.Step-time.Since(began), 0)
}

// do runs fn on the control goroutine and waits for it.
func (e *life) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case e.asked <- func() { fn(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return coder.Errorf(coder.NotReady, "the engine is gone")
	}
	<-done
	return nil
}

// step gives one event to the engine and carries out what follows. It runs on
// the control goroutine.
func (e *life) step(ev batcher.Event) []batcher.Action {
	acts := e.engine.Step(time.Now(), ev)
	for _, a := range acts {
		e.carry(a)
	}
	return acts
}

func (e *life) carry(a batcher.Action) {
	switch a.Kind {
	case batcher.Token:
		e.records[a.ID].token()
	case batcher.Ended:
		r := e.records[a.ID]
		r.close(endOf(a, r))
	case batcher.Forgotten:
		delete(e.records, a.ID)
	case batcher.CacheChanged:
		e.events.add(driver.Event{Seq: a.Seq, Added: a.Added, Removed: a.Removed})
	case batcher.Crashed:
		e.f.crash(e)
	}
}

// endOf returns the last event of a stream.
func endOf(a batcher.Action, r *record) *driver.End {
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

// report returns fresh figures.
func (e *life) report(ctx context.Context) (driver.Report, error) {
	var f batcher.Stats
	if err := e.do(ctx, func() { f = e.engine.Stats() }); err != nil {
		return driver.Report{}, err
	}
	return driver.Report{
		Incarnation: e.incarnation, Memory: f.Memory, Used: f.Used, Cached: f.Cached,
		Waiting: f.Waiting, Running: f.Running, PrefillRate: f.PrefillRate, DecodeRate: f.DecodeRate, Live: f.Live,
		Model: f.Model, Version: f.Version, Adapters: f.Adapters, Role: f.Role, Fence: f.Fence, Loading: f.Loading,
	}, nil
}
