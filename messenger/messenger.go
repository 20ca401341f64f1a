// Package messenger declares the messages that processes of the system exchange,
// and the kind that identifies each on the wire. Each message is a plain struct, so
// that decision logic can be tested without sockets.
package messenger

import (
	"time"

	"bramleyshunt/coder"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind,Class,State,Scope -output=kind_string.go

// Kind identifies the type of a message on the wire. Numbers are stable: new kinds
// are appended at the end.
type Kind uint8

// Message kinds.
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
	// Controller to agent: orders.
	KindOrder
	KindOrdered
	// Entry to keeper: quarantine reports.
	KindSuspect
	// Keeper to keeper: group formation and read barriers.
	KindProbe
	KindProbed
	KindFound
	KindConfirm
	KindConfirmed
	// Administration API to keeper.
	KindNodes
	KindNodesListed
	// Keeper to keeper: leadership transfer.
	KindStand
	// Node to keeper: a request to forward to the leader.
	KindForward
	// Entry to entry: requests in flight by target.
	KindShare
	// Entry to entry: the target of a request.
	KindPlace
	KindPlaced
)

// Class is the length class of a prompt.
type Class uint8

// Length classes by prompt tokens; Limit returns the bounds.
const (
	Short  Class = iota // up to 4,096 tokens
	Medium              // up to 32,768 tokens
	Long                // up to 131,072 tokens
	Huge                // above 131,072 tokens
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

// Load is the load that an agent reports for its target. Counts are in tokens,
// except for Running.
type Load struct {
	Seq     uint64 `msgpack:"seq" json:"seq"`         // increases with each report of an incarnation
	Waiting int    `msgpack:"waiting" json:"waiting"` // prompt tokens accepted but not yet prefilled
	Running int    `msgpack:"running" json:"running"` // requests in flight
	Used    int    `msgpack:"used" json:"used"`       // reserved engine memory
	Memory  int    `msgpack:"memory" json:"memory"`   // total engine memory
	Speed   int    `msgpack:"speed" json:"speed"`     // measured prefill tokens per second
	Pace    int    `msgpack:"pace" json:"pace"`       // measured decode tokens per second and request

	ByClass [Classes]int `msgpack:"byclass" json:"byclass"` // Waiting by length class
}

// Target describes one backend as announced by its agent.
type Target struct {
	ID          string   `msgpack:"id" json:"id"`
	Service     string   `msgpack:"service" json:"service"`
	Model       string   `msgpack:"model" json:"model"`     // empty for plain services
	Version     string   `msgpack:"version" json:"version"` // model version loaded
	Adapters    []string `msgpack:"adapters" json:"adapters"`
	Address     string   `msgpack:"address" json:"address"` // host:port of the agent
	Zone        string   `msgpack:"zone" json:"zone"`
	Lane        string   `msgpack:"lane" json:"lane"` // "", "short" or "long"
	Incarnation uint64   `msgpack:"incarnation" json:"incarnation"`
	Leaving     bool     `msgpack:"leaving" json:"leaving"`
	Fence       uint64   `msgpack:"fence" json:"fence"`   // highest fencing token executed
	Config      uint64   `msgpack:"config" json:"config"` // configuration version in force at the agent
	Load        Load     `msgpack:"load" json:"load"`
	Slots       int      `msgpack:"slots,omitempty" json:"slots,omitempty"` // maximum number of concurrent requests; zero if unknown
	// Seq increases with each announcement of an incarnation; zero if announcements
	// can't arrive out of order.
	Seq uint64 `msgpack:"seq,omitempty" json:"seq,omitempty"`

	// Standby reports that the target is leaving because a controller put it on
	// standby; a controller may activate it again.
	Standby bool `msgpack:"standby,omitempty"`
	// MayReturn reports that Leaving may end within an incarnation, as for a target whose
	// engine does not answer. Without it, only a target on standby returns.
	MayReturn bool `msgpack:"return,omitempty"`
	// Empty reports that the engine has no model loaded; Model is then the model that
	// it is configured for.
	Empty bool `msgpack:"empty,omitempty"`
	// Aggregates reports, of an entry, that it adds up the counts of others.
	Aggregates bool `msgpack:"aggregates,omitempty"`
	// Region is the region of Zone, as known to the process that received the announcement;
	// empty if unknown.
	Region string `msgpack:"region,omitempty" json:"region,omitempty"`
	// Cold is how long the target stays cold, as of its announcement.
	Cold time.Duration `msgpack:"cold,omitempty" json:"cold,omitempty"`
}

// Failed ends an exchange with an error.
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

// Reserve requests engine memory and a slot from an agent under a short lease.
type Reserve struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Account     string        `msgpack:"account"`
	Prompt      int           `msgpack:"prompt"` // predicted prompt tokens
	Output      int           `msgpack:"output"` // predicted output tokens
	Bytes       int           `msgpack:"bytes"`  // length of the body; zero from entries that do not state it
	Priority    int           `msgpack:"priority"`
	Remaining   time.Duration `msgpack:"remaining"` // time until the request's deadline
	Fingerprint uint64        `msgpack:"fingerprint"`
	Gang        bool          `msgpack:"gang"` // the prompt is one segment of a longer prompt
	Key         string        `msgpack:"key"`  // Idempotency-Key, used to match a Cancel
	Batch       string        `msgpack:"batch"`
}

