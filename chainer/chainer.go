// Package chainer composes filters around the handler of a request.
package chainer

import (
	"context"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// Request is one caller's request on its way through the chain. The shell fills
// the first group; each filter fills the fields that later ones read.
type Request struct {
	ID      string           // unique; the prefix of its attempts' ids
	Caller  string           // the caller's own id of the request; empty if it gave none
	Via     *configurer.Path // that it came by; nil if it named its service itself
	Token   string           // bearer token
	Key     string           // Idempotency-Key
	Batch   string
	Method  string
	Path    string // after the service's name; of a request with Via the whole, with its query
	Host    string
	Headers []messenger.Header
	Body    []byte
	Stream  bool
	Chat    bool
	Service string
	Model   string
	Full    string   // prompt text
	Text    int      // bytes of prompt text
	Prefix  []uint64 // hashes of the prompt's beginnings, shortest first
	Bound   int      // answer tokens the caller allows; zero for none
	Counted bool     // Prompt and Output came with the request
	After   string   // id of the last event that the caller has of a stream
	Arrived time.Time
	Timeout time.Duration // asked for; zero for the service's

	Config   *configurer.Configurer
	Spec     configurer.Service
	Account  string
	Deadline time.Time
	Once     bool // not idempotent
	Single   bool // not idempotent, and a resend is a request of its own: nothing is claimed
	Priority int

	Prompt      int // predicted tokens
	Output      int // predicted tokens
	Class       messenger.Class
	Fingerprint uint64
	Gang        bool // beyond one target's memory

	Answer Answer
	Trace  Trace
}

// Trace is what became of a request, for the log.
type Trace struct {
	Tries   int
	Target  string        // of the last try
	Helpers int           // of the last try
	Busy    int           // requests known at the target when it was chosen
	Held    time.Duration // until the process had its first view
	Queued  time.Duration
	First   time.Duration // from the arrival to the first piece of the answer
	Gap     time.Duration // longest between two pieces
}

// Answer receives what the caller gets. Begin is called before the chunks of an
// attempt; it returns false if an earlier attempt's chunks can't be taken back.
type Answer struct {
	Until func(time.Time) // bounds writes to a caller that doesn't read
	Begin func() bool
	Last  func() string // id of the last whole event written; nil if no other attempt can go on after it
	Chunk func(messenger.Chunk) error
	End   func(messenger.End) error
	Kept  func(messenger.End) []byte // the whole answer in its kept form; nil if too large
	Reply func([]byte) error         // writes an answer in its kept form
}

// Handler works on one request. Its error is what the caller is told.
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
