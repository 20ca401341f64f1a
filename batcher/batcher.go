// Package batcher is a model engine as a pure step machine: it batches requests
// continuously under a token budget, keeps a prefix cache in limited memory,
// honours priorities, exports and imports KV cache, and takes orders. Time comes
// in with each event; it owns no goroutine and reads no clock.
package batcher

import (
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=EventKind,ActionKind -output=kind_string.go

// Defaults of Config.
const (
	DefaultMemory = 400_000 // tokens
	DefaultBlock  = 256     // tokens
	DefaultBudget = 2048    // tokens a step
	DefaultStep   = 5 * time.Millisecond
	DefaultKept   = 30 * time.Second
)

// Config is what an engine is built with. Zero figures take the defaults.
type Config struct {
	Memory   int           // tokens of KV cache
	Block    int           // tokens of a prefix cache block
	Budget   int           // tokens a step, decode and prefill together
	Chunk    int           // prefill tokens of one request a step; Budget if zero
	Step     time.Duration // time of a step
	Kept     time.Duration // ended requests are known for this long
	Model    string        // loaded from the start
	Version  string
	Adapters []string
	Role     string
	Fences   bool                                     // refuses orders with an old fencing number
	Weight   int                                      // bytes of a model
	Patch    int                                      // bytes of an adapter
	Fetch    func(now time.Time, bytes int) time.Time // when a read of the weight store is complete; at once if nil
}

// EventKind marks what happens to the engine.
type EventKind uint8

// Kinds of events.
const (
	Beat   EventKind = iota // one step of computation
	Submit                  // Request arrives
	Cancel                  // ID is given up
	Order                   // Order arrives
)

// Event is one input.
type Event struct {
	Kind    EventKind
	ID      string
	Request Request
	Order   messenger.Order
	Err     *coder.Error // why ID is given up; Cancelled if nil
}

// Request is one prompt, measured and hashed.
type Request struct {
	ID        string
	Model     string        // model or adapter asked for; empty for any
	Prompt    int           // tokens, without those of an imported prefix
	Blocks    []uint64      // prefix hash after each whole block of the prompt
	Output    int           // answer tokens
	Priority  int           // higher goes first
	Remaining time.Duration // zero for no bound
	Prefill   bool          // hold the prompt's memory and export instead of decoding
	Crash     bool          // computing it crashes the engine
}

// ActionKind marks what the engine does.
type ActionKind uint8

// Kinds of actions.
const (
	Accepted  ActionKind = iota // the submitted request is known under its id
	Refused                     // the event was refused with Err
	Token                       // Seq is the number of the answer's token, from 1
	Ended                       // the request ended; Err is nil if its answer is whole
	Forgotten                   // the ended request is no longer known
	Changed                     // the prefix cache changed
	Ordered                     // the order was accepted; Fence is the highest number executed
	Crashed                     // the engine is gone with all it held
)

// Action is one output. Fields not named for its kind are zero.
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

// Figures is the state of the engine in counts. Tokens but for Running.
type Figures struct {
	Memory   int
	Used     int // by requests and holds; zero when there are none
	Cached   int // kept for later prompts, given up when needed
	Waiting  int // prompt tokens not yet prefilled
	Running  int // requests that have not ended, without holds
	Speed    int // prefill tokens a second
	Pace     int // decode tokens a second and request
	Live     []string
	Model    string
	Version  string
	Adapters []string
	Role     string
	Fence    uint64
	Loading  string
}

// Batcher is the engine. The zero value works with the default Config.
type Batcher struct {
	Config Config

	begun    bool
	crashed  bool
	weights  weights
	memory   memory
	works    []*work // by priority, then by arrival
	known    map[string]*work
	ended    []expiry // by time
	arrivals uint64
	changes  uint64
	acts     []Action
}

// expiry tells when an ended request is forgotten.
type expiry struct {
	id string
	at time.Time
}

// Step takes one event and returns what follows from it, in order.
func (b *Batcher) Step(now time.Time, e Event) []Action {
	b.begin()
	if b.crashed {
		return nil
	}
	b.load(now)
	b.expire(now)
	switch e.Kind {
	case Submit:
		b.submit(now, e.Request)
	case Cancel:
		b.cancel(now, e)
	case Order:
		b.order(now, e.Order)
	case Beat:
		b.beat(now)
	}
	b.publish()
	acts := b.acts
	b.acts = nil
	return acts
}

// Busy reports whether a Beat would compute anything.
func (b *Batcher) Busy() bool {
	return slices.ContainsFunc(b.works, func(w *work) bool { return w.stage != held })
}

// Figures returns the state in counts.
func (b *Batcher) Figures() Figures {
	b.begin()
	f := Figures{
		Memory: b.memory.total, Used: b.memory.used, Cached: b.memory.cached,
		Speed: perSecond(b.Config.Budget, b.Config.Step), Pace: perSecond(1, b.Config.Step),
		Model: b.weights.model, Version: b.weights.version, Role: b.weights.role,
		Adapters: slices.Clone(b.weights.adapters), Fence: b.weights.fence, Loading: b.weights.loading(),
	}
	for _, w := range b.works {
		f.Live = append(f.Live, w.ID)
		if w.stage != held {
			f.Running++
			f.Waiting += w.Prompt - w.done
		}
	}
	slices.Sort(f.Live)
	return f
}

// Cache returns the sequence number of the last Changed action and the blocks
// computed as of then, in ascending order.
func (b *Batcher) Cache() (seq uint64, hashes []uint64) {
	for k, v := range b.memory.blocks {
		if v.ready {
			hashes = append(hashes, k.hash)
		}
	}
	slices.Sort(hashes)
	return b.changes, hashes
}

func perSecond(n int, step time.Duration) int {
	return int(time.Duration(n) * time.Second / step)
}

func (b *Batcher) begin() {
	if b.begun {
		return
	}
	b.begun = true
	c := &b.Config
	c.Memory = or(c.Memory, DefaultMemory)
	c.Block = or(c.Block, DefaultBlock)
	c.Budget = or(c.Budget, DefaultBudget)
	c.Chunk = or(c.Chunk, c.Budget)
	c.Step = or(c.Step, DefaultStep)
	c.Kept = or(c.Kept, DefaultKept)
	b.memory = memory{total: c.Memory, block: c.Block}
	b.known = map[string]*work{}
	b.weights = weights{model: c.Model, version: c.Version, role: c.Role, adapters: slices.Clone(c.Adapters)}
}

func or[T int | time.Duration](v, standard T) T {
	if v > 0 {
		return v
	}
	return standard
}

func (b *Batcher) act(a Action) { b.acts = append(b.acts, a) }

// publish reports what the event changed in the prefix cache.
func (b *Batcher) publish() {
	added, removed := b.memory.changes()
	if len(added)+len(removed) == 0 {
		return
	}
	b.changes++
	b.act(Action{Kind: Changed, Seq: b.changes, Added: added, Removed: removed})
}