// Reserved grants a reservation that is valid until the lease ends.
type Reserved struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Lease       time.Duration `msgpack:"lease"`
	Load        Load          `msgpack:"load"`
}

// Header is one HTTP header field of a request to a plain service or its answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Run starts a reserved attempt. Engines use Body only; plain services use Method,
// Path and Headers as well.
type Run struct {
	Attempt     string        `msgpack:"attempt"`
	Incarnation uint64        `msgpack:"incarnation"`
	Remaining   time.Duration `msgpack:"remaining"`
	Method      string        `msgpack:"method"`
	Path        string        `msgpack:"path"`
	Headers     []Header      `msgpack:"headers"`
	Body        []byte        `msgpack:"body"`
	Import      []byte        `msgpack:"import"`  // gang: KV cache handle of the preceding segments
	Prefill     bool          `msgpack:"prefill"` // gang: prefill and hold the segment, and return its KV cache handle instead of decoding
}

// Chunk is one part of an answer. Seq starts at 1 for each attempt.
type Chunk struct {
	Attempt string   `msgpack:"attempt"`
	Seq     uint64   `msgpack:"seq"`
	Status  int      `msgpack:"status"`  // HTTP status, set on the first chunk of a plain service's answer
	Headers []Header `msgpack:"headers"` // set on the first chunk of a plain service's answer
	Data    []byte   `msgpack:"data"`
}

// Usage is the token usage of a request as reported by the engine.
type Usage struct {
	Prompt int `msgpack:"prompt"`
	Cached int `msgpack:"cached"`
	Output int `msgpack:"output"`
}

// End marks an answer as complete. Count is the number of chunks sent.
type End struct {
	Attempt string `msgpack:"attempt"`
	Count   uint64 `msgpack:"count"`
	Usage   Usage  `msgpack:"usage"`
	Load    Load   `msgpack:"load"`
	Export  []byte `msgpack:"export"` // gang: KV cache handle after a Prefill run
}

// Void withdraws an attempt unless it has started. The agent answers with Voided.
type Void struct {
	Attempt     string `msgpack:"attempt"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// Voided reports whether the attempt had started. NotRun means that it never will.
type Voided struct {
	Attempt string    `msgpack:"attempt"`
	Run     coder.Run `msgpack:"run"`
}

// Cancel ends a running attempt and frees its slot and memory. Without an Attempt
// it ends all attempts of an account that belong to Batch or use Key, except those
// whose id has the prefix Except, which identifies the attempts of one entry.
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
	Count   int    `msgpack:"count"` // number of attempts ended, if the Cancel names no Attempt
}

// Resume requests the chunks after Seq of a running or ended attempt.
type Resume struct {
	Attempt     string `msgpack:"attempt"`
	Incarnation uint64 `msgpack:"incarnation"`
	Seq         uint64 `msgpack:"seq"`
}

// Release returns an unused reservation.
type Release struct {
	Attempt string `msgpack:"attempt"`
}
