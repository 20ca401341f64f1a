// Package coder defines the result codes that the system returns to callers,
// operators and its own processes. Codes are stable: they are never renumbered or
// reused. docs/CODES.md is generated from the table in this package.
package coder

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Code,Run -output=code_string.go
//go:generate go run ./tablegen ../docs/CODES.md

// Code is a result code. The zero value is OK.
type Code uint16

// OK reports success.
const OK Code = 0

// Codes 1xxx: the request is invalid. A retry without changes fails again.
const (
	Malformed Code = iota + 1001
	TooLarge
	Unauthenticated
	Forbidden
	UnknownService
	UnknownModel
	KeyRequired
	KeyReused
	BadTimeout
	PromptTooLong
	NotFound
	Quarantined
	MethodNotAllowed
	PartQuarantined
)

// Codes 2xxx: the request was rejected before it ran. A retry after Retry-After may
// succeed.
const (
	RateLimited Code = iota + 2001
	ConcLimited
	Overloaded
	NoTarget
	Leaving
	Stale
	NoQuorum
	MemoryFull
	WrongIncarnation
	LeaseExpired
	Busy
	NotReady
	ClaimHeld
	RetryBudget
	NoRegion
	BodiesFull
)

// Codes 3xxx: the request failed and may have run.
const (
	DeadlineExceeded Code = iota + 3001
	TargetLost
	EngineFailed
	Cancelled
	OutcomeUnknown
	Voided
	AlreadyRan
	GangLost
)

// Codes 4xxx: answers to operators.
const (
	Conflict Code = iota + 4001
	Invalid
	Fenced
	NotLeader
	Unconfirmed
)

// Codes 5xxx: failures within the system or between its processes.
const (
	BadFrame Code = iota + 5001
	BadVersion
	BadProof
	Silent
	Internal
	UnknownAttempt
	Damaged
	DiskFailed
)

// Run reports whether a request ran. The zero value is Unknown.
type Run uint8

// Execution states of a request.
const (
	Unknown Run = iota
	NotRun
	Ran
)

// Header returns the value for the Bramleyshunt-Run header.
func (r Run) Header() string {
	switch r {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Error is a result other than OK.
type Error struct {
	Code  Code
	Run   Run
	Text  string
	Retry time.Duration // delay before a retry; zero if a retry does not help
	Cause error
}

// Error returns the code, its title, the text and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s", e.Code, e.Code.Title())
	if e.Text != "" {
		s += ": " + e.Text
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns e.Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an Error with the given code. Its Run is the default of the code,
// c.Run().
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Run(), Text: fmt.Sprintf(format, args...)}
}

// Of returns the Error in the chain of err. It returns nil for a nil err, and an
// Error with code Internal if the chain has none.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Cause: err}
}

// Run returns the execution state that the code implies: NotRun for Voided and for
// codes 1xxx, 2xxx and 4xxx except ClaimHeld and Unconfirmed, Ran for OK and
// AlreadyRan, Unknown otherwise. ClaimHeld implies nothing, as the request that holds
// the key may run.
func (c Code) Run() Run {
	switch {
	case c == ClaimHeld:
		return Unknown
	case c == OK, c == AlreadyRan:
		return Ran
	case c == Unconfirmed:
		return Unknown
	case c == Voided, c < 3000, c >= 4000 && c < 5000:
		return NotRun
	default:
		return Unknown
	}
}

// Status returns the HTTP status for the code; 500 if the code is not in the table.
func (c Code) Status() int {
	if d, ok := table[c]; ok {
		return d.Status
	}
	return http.StatusInternalServerError
}

// Title returns the title of the code; empty if the code is not in the table.
func (c Code) Title() string { return table[c].Title }
