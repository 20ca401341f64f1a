// Package batcher simulates an inference engine as a deterministic state machine.
// The engine batches requests continuously under a token budget, keeps a prefix
// cache in limited memory, schedules by priority, exports and imports KV cache,
// and executes orders. The caller passes the time with each event; the package
// starts no goroutine and reads no clock.
package batcher

import (
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=EventKind,ActionKind -output=kind_string.go

// Values used for fields of Config that are zero.
const (
	DefaultMemory    = 400_000 // tokens
	DefaultBlock     = 256     // tokens
	DefaultBudget    = 2048    // tokens per step
	DefaultStep      = 5 * time.Millisecond
	DefaultRetention = 30 * time.Second
)

// Config holds the parameters of an engine. Zero numbers stand for the defaults.
type Config struct {
	Memory       int           // tokens of KV cache
	Block        int           // tokens of a prefix cache block
	Budget       int           // tokens per step, decode and prefill together
	Chunk        int           // prefill tokens of one request per step; Budget if zero
	Step         time.Duration // duration of a step
	Retention    time.Duration // how long the id of an ended request stays in use
	Model        string        // loaded when the engine starts
	Version      string
	Adapters     []string
	Role         string
	CheckFences  bool                                     // refuse orders whose fencing token is below the highest one executed
	ModelBytes   int                                      // size of a model in the weight store
	AdapterBytes int                                      // size of an adapter in the weight store
	Fetch        func(now time.Time, bytes int) time.Time // returns when a read from the weight store completes; reads complete at once if nil
}

// EventKind is the kind of an input to the engine.
type EventKind uint8

// Kinds of events.
const (
	Compute EventKind = iota // one step is computed
	Submit                   // Request arrives
	Cancel                   // the request or hold ID is cancelled
	Order                    // Order arrives
)

// Event is one input to the engine. Fields that its kind does not use are ignored.
type Event struct {
	Kind    EventKind
	ID      string
	Request Request
	Order   messenger.Order
	Err     *coder.Error // reason of a Cancel; code Cancelled if nil
}

// Request is one inference request. The prompt is given by its length and its
// block hashes only.
type Request struct {
	ID          string
	Model       string        // requested model or adapter; empty for any
	Prompt      int           // prompt tokens, without those of an imported prefix
	BlockHashes []uint64      // hash of the prefix that ends with each full block of the prompt
	Output      int           // tokens to decode
	Priority    int           // higher values are scheduled first
	Remaining   time.Duration // time until the deadline; zero for none
	Prefill     bool          // prefill only: hold the KV cache for export instead of decoding
	Crash       bool          // crashes the engine when it is prefilled
}

// ActionKind is the kind of an output of the engine.
type ActionKind uint8

// Kinds of actions.
const (
	Accepted      ActionKind = iota // the submitted request was queued
	Refused                         // the event was refused with Err
	Token                           // one token was decoded; Seq numbers the tokens of an answer from 1
	Ended                           // the request ended; Err is nil if its answer is complete
	Forgotten                       // the id of the ended request may be used again
	CacheChanged                    // blocks were added to or removed from the prefix cache
	OrderAccepted                   // the order was accepted; Fence is the highest fencing token executed
	Crashed                         // the engine stopped; all requests, holds and cached blocks are lost
)

// Action is one output of the engine. Fields that its kind does not use are zero.
type Action struct {
	Kind    ActionKind
	ID      string
	Seq     uint64
	Usage   messenger.Usage
	Err     *coder.Error
	Fence   uint64
	Added   []uint64
	Removed []uint64
}

// Stats summarizes the state of the engine. Memory, Used, Cached and Waiting count
// tokens.
type Stats struct {
	Memory      int
	Used        int // pinned by requests and holds; zero when there are none
	Cached      int // in cached blocks that may be evicted
	Waiting     int // prompt tokens not yet prefilled
	Running     int // number of requests that have not ended, without holds
	PrefillRate int // prefill tokens per second
	DecodeRate  int // decode tokens per second of one request
	Live        []string
	Model       string
	Version     string
	Adapters    []string
	Role        string
	Fence       uint64
	Loading     string
}

// Batcher is a simulated engine. The zero value uses the default Config. It is not
// safe for concurrent use.
type Batcher struct {
	Config Config

	initialized bool
	crashed     bool
	weights     weights
	memory      memory
	jobs        []*job // ordered by priority, then by arrival
	byID        map[string]*job
	ended       []expiry // ordered by time
	arrivals    uint64
	cacheSeq    uint64
	actions     []Action
}

// expiry is the time from which the id of an ended request may be used again.
type expiry struct {
	id string
	at time.Time
}

// Step processes one event and returns the resulting actions in order. It returns
// nil after a crash.
func (b *Batcher) Step(now time.Time, e Event) []Action {
	b.init()
	if b.crashed {
		return nil
	}
	b.installFetched(now)
	b.expire(now)
	switch e.Kind {
	case Submit:
		b.submit(now, e.Request)
	case Cancel:
		b.cancel(now, e)
	case Order:
		b.order(now, e.Order)
	case Compute:
		b.computeStep(now)
	}
	b.emitCacheChanges()
	acts := b.actions
	b.actions = nil
	return acts
}

// Busy reports whether a Compute event would have any request to work on.
func (b *Batcher) Busy() bool {
	return slices.ContainsFunc(b.jobs, func(j *job) bool { return j.stage != held })
}

// Stats returns the current load, memory use and loaded models.
func (b *Batcher) Stats() Stats {
	b.init()
	s := Stats{
		Memory: b.memory.total, Used: b.memory.used, Cached: b.memory.cached,
		PrefillRate: perSecond(b.Config.Budget, b.Config.Step), DecodeRate: perSecond(1, b.Config.Step),
		Model: b.weights.model, Version: b.weights.version, Role: b.weights.role,
		Adapters: slices.Clone(b.weights.adapters), Fence: b.weights.fence, Loading: b.weights.loading(),
	}
	for _, j := range b.jobs {
		s.Live = append(s.Live, j.ID)
		if j.stage != held {
			s.Running++
			s.Waiting += j.Prompt - j.prefilled
		}
	}
	slices.Sort(s.Live)
	return s
}

// Cache returns the sequence number of the last CacheChanged action and the hashes
// of the blocks that were computed by then, in ascending order.
func (b *Batcher) Cache() (seq uint64, hashes []uint64) {
	for k, v := range b.memory.blocks {
		if v.ready {
			hashes = append(hashes, k.hash)
		}
	}
	slices.Sort(hashes)
	return b.cacheSeq, hashes
}

func perSecond(n int, step time.Duration) int {
	return int(time.Duration(n) * time.Second / step)
}

func (b *Batcher) init() {
	if b.initialized {
		return
	}
	b.initialized = true
	c := &b.Config
	c.Memory = orDefault(c.Memory, DefaultMemory)
	c.Block = orDefault(c.Block, DefaultBlock)
	c.Budget = orDefault(c.Budget, DefaultBudget)
	c.Chunk = orDefault(c.Chunk, c.Budget)
	c.Step = orDefault(c.Step, DefaultStep)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	b.memory = memory{total: c.Memory, block: c.Block}
	b.byID = map[string]*job{}
	b.weights = weights{model: c.Model, version: c.Version, role: c.Role, adapters: slices.Clone(c.Adapters)}
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

func (b *Batcher) emit(a Action) { b.actions = append(b.actions, a) }

// emitCacheChanges emits one CacheChanged action if the event changed the prefix cache.
func (b *Batcher) emitCacheChanges() {
	added, removed := b.memory.takeChanges()
	if len(added)+len(removed) == 0 {
		return
	}
	b.cacheSeq++
	b.emit(Action{Kind: CacheChanged, Seq: b.cacheSeq, Added: added, Removed: removed})
}
