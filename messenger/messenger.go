// Package messenger declares the typed messages that the system's own processes
// exchange, with the kind that marks each on the wire. It holds plain data: one
// struct a message, nothing else, so that deciders can be driven without sockets.
package messenger

import (
	"time"

	"bramleyshunt/coder"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind,Class,State -output=kind_string.go

// Kind marks the type of a message on the wire. Numbers are stable: append only.
type Kind uint8

// Kinds of messages.
const (
	KindNone Kind = iota
	KindFailed
	// Entry to agent.
	KindReserve
	KindReserved
	KindRun
	KindChunk
	KindEnd
	KindVoid
	KindVoided
	KindCancel
	KindCancelled
	KindResume
	KindRelease
	// Agents and entries to keepers.
	KindAnnounce
	KindAnnounced
	KindWatch
	KindUpdate
	KindClaim
	KindClaimed
	KindPropose
	KindProposed
	// Keeper to keeper.
	KindVote
	KindVoted
	KindAppend
	KindAppended
	KindInstall
	KindInstalled
	// Orders of the controllers to agents.
	KindOrder
	KindOrdered
	// Quarantine reports of entries to keepers.
	KindSuspect
	// Keeper to keeper: joining a group, read barriers.
	KindProbe
	KindProbed
	KindFound
	KindConfirm
	KindConfirmed
	// Keepers on behalf of operators.
	KindNodes
	KindNodesListed
	// Keeper to keeper: hand-over of the leadership.
	KindStand
	// Nodes to keepers: a question to be passed on to the leader.
	KindForward
	// Entry to entry: what it has at targets.
	KindShare
)

// Class is the length class of a prompt.
type Class uint8

// Length classes by prompt tokens. Bounds are in Limit.
const (
	Short  Class = iota // up to 4,096 tokens
	Medium              // up to 32,768 tokens
	Long                // up to 131,072 tokens
	Huge                // beyond
)

// Classes is the number of length classes.
const Classes = 4

// Limit returns the largest prompt of the class in tokens; zero means unbounded.
func (c Class) Limit() int {
	switch c {
	case Short:
		return 4096
	case Medium:
		return 32768
	case Long:
		return 131072
	default:
		return 0
	}
}

// ClassOf returns the length class of a prompt of n tokens.
func ClassOf(n int) Class {
	for c := Short; c < Huge; c++ {
		if n <= c.Limit() {
			return c
		}
	}
	return Huge
}

// Load is what an agent reports of its target. Counts are tokens but for Running.
type Load struct {
	Seq     uint64 `msgpack:"seq" json:"seq"`         // rises with each report of an incarnation
	Waiting int    `msgpack:"waiting" json:"waiting"` // prompt tokens accepted but not yet prefilled
	Running int    `msgpack:"running" json:"running"` // requests in flight
	Used    int    `msgpack:"used" json:"used"`       // reserved engine memory
	Memory  int    `msgpack:"memory" json:"memory"`   // total engine memory
	Speed   int    `msgpack:"speed" json:"speed"`     // prefill tokens a second, measured
	Pace    int    `msgpack:"pace" json:"pace"`       // decode tokens a second and request, measured

	ByClass [Classes]int `msgpack:"byclass" json:"byclass"` // Waiting by length class
}

// Target describes one back end as its agent announces it.
type Target struct {
	ID          string   `msgpack:"id" json:"id"`
	Service     string   `msgpack:"service" json:"service"`
	Model       string   `msgpack:"model" json:"model"`     // empty for plain services
	Version     string   `msgpack:"version" json:"version"` // model version loaded
	Adapters    []string `msgpack:"adapters" json:"adapters"`
	Address     string   `msgpack:"address" json:"address"` // of the agent, host:port
	Zone        string   `msgpack:"zone" json:"zone"`
	Lane        string   `msgpack:"lane" json:"lane"` // "", "short" or "long"
	Incarnation uint64   `msgpack:"incarnation" json:"incarnation"`
	Leaving     bool     `msgpack:"leaving" json:"leaving"`
	Fence       uint64   `msgpack:"fence" json:"fence"` // highest order number executed
	Config      uint64   `msgpack:"config" json:"config"`
	Load        Load     `msgpack:"load" json:"load"`
	Slots       int      `msgpack:"slots,omitempty" json:"slots,omitempty"` // requests at once; zero if unknown
	// Seq rises with each announcement of an incarnation; zero where they can't
	// overtake each other.
	Seq uint64 `msgpack:"seq,omitempty" json:"seq,omitempty"`

	// Standby says that it leaves by an order of the controllers, who may activate it.
	Standby bool `msgpack:"standby,omitempty"`
	// Empty says that the engine has no model loaded; Model is then the one it is for.
	Empty bool `msgpack:"empty,omitempty"`
}

// Failed ends an exchange with a code.
type Failed struct {
	Attempt string        `msgpack:"attempt"`
	Code    coder.Code    `msgpack:"code"`
	Run     coder.Run     `msgpack:"run"`
	Retry   time.Duration `msgpack:"retry"`
	Text    string        `msgpack:"text"`
	Leader  string        `msgpack:"leader"` // address of the leading keeper, if known
}

// Err returns the failure as an error.
func (f *Failed) Err() *coder.Error {
	return &coder.Error{Code: f.Code, Run: f.Run, Retry: f.Retry, Text: f.Text}
}

// FailedOf returns the message that carries err for an attempt.
func FailedOf(attempt string, err error) *Failed {
	e := coder.Of(err)
	return &Failed{Attempt: attempt, Code: e.Code, Run: e.Run, Retry: e.Retry, Text: e.Error()}
}

// Reserve asks an agent for memory and a slot under a short lease.
type Reserve struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Account     string        `msgpack:"account"`
	Prompt      int           `msgpack:"prompt"` // predicted prompt tokens
	Output      int           `msgpack:"output"` // predicted answer tokens
	Priority    int           `msgpack:"priority"`
	Remaining   time.Duration `msgpack:"remaining"` // time left of the request
	Fingerprint uint64        `msgpack:"fingerprint"`
	Gang        bool          `msgpack:"gang"` // one segment of a longer prompt
	Key         string        `msgpack:"key"`  // Idempotency-Key, for cancels
	Batch       string        `msgpack:"batch"`
}

