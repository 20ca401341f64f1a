// Package chainer composes filters around the handler of a request.
package chainer

import (
	"context"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// Request is a request on its way through the filter chain. The server that receives
// it fills the first group of fields; each filter fills the fields that later filters
// read.
type Request struct {
	ID             string           // unique; the prefix of its attempts' IDs
	CallerID       string           // request ID that the caller sent; empty if none
	PathConfig     *configurer.Path // path that the request arrived by; nil if the request names its service itself
	Token          string           // bearer token
	Key            string           // from the Idempotency-Key header
	Batch          string
	Method         string
	Path           string // after the service's name; the whole path with its query if PathConfig is set
	Host           string
	Headers        []messenger.Header
	Body           []byte
	Release        func() // frees the memory reserved for Body; nil if none is
	Stream         bool
	Chat           bool
	Service        string
	Model          string
	PromptText     string   // the whole prompt
	PromptBytes    int      // length of the prompt text, or of the body of a plain call
	PrefixHashes   []uint64 // hashes of the prompt's prefixes, shortest first
	Parts          []uint64 // hashes of the parts of the prompt that other requests may share, in order; nil if unknown
	MaxOutput      int      // max tokens of the answer set by the caller; zero for none
	HasTokenCounts bool     // Prompt and Output came with the request and are not predicted
	LastEventID    string   // ID of the last event of a stream that the caller has received
	Arrived        time.Time
	Timeout        time.Duration // requested by the caller; zero for the service's

	Config        *configurer.Configurer
	Spec          configurer.Service
	Account       string
	Deadline      time.Time
	NonIdempotent bool // must not be repeated once it may have run
	SkipClaim     bool // not idempotent, but a resend is a new request: nothing is claimed
	Priority      int

	Prompt      int // predicted tokens
	Output      int // predicted tokens
	Class       messenger.Class
	Fingerprint uint64
	Trial       bool      // sent although its parts are isolated, to find out whether they crash targets
	TrialBy     time.Time // latest time at which it may be sent so
	Gang        bool      // exceeds the memory of any single target

	Regions []string // where its path and account allow it to be served, sorted; empty for anywhere

	Answer Answer
	Trace  Trace
}

// Trace records how a request was handled, for the log.
type Trace struct {
	Attempts       int
	Target         string        // of the last attempt
	Helpers        int           // of the last attempt
	TargetRequests int           // known requests at the target when it was picked
	Reported       int           // requests at the target by its own answer, this one included; zero if it tells none
	PeerEntries    int           // other entries whose requests were known then
	PeerAge        time.Duration // age of the oldest report of them
	Relay          string        // node name of the entry that picked the target, if another one did
	Held           time.Duration // wait for the first view after the process started
	Queued         time.Duration // wait for a target, over all attempts
	Wait           time.Duration // from the last placement to the first chunk that followed it
	Prefill        time.Duration // predicted part of Wait, without other requests at the target
	Silence        time.Duration // attempts given up because the target was silent
	Refusal        time.Duration // attempts that did not run
	Cut            time.Duration // other attempts that failed
	TTFT           time.Duration // from arrival to the first chunk of the answer
	MaxGap         time.Duration // longest gap between two chunks
}

// Answer writes to the caller. Begin is called before the chunks of each attempt; it
// returns false if chunks of an earlier attempt have been sent and cannot be
// withdrawn.
type Answer struct {
	SetWriteDeadline func(time.Time) // bounds writes to a caller that does not read
	Begin            func() bool
	Resumable        func() bool       // whether Begin would return true; nil if no attempt may run beside another one
	HasEvent         func([]byte) bool // whether data from the start of an attempt holds a whole event; nil if any data can be passed on
	Events           func() int        // complete events of a stream written so far, over all attempts; nil if not known
	LastEventID      func() string     // ID of the last complete event written; nil if no other attempt can resume after it
	Chunk            func(messenger.Chunk) error
	CheckEnd         func() error // returns an error with code TargetLost if the chunks so far are no whole answer; nil if that is unknown
	End              func(messenger.End) error
	Encode           func(messenger.End) []byte // the whole answer in the form that Replay accepts; nil if too large
	Replay           func([]byte) error         // writes an answer that Encode has returned
}

// Handler handles one request. Its error is the one to report to the caller.
type Handler func(ctx context.Context, r *Request) error

// Filter wraps a handler.
type Filter func(next Handler) Handler

// Chainer holds filters in the order in which requests pass them.
type Chainer struct {
	Filters []Filter
}

// Then returns the handler that passes a request through all filters to last.
func (c *Chainer) Then(last Handler) Handler {
	h := last
	for i := len(c.Filters) - 1; i >= 0; i-- {
		h = c.Filters[i](h)
	}
	return h
}
