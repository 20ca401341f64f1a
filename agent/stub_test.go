package agent_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

// stub is an in-memory engine. The body of a request is the number of chunks of
// its answer; if steps is set, each chunk waits for a value from it.
type stub struct {
	mu          sync.Mutex
	incarnation uint64
	down        bool
	empty       bool // no model loaded
	live        map[string]context.CancelCauseFunc
	runs        map[string]int
	cancels     map[string]int
	orders      []uint64
	steps       chan struct{} // if nil, chunks are emitted immediately
}

func newStub() *stub {
	return &stub{incarnation: 1, live: map[string]context.CancelCauseFunc{}, runs: map[string]int{}, cancels: map[string]int{}}
}

func (e *stub) engine() agent.Engine {
	return agent.Engine{Run: e.run, Resume: e.resume, Cancel: e.cancel, Report: e.report, Order: e.order, Call: e.call}
}

var errRefused = &coder.Error{Code: coder.TargetLost, Run: coder.NotRun, Text: "refused"}

func (e *stub) startRun(ctx context.Context, id string) (context.Context, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errRefused
	}
	ctx, stop := context.WithCancelCause(ctx)
	e.live[id] = stop
	e.runs[id]++
	return ctx, nil
}

func (e *stub) run(ctx context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error) {
	ctx, err := e.startRun(ctx, r.ID)
	if err != nil {
		return driver.Result{}, err
	}
	n, err := strconv.Atoi(string(r.Body))
	if err != nil {
		return driver.Result{}, coder.Errorf(coder.Malformed, "%v", err)
	}
	for i := range n {
		if err := e.awaitStep(ctx); err != nil {
			return driver.Result{}, err
		}
		if err := emit(fmt.Append(nil, i+1)); err != nil {
			return driver.Result{}, err
		}
	}
	if !r.Prefill {
		e.remove(r.ID)
		return driver.Result{Usage: messenger.Usage{Prompt: 10, Output: n}}, nil
	}
	return driver.Result{Export: []byte("kv")}, nil
}

func (e *stub) awaitStep(ctx context.Context) error {
	if e.steps == nil {
		return nil
	}
	select {
	case <-e.steps:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (e *stub) remove(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.live, id)
}

func (e *stub) resume(context.Context, string, uint64, func([]byte) error) (driver.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return driver.Result{}, errRefused
	}
	return driver.Result{}, coder.Errorf(coder.UnknownAttempt, "no such request")
}

func (e *stub) cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errRefused
	}
	e.cancels[id]++
	delete(e.live, id)
	return nil
}

func (e *stub) report(context.Context) (driver.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return driver.Report{}, errRefused
	}
	r := driver.Report{Incarnation: e.incarnation, Memory: 1000, Model: "m", Version: "v1"}
	if e.empty {
		r.Model, r.Version = "", ""
	}
	for id := range e.live {
		r.Live = append(r.Live, id)
	}
	return r, nil
}

func (e *stub) order(_ context.Context, o messenger.Order) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o.Fence)
	return o.Fence, nil
}

func (e *stub) call(_ context.Context, r messenger.Run, emit func(messenger.Chunk) error) error {
	return emit(messenger.Chunk{Attempt: r.Attempt, Seq: 1, Status: 200, Data: r.Body})
}

// kill ends every stream and makes the engine refuse connections.
func (e *stub) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for id, stop := range e.live {
		stop(&coder.Error{Code: coder.TargetLost, Run: coder.Unknown, Text: "reset"})
		delete(e.live, id)
	}
}

func (e *stub) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.incarnation++
}

// addLive adds a live attempt that no agent has started.
func (e *stub) addLive(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.live[id] = func(error) {}
}

func (e *stub) started(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *stub) cancelled(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels[id]
}

func (e *stub) executed() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64{}, e.orders...)
}

// isolator cuts an agent off from its engine and ends its runs, as killing the agent does.
type isolator struct {
	isolated atomic.Bool
	stop     context.CancelFunc
}

// install wraps the engine functions of cfg.
func (p *isolator) install(cfg *agent.Config) {
	d := cfg.Driver
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	errKilled := coder.Errorf(coder.TargetLost, "the agent is dead")
	cfg.Engine.Run = func(_ context.Context, r driver.Request, emit func([]byte) error) (driver.Result, error) {
		return d.Run(ctx, r, emit)
	}
	cfg.Engine.Resume = func(context.Context, string, uint64, func([]byte) error) (driver.Result, error) {
		return driver.Result{}, errKilled
	}
	cfg.Engine.Cancel = func(ctx context.Context, id string) error {
		if p.isolated.Load() {
			return errKilled
		}
		return d.Cancel(ctx, id)
	}
	cfg.Engine.Report = func(ctx context.Context) (driver.Report, error) {
		if p.isolated.Load() {
			return driver.Report{}, errKilled
		}
		return d.Report(ctx)
	}
}

func (p *isolator) isolate() {
	p.isolated.Store(true)
	p.stop()
}
