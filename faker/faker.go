// Package faker stands in for a target: a model engine that speaks the engine
// protocol (docs/ENGINE.md) over HTTP, or a plain service. It can be killed,
// restarted, frozen and hushed, so that tests cause the failures of real ones.
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

// Kinds of targets.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Config describes the target. Zero figures take the defaults of package batcher.
type Config struct {
	Listen      string // host:port; 127.0.0.1:0 if empty
	Kind        string // KindEngine if empty
	Model       string // loaded from the start
	Version     string
	Adapters    []string
	Role        string
	Incarnation uint64         // the first one; taken from the clock if zero
	Memory      int            // tokens
	Block       int            // tokens of a prefix cache block
	Budget      int            // tokens a step
	Chunk       int            // prefill tokens of one request a step; Budget if zero
	Step        time.Duration  // time of a step
	Kept        time.Duration  // ended requests are known for this long
	Fences      bool           // refuses orders with an old fencing number
	Weight      int            // bytes of a model
	Patch       int            // bytes of an adapter
	Store       *storer.Storer // weights come from it; at once if nil
	ReportEvery time.Duration  // between published load reports; 500 ms if zero
	ReportLag   time.Duration  // age of published load reports
	EventLag    time.Duration  // age of published cache events
	EventLoss   float64        // share of cache events that are lost
	Seed        uint64         // chooses the events lost
	Crash       string         // a prompt that holds this text kills the engine; none if empty
	Revive      time.Duration  // restarts itself this long after a crash; never if zero
	Log         *logrus.Entry  // discards if nil
}

// Faker is one target, across its incarnations.
type Faker struct {
	cfg     Config
	addr    string
	gate    gate
	hushed  atomic.Uint64 // connections accepted up to this number are silent
	conns   atomic.Uint64
	ledger  ledger
	crashes conc.WaitGroup
	done    chan struct{}

	mu          sync.Mutex
	ended       bool
	incarnation uint64
	life        *life // nil while killed
}

// New starts a target and returns the function that ends it for good.
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

// URL returns the base of the target's routes. It stays the same across restarts.
func (f *Faker) URL() string { return "http://" + f.addr }

// Kill drops all connections and everything in memory at once; dials are
// refused until Restart. What a plain service has executed is not lost.
func (f *Faker) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill()
}

func (f *Faker) kill() {
	if f.life != nil {
		f.life.end()
		f.life = nil
	}
}

// Restart kills the target if it lives and starts it at the same address with
// empty memory and a higher incarnation.
func (f *Faker) Restart() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill()
	f.incarnation++
	f.gate.open()
	return f.begin()
}

// Freeze stops the target without closing anything: connections stay open and
// nothing moves until Thaw.
func (f *Faker) Freeze() { f.gate.close() }

// Thaw lets a frozen target go on.
func (f *Faker) Thaw() { f.gate.open() }

// Hush makes every connection that is open now silent for good; new ones work.
func (f *Faker) Hush() { f.hushed.Store(f.conns.Load()) }

// Report returns the engine's state, and the zero Report while it is killed.
func (f *Faker) Report() driver.Report {
	f.mu.Lock()
	l := f.life
	f.mu.Unlock()
	if l == nil {
		return driver.Report{}
	}
	r, _ := l.report(l.ctx)
	return r
}

// Posts returns how often a plain service executed a POST with this body on
// this path, across restarts.
func (f *Faker) Posts(path, body string) int { return f.ledger.count(path, body) }

func (f *Faker) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begin()
}

func (f *Faker) begin() error {
	if f.ended {
		return coder.Errorf(coder.NotReady, "the stand-in was ended")
	}
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return &coder.Error{Code: coder.Internal, Text: "listen", Cause: err}
	}
	f.addr = l.Addr().String()
	f.life = newLife(f, l, f.incarnation)
	return nil
}

// crash ends a life from within it.
func (f *Faker) crash(l *life) {
	f.crashes.Go(func() {
		f.mu.Lock()
		if f.life != l {
			f.mu.Unlock()
			return
		}
		f.kill()
		f.mu.Unlock()
		if f.cfg.Revive > 0 {
			f.revive()
		}
	})
}

func (f *Faker) revive() {
	t := time.NewTimer(f.cfg.Revive)
	defer t.Stop()
	select {
	case <-f.done:
		return
	case <-t.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.life != nil || f.ended {
		return
	}
	f.incarnation++
	if err := f.begin(); err != nil && f.cfg.Log != nil {
		f.cfg.Log.WithError(err).Error("engine did not come back")
	}
}

func (f *Faker) close() {
	f.mu.Lock()
	if !f.ended {
		f.ended = true
		close(f.done)
	}
	f.kill()
	f.mu.Unlock()
	f.crashes.Wait()
}

func (f *Faker) batcher() *batcher.Batcher {
	c := f.cfg
	b := &batcher.Batcher{Config: batcher.Config{
		Memory: c.Memory, Block: c.Block, Budget: c.Budget, Chunk: c.Chunk, Step: c.Step, Retention: c.Kept,
		Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: c.Role,
		CheckFences: c.Fences, ModelBytes: c.Weight, AdapterBytes: c.Patch,
	}}
	if c.Store != nil {
		b.Config.Fetch = c.Store.Reserve
	}
	return b
}
