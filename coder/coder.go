// Package coder numbers every outcome the system reports to callers, operators
// and its own processes. The numbers are stable: a code is never renumbered or
// reused, and docs/CODES.md is generated from the table in this package.
package coder

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Code,Run -output=code_string.go
//go:generate go run ./tablegen ../docs/CODES.md

// Code is the number of one outcome. The zero value is OK.
type Code uint16

// OK reports success.
const OK Code = 0

// Codes 1xxx: the request itself is wrong; sending it again unchanged fails again.
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
)

// Codes 2xxx: refused before it ran; sending it again after Retry-After may succeed.
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
)

// Codes 3xxx: failed after it may have run.
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

// Codes 5xxx: faults between the system's own processes.
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

// Run tells whether a request ran. The zero value makes no claim.
type Run uint8

// What is known of a request's execution.
const (
	Unknown Run = iota
	NotRun
	Ran
)

// Header returns the value of the Bramleyshunt-Run header.
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

// Error is an outcome other than OK, with what the caller may do about it.
type Error struct {
	Code  Code
	Run   Run
	Text  string
	Retry time.Duration // when to come back; zero if coming back does not help
	Cause error
}

// Error returns the number, the title and the particulars.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an Error of the given code. The run state is the code's own
// default: NotRun for codes 1xxx, 2xxx and 4xxx but Unconfirmed, Unknown otherwise.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Run(), Text: fmt.Sprintf(format, args...)}
}

// Of returns the Error inside err, an Internal one if err carries none, and nil
// for a nil err.
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

// Run returns what a bare code says of execution. ClaimHeld says nothing: the
// request that holds the key may run.
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

// Status returns the HTTP status that carries the code.
func (c Code) Status() int {
	if d, ok := table[c]; ok {
		return d.Status
	}
	return http.StatusInternalServerError
}

// Title returns the one-line description of the code.
func (c Code) Title() string { return table[c].Title }