// Reserved grants a reservation until the lease ends.
type Reserved struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Lease       time.Duration `msgpack:"lease"`
	Load        Load          `msgpack:"load"`
}

// Header is one HTTP header field of a plain call.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Run starts a reserved attempt. Engines take Body alone; plain services the whole call.
type Run struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Remaining   time.Duration `msgpack:"remaining"`
	Method      string        `msgpack:"method"`
	Path        string        `msgpack:"path"`
	Headers     []Header      `msgpack:"headers"`
	Body        []byte        `msgpack:"body"`
	Import      []byte        `msgpack:"import"`  // gang: KV handle of the segments before this one
	Prefill     bool          `msgpack:"prefill"` // gang: hold the segment and return its KV handle instead of decoding
}

// Chunk is one piece of an answer. Seq counts from 1 within an attempt.
type Chunk struct {
	Attempt string   `msgpack:"attempt"`
	Seq     uint64   `msgpack:"seq"`
	Status  int      `msgpack:"status"`  // HTTP status, on the first chunk of a plain answer
	Headers []Header `msgpack:"headers"` // on the first chunk of a plain answer
	Data    []byte   `msgpack:"data"`
}

// Usage is what an engine says a request took, in tokens.
type Usage struct {
	Prompt int `msgpack:"prompt"`
	Cached int `msgpack:"cached"`
	Output int `msgpack:"output"`
}

// End closes a whole answer. Count is the number of chunks sent.
type End struct {
	Attempt string `msgpack:"attempt"`
	Count   uint64 `msgpack:"count"`
	Usage   Usage  `msgpack:"usage"`
	Load    Load   `msgpack:"load"`
	Export  []byte `msgpack:"export"` // gang: KV handle after a Prefill run
}

// Void withdraws an attempt; the agent answers Voided with what it knows.
type Void struct {
	Attempt     string `msgpack:"attempt"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// Voided tells whether the attempt had started. NotRun means it never will.
type Voided struct {
	Attempt string    `msgpack:"attempt"`
	Run     coder.Run `msgpack:"run"`
}

// Cancel ends a running attempt and frees what it holds. Without an Attempt it
// ends an account's attempts of a batch or with a key, but those of the entry
// whose attempts begin with Except.
type Cancel struct {
	Attempt string `msgpack:"attempt"`
	Account string `msgpack:"account"`
	Key     string `msgpack:"key"`
	Batch   string `msgpack:"batch"`
	Except  string `msgpack:"except"`
}

// Cancelled confirms a Cancel.
type Cancelled struct {
	Attempt string `msgpack:"attempt"`
	Count   int    `msgpack:"count"` // of the attempts ended, without an Attempt
}

// Resume asks for the chunks of a running or ended attempt after Seq.
type Resume struct {
	Attempt     string `msgpack:"attempt"`
	Incarnation uint64 `msgpack:"incarnation"`
	Seq         uint64 `msgpack:"seq"`
}

// Release gives a reservation back unused.
type Release struct {
	Attempt string `msgpack:"attempt"`
}
