package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Scope says which entries the counts of a Share belong to.
type Scope uint8

// Scopes. ScopeEntry is the only one that entries of earlier releases send.
const (
	ScopeEntry  Scope = iota // the sender; the receiver uses them itself
	ScopeMember              // the sender; the receiver adds them to its group
	ScopeGroup               // the sender and the members of its group
	ScopeFleet               // all entries, including the receiver
)

// Share reports to other entries the requests that entries have in flight, by target, and
// the rate limits that these have observed.
type Share struct {
	Node  string `msgpack:"node"`
	Sends []Sent `msgpack:"sends"`

	Limits    []Limit    `msgpack:"limits,omitempty"`
	Ejections []Ejection `msgpack:"ejections,omitempty"` // that are in force

	Uses    []Use `msgpack:"uses,omitempty"`     // largest accounts and the rest; absent from most messages: those of the last one that has any remain in force
	UsesAge int   `msgpack:"uses-age,omitempty"` // milliseconds since the oldest part of Uses was received

	Scope    Scope      `msgpack:"scope,omitempty"`
	Seq      uint64     `msgpack:"seq,omitempty"`      // of ScopeMember and ScopeGroup: increases with each one of the sender
	Base     uint64     `msgpack:"base,omitempty"`     // of ScopeGroup: Sends holds only targets whose sums have changed since this one; zero if it holds all
	Included []Included `msgpack:"included,omitempty"` // of ScopeFleet: the reports of the members that it includes
	Entries  int        `msgpack:"entries,omitempty"`  // of ScopeGroup and ScopeFleet: number of entries
	Oldest   int        `msgpack:"oldest,omitempty"`   // likewise: milliseconds since the oldest report was received
}

// Included names the report of a member that a sum includes.
type Included struct {
	_msgpack struct{} `msgpack:",as_array"`
	Node     string
	Seq      uint64
}

// Limit is a rate limit that an entry has observed in an answer of a target.
type Limit struct {
	Target      uint64  `msgpack:"target"`             // hash of the target's id
	Incarnation uint64  `msgpack:"incarnation"`        // of the target
	Rate        float64 `msgpack:"rate"`               // requests per second that the target accepts from all entries together; zero if it named none
	Age         int     `msgpack:"age"`                // milliseconds since the answer
	Observer    string  `msgpack:"observer,omitempty"` // node name of the entry, if another one passes the limit on
}

// Ejection takes a target out of use for a time, as it broke off requests of an entry.
type Ejection struct {
	Target      uint64 `msgpack:"target"`             // hash of the target's id
	Incarnation uint64 `msgpack:"incarnation"`        // of the target
	Left        int    `msgpack:"left"`               // milliseconds until it ends
	Observer    string `msgpack:"observer,omitempty"` // node name of the entry, if another one passes the ejection on
}

// Sent counts the requests in flight of one entry at one target.
type Sent struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Target         uint64   // hash of the target's id
	InFlight       int      // number of requests
	PendingPrefill int      // milliseconds of prefill still outstanding
	Memory         int      // tokens of engine memory reserved
	Unsplit        int      // of InFlight, those whose prompt is not split across a gang
	MinGap         int      // milliseconds, shortest inter-token gap allowed by a stream of InFlight; zero if none sets one
}

// Plus returns the sum of two counts of the same target.
func (s Sent) Plus(o Sent) Sent {
	s.Target = o.Target
	s.InFlight += o.InFlight
	s.PendingPrefill += o.PendingPrefill
	s.Memory += o.Memory
	s.Unsplit += o.Unsplit
	s.MinGap = ShorterGap(s.MinGap, o.MinGap)
	return s
}

// ShorterGap returns the shorter of two gaps. Zero means that there is no bound.
func ShorterGap[T int | time.Duration](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// sentFields is the number of fields of a Sent on the wire.
const sentFields = 6

// EncodeMsgpack encodes each field in as few bytes as its value allows. Sums over many
// targets are the largest messages that entries exchange often.
func (s *Sent) EncodeMsgpack(enc *msgpack.Encoder) error {
	err := enc.EncodeArrayLen(sentFields)
	if err == nil {
		err = enc.EncodeUint(s.Target)
	}
	for _, n := range []int{s.InFlight, s.PendingPrefill, s.Memory, s.Unsplit, s.MinGap} {
		if err == nil {
			err = enc.EncodeInt(int64(n))
		}
	}
	return err
}
