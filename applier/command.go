package applier

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Verb -output=verb_string.go

// Verb selects what a Command does. The values are stored in the log, so new verbs are
// only appended.
type Verb uint8

// Verbs of commands.
const (
	VerbNone Verb = iota
	VerbChange
	VerbClaim
	VerbSuspect
	VerbFence
	VerbTargets
	VerbParts
	VerbEvacuate
)

// Change replaces the whole configuration folder.
type Change struct {
	ID       string           `msgpack:"id"`      // chosen by the operator, identical in each resend
	Base     uint64           `msgpack:"base"`    // version on which the change is based
	Version  uint64           `msgpack:"version"` // new version, above Base
	Digest   []byte           `msgpack:"digest"`  // merger.Digest of Files
	Operator string           `msgpack:"operator"`
	Rules    int              `msgpack:"rules"` // checker.Rules of the process that validated Files
	Files    []messenger.File `msgpack:"files"`

	// HighestWins lets the highest version win, whatever Base is. A change whose version
	// is not above the one in force is answered with success and changes nothing.
	HighestWins bool `msgpack:"highest,omitempty"`
}

// Command is one entry of the replicated log. The leader that proposes it sets Time.
type Command struct {
	Verb    Verb               `msgpack:"verb"`
	Time    int64              `msgpack:"time"` // nanoseconds since the Unix epoch
	Change  *Change            `msgpack:"change,omitempty"`
	Claim   *messenger.Claim   `msgpack:"claim,omitempty"`
	Suspect *messenger.Suspect `msgpack:"suspect,omitempty"`
	Target  string             `msgpack:"target,omitempty"` // of a VerbFence
	Targets *Targets           `msgpack:"targets,omitempty"`
	Parts   *PartsChange       `msgpack:"parts,omitempty"`

	Evacuation *EvacuationOrder `msgpack:"evacuation,omitempty"`
}

// Record describes one accepted Change.
type Record struct {
	Version  uint64 `msgpack:"version" json:"version"`
	Base     uint64 `msgpack:"base" json:"base"`
	Change   string `msgpack:"change" json:"change"`
	Operator string `msgpack:"operator" json:"operator"`
	Digest   []byte `msgpack:"digest" json:"-"`
	Index    uint64 `msgpack:"index" json:"index"`
	Time     int64  `msgpack:"time" json:"time"` // nanoseconds since the Unix epoch
}

// Answer is the result of a Command.
type Answer struct {
	Code    coder.Code         `msgpack:"code"`
	Text    string             `msgpack:"text"`
	Version uint64             `msgpack:"version"` // accepted version; the version in force if the change was refused
	Winner  *Record            `msgpack:"winner,omitempty"`
	Claimed *messenger.Claimed `msgpack:"claimed,omitempty"`
	Fence   uint64             `msgpack:"fence,omitempty"`
	Granted bool               `msgpack:"granted,omitempty"` // of PartsChange.Claim

	Evacuation *EvacuationResult `msgpack:"evacuation,omitempty"`
}

// Err returns the answer's code as an error, nil for OK.
func (a *Answer) Err() error {
	if a.Code == coder.OK {
		return nil
	}
	return coder.Errorf(a.Code, "%s", a.Text)
}

// Encode returns the command encoded as a log entry, without setting its time.
func (c *Command) Encode() []byte { return encode(c) }

// Stamp sets the time of the command and returns it encoded as a log entry.
func (c *Command) Stamp(now time.Time) []byte {
	c.Time = now.UnixNano()
	return encode(c)
}

// DecodeCommand decodes a log entry. Errors carry code BadFrame.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, coder.Errorf(coder.BadFrame, "command: %v", err)
	}
	return &c, nil
}

// DecodeAnswer decodes the result of Apply. Errors carry code BadFrame.
func DecodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := msgpack.Unmarshal(data, &a); err != nil {
		return nil, coder.Errorf(coder.BadFrame, "answer: %v", err)
	}
	return &a, nil
}

// encode marshals a value of this package's plain data types. It panics on an error,
// which such types can't cause.
func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Encode returns the answer in the encoding that Apply returns.
func (a *Answer) Encode() []byte { return encode(a) }
