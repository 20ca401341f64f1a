// Package faker implements fake targets for tests, demos and load generation: a
// model engine that speaks the engine protocol (docs/ENGINE.md) over HTTP, or a
// plain HTTP service. A fake target can be killed, restarted and frozen, and its
// connections can be stalled, to reproduce the failures of real targets.
package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/storer"
)

// Values of Config.Kind.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Config describes a fake target. Numbers and durations that are zero take the
// defaults of package batcher, unless a field says otherwise.
type Config struct {
	Listen         string // host:port; 127.0.0.1:0 if empty
	Kind           string // KindEngine if empty
	Model          string // loaded at start-up
	Version        string
	Adapters       []string
	Role           string
	Incarnation    uint64         // of the first instance; derived from the clock if zero
	Memory         int            // KV memory in tokens
	Block          int            // tokens per prefix cache block
	Budget         int            // tokens per step
	Chunk          int            // prefill tokens of one request per step; Budget if zero
	Step           time.Duration  // duration of a step
	Retention      time.Duration  // how long ended requests stay resumable
	CheckFences    bool           // refuses orders whose fencing token is outdated
	ModelBytes     int            // size of a model
	AdapterBytes   int            // size of an adapter
	Store          *storer.Storer // shared store that weights are loaded from; they load at once if nil
	ReportInterval time.Duration  // interval of published load reports; 500 ms if zero
	ReportLag      time.Duration  // age of published load reports
	EventLag       time.Duration  // age of published cache events
	EventLoss      float64        // fraction of cache events that are dropped
	Seed           uint64         // selects the dropped events
	CrashText      string         // a prompt that contains this text crashes the engine; none does if empty
	RestartDelay   time.Duration  // from a crash to the automatic restart; none if zero
	Log            *logrus.Entry  // nothing is logged if nil
}

// Faker is one fake target across its restarts.
type Faker struct {
	cfg     Config
	addr    string
	gate    gate
	stalled atomic.Uint64 // connections numbered up to this value are stalled
	conns   atomic.Uint64 // number of the last accepted connection
	posts   postLog
	crashes conc.WaitGroup
	done    chan struct{}

	mu          sync.Mutex
	closed      bool
	incarnation uint64
	current     *instance // nil while the target is down
}

// New starts a target and returns a function that shuts it down for good.
func New(cfg Config) (*Faker, func(), error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	f := &Faker{cfg: cfg, addr: cfg.Listen, incarnation: cfg.Incarnation, done: make(chan struct{})}
	if err := f.start(); err != nil {
		return nil, nil, err
	}
	return f, f.close, nil
}

// URL returns the base URL of the target. It stays the same across restarts.
func (f *Faker) URL() string { return "http://" + f.addr }

// Kill closes all connections and discards the target's memory at once. New
// connections are refused until Restart. The record of the POSTs that a plain
// service executed survives.
func (f *Faker) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killLocked()
}

func (f *Faker) killLocked() {
	if f.current != nil {
		f.current.close()
		f.current = nil
	}
}

// Restart kills the target if it is running and starts it at the same address
// with empty memory and a higher incarnation.
func (f *Faker) Restart() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killLocked()
	f.incarnation++
	f.gate.open()
	return f.startLocked()
}

// Freeze suspends the target: its connections stay open, but it computes and
// answers nothing until Unfreeze.
func (f *Faker) Freeze() { f.gate.close() }

// Unfreeze resumes a frozen target.
func (f *Faker) Unfreeze() { f.gate.open() }

// StallConnections makes every open connection unresponsive for good without closing
// it. New connections work.
func (f *Faker) StallConnections() { f.stalled.Store(f.conns.Load()) }

// Report returns the state of the engine, or the zero Report while it is down.
func (f *Faker) Report() driver.Report {
	f.mu.Lock()
	current := f.current
	f.mu.Unlock()
	if current == nil {
		return driver.Report{}
	}
	r, _ := current.report(current.ctx)
	return r
}

// PostCount returns how many times a plain service executed a POST with this
// body on this path, across restarts.
func (f *Faker) PostCount(path, body string) int { return f.posts.count(path, body) }

func (f *Faker) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startLocked()
}

func (f *Faker) startLocked() error {
	if f.closed {
		return coder.Errorf(coder.NotReady, "the stand-in was ended")
	}
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return &coder.Error{Code: coder.Internal, Text: "listen", Cause: err}
	}
	f.addr = l.Addr().String()
	f.current = newInstance(f, l, f.incarnation)
	return nil
}

// crash shuts down the crashed instance, unless another one has replaced it, and
// schedules the automatic restart. It runs in the background because the control
// goroutine of the instance calls it, and killing waits for that goroutine.
func (f *Faker) crash(crashed *instance) {
	f.crashes.Go(func() {
		f.mu.Lock()
		if f.current != crashed {
			f.mu.Unlock()
			return
		}
		f.killLocked()
		f.mu.Unlock()
		if f.cfg.RestartDelay > 0 {
			f.restartAfterCrash()
		}
	})
}

func (f *Faker) restartAfterCrash() {
	t := time.NewTimer(f.cfg.RestartDelay)
	defer t.Stop()
	select {
	case <-f.done:
		return
	case <-t.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil || f.closed {
		return
	}
	f.incarnation++
	if err := f.startLocked(); err != nil && f.cfg.Log != nil {
		f.cfg.Log.WithError(err).Error("engine could not be restarted after a crash")
	}
}

func (f *Faker) close() {
	f.mu.Lock()
	if !f.closed {
		f.closed = true
		close(f.done)
	}
	f.killLocked()
	f.mu.Unlock()
	f.crashes.Wait()
}

func (f *Faker) batcher() *batcher.Batcher {
	c := f.cfg
	b := &batcher.Batcher{Config: batcher.Config{
		Memory: c.Memory, Block: c.Block, Budget: c.Budget, Chunk: c.Chunk, Step: c.Step, Retention: c.Retention,
		Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: c.Role,
		CheckFences: c.CheckFences, ModelBytes: c.ModelBytes, AdapterBytes: c.AdapterBytes,
	}}
	if c.Store != nil {
		b.Config.Fetch = c.Store.Reserve
	}
	return b
}
