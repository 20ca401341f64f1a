package messenger

import "time"

// Member is one replica of the keepers' log. Its identity is that of its disk:
// an emptied or swapped disk makes another member of the same node.
type Member struct {
	Node    string `msgpack:"node" json:"node"`
	Address string `msgpack:"address" json:"address"` // host:port
	Disk    uint64 `msgpack:"disk" json:"disk"`       // random number written when the disk was formatted
}

// Members is the set of replicas of a group. Learners hold the log without a vote.
type Members struct {
	Group    uint64   `msgpack:"group"`
	Voters   []Member `msgpack:"voters"`
	Learners []Member `msgpack:"learners"`
}

// Entry is one entry of the replicated log. Without Members and Data it only
// marks the start of a term.
type Entry struct {
	Index   uint64   `msgpack:"index"`
	Term    uint64   `msgpack:"term"`
	Members *Members `msgpack:"members"` // the member set from this entry on
	Data    []byte   `msgpack:"data"`    // command of the state machine
}

// Route heads every message between keepers.
type Route struct {
	From  Member `msgpack:"from"`
	To    uint64 `msgpack:"to"`    // disk identity; zero for whichever disk the node has
	Group uint64 `msgpack:"group"` // zero before the sender belongs to a group
	Term  uint64 `msgpack:"term"`
}

// Vote asks for a vote in Term, or with Pre whether it would be given.
type Vote struct {
	Route    `msgpack:",inline"`
	Pre      bool   `msgpack:"pre"`
	Last     uint64 `msgpack:"last"` // last index of the candidate's log
	LastTerm uint64 `msgpack:"lastterm"`
	Forced   bool   `msgpack:"forced"` // the leader of the term before gave up its lease
}

// Voted answers a Vote.
type Voted struct {
	Route   `msgpack:",inline"`
	Pre     bool `msgpack:"pre"`
	Granted bool `msgpack:"granted"`
}

// Append carries entries, or none as heartbeat, from the leader.
type Append struct {
	Route    `msgpack:",inline"`
	Prev     uint64        `msgpack:"prev"` // index before the first entry
	PrevTerm uint64        `msgpack:"prevterm"`
	Entries  []Entry       `msgpack:"entries"`
	Commit   uint64        `msgpack:"commit"`
	Stamp    time.Duration `msgpack:"stamp"` // leader's clock when sent
}

// Appended answers an Append once its entries are synced.
type Appended struct {
	Route   `msgpack:",inline"`
	Granted bool          `msgpack:"granted"`
	Prev    uint64        `msgpack:"prev"`  // of the Append
	Match   uint64        `msgpack:"match"` // synced and equal to the leader's log up to here
	Hint    uint64        `msgpack:"hint"`  // if not granted: where the logs may agree
	Stamp   time.Duration `msgpack:"stamp"` // of the Append
}

// Install carries one part of a snapshot.
type Install struct {
	Route     `msgpack:",inline"`
	Index     uint64        `msgpack:"index"` // last entry the snapshot covers
	IndexTerm uint64        `msgpack:"indexterm"`
	Members   Members       `msgpack:"members"`
	Offset    int           `msgpack:"offset"` // of Data in the snapshot, bytes
	Total     int           `msgpack:"total"`  // bytes
	Data      []byte        `msgpack:"data"`
	Stamp     time.Duration `msgpack:"stamp"`
}

// Installed answers an Install. Offset is where the next part starts.
type Installed struct {
	Route  `msgpack:",inline"`
	Index  uint64        `msgpack:"index"`
	Offset int           `msgpack:"offset"`
	Done   bool          `msgpack:"done"` // the whole snapshot is synced
	Stamp  time.Duration `msgpack:"stamp"`
}

// Probe is sent by a keeper without a group, or outside its group's member set.
type Probe struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"` // echoed in Probed
}

// Probed answers a Probe.
type Probed struct {
	Route  `msgpack:",inline"`
	Nonce  uint64 `msgpack:"nonce"`  // of the Probe
	Formed bool   `msgpack:"formed"` // belongs to a group
	Leader Member `msgpack:"leader"` // of that group, zero if unknown
	Token  uint64 `msgpack:"token"`  // must come back in Found; a later Probe voids it
}

// Found makes a keeper without a group a founding voter.
type Found struct {
	Route `msgpack:",inline"`
	Token uint64 `msgpack:"token"` // of the last Probed
	Entry Entry  `msgpack:"entry"` // first entry of the log
}

// Confirm asks the leader for an index that covers all that is committed now.
type Confirm struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"` // of the asking process
	ID    uint64 `msgpack:"id"`
}

// Confirmed answers a Confirm after a round of heartbeats.
type Confirmed struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"`
	ID    uint64 `msgpack:"id"`
	Index uint64 `msgpack:"index"`
}

// Stand asks a voter to stand for the next term at once: the leader of Term has
// given up its leadership.
type Stand struct {
	Route `msgpack:",inline"`
}
