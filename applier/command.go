package applier

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Verb -output=verb_string.go

// Verb says what a Command does. Numbers are stable: append only.
type Verb uint8

// Verbs of commands.
const (
	VerbNone Verb = iota
	VerbChange
	VerbClaim
	VerbSuspect
	VerbFence
)

// Change replaces the whole folder of configuration.
type Change struct {
	ID       string           `msgpack:"id"`      // chosen by the operator, the same in each resend
	Base     uint64           `msgpack:"base"`    // version that the operator started from
	Version  uint64           `msgpack:"version"` // wanted, above Base
	Digest   []byte           `msgpack:"digest"`  // of Files, by merger.Digest
	Operator string           `msgpack:"operator"`
	Rules    int              `msgpack:"rules"` // checker.Rules of the process that checked Files
	Files    []messenger.File `msgpack:"files"`

	// Highest has the highest version win, whatever the change started from. One
	// that is not above the version in force is answered with success and changes nothing.
	Highest bool `msgpack:"highest,omitempty"`
}

// Command is one entry of the replicated log. The proposing leader stamps Time.
type Command struct {
	Verb    Verb               `msgpack:"verb"`
	Time    int64              `msgpack:"time"` // nanoseconds since the epoch
	Change  *Change            `msgpack:"change,omitempty"`
	Claim   *messenger.Claim   `msgpack:"claim,omitempty"`
	Suspect *messenger.Suspect `msgpack:"suspect,omitempty"`
	Target  string             `msgpack:"target,omitempty"` // of a Fence
}

// Record tells of one accepted Change.
type Record struct {
	Version  uint64 `msgpack:"version" json:"version"`
	Base     uint64 `msgpack:"base" json:"base"`
	Change   string `msgpack:"change" json:"change"`
	Operator string `msgpack:"operator" json:"operator"`
	Digest   []byte `msgpack:"digest" json:"-"`
	Index    uint64 `msgpack:"index" json:"index"`
	Time     int64  `msgpack:"time" json:"time"` // nanoseconds since the epoch
}

// Answer is what a Command came to.
type Answer struct {
	Code    coder.Code         `msgpack:"code"`
	Text    string             `msgpack:"text"`
	Version uint64             `msgpack:"version"` // accepted; of a Conflict the current one
	Winner  *Record            `msgpack:"winner,omitempty"`
	Claimed *messenger.Claimed `msgpack:"claimed,omitempty"`
	Fence   uint64             `msgpack:"fence,omitempty"`
}

// Err returns the answer's code as an error, nil for OK.
func (a *Answer) Err() error {
	if a.Code == coder.OK {
		return nil
	}
	return coder.Errorf(a.Code, "%s", a.Text)
}

// Encode returns the command as a log entry.
func (c *Command) Encode() []byte { return encode(c) }

// Stamp returns the command as a log entry with its time set.
func (c *Command) Stamp(now time.Time) []byte {
	c.Time = now.UnixNano()
	return encode(c)
}

// DecodeCommand reads a log entry. Errors carry code BadFrame.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, coder.Errorf(coder.BadFrame, "command: %v", err)
	}
	return &c, nil
}

// DecodeAnswer reads what Apply returned. Errors carry code BadFrame.
func DecodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := msgpack.Unmarshal(data, &a); err != nil {
		return nil, coder.Errorf(coder.BadFrame, "answer: %v", err)
	}
	return &a, nil
}

// encode marshals plain data of this package, which can't fail.
func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Encode returns the answer as Apply does.
func (a *Answer) Encode() []byte { return encode(a) }
