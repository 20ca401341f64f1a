package messenger

import "time"

// Member is one replica of the keepers' log. It is identified by its disk: a node
// whose disk was wiped or replaced is a different member.
type Member struct {
	Node    string `msgpack:"node" json:"node"`
	Address string `msgpack:"address" json:"address"` // host:port
	Disk    uint64 `msgpack:"disk" json:"disk"`       // random number written when the data folder is created
}

// Members is the set of replicas of a Raft group. Learners replicate the log but
// have no vote.
type Members struct {
	Group    uint64   `msgpack:"group"`
	Voters   []Member `msgpack:"voters"`
	Learners []Member `msgpack:"learners"`
}

// Entry is one entry of the replicated log. An entry without Members and Data is
// the no-op that a new leader appends at the start of its term.
type Entry struct {
	Index   uint64   `msgpack:"index"`
	Term    uint64   `msgpack:"term"`
	Members *Members `msgpack:"members"` // member set in effect from this entry on
	Data    []byte   `msgpack:"data"`    // encoded command for the state machine
}

// Route is the common header of all messages between keepers.
type Route struct {
	From  Member `msgpack:"from"`
	To    uint64 `msgpack:"to"`    // disk of the receiver; zero for any disk
	Group uint64 `msgpack:"group"` // zero while the sender belongs to no group
	Term  uint64 `msgpack:"term"`
}

// Vote requests a vote for Term. With Pre set it is a pre-vote, which asks only
// whether the vote would be granted.
type Vote struct {
	Route    `msgpack:",inline"`
	Pre      bool   `msgpack:"pre"`
	Last     uint64 `msgpack:"last"` // index of the last entry of the candidate's log
	LastTerm uint64 `msgpack:"lastterm"`
	Forced   bool   `msgpack:"forced"` // the previous leader handed over, so its lease does not block the vote
}

// Voted answers a Vote.
type Voted struct {
	Route   `msgpack:",inline"`
	Pre     bool `msgpack:"pre"`
	Granted bool `msgpack:"granted"`
}

// Append carries log entries from the leader. Without entries it is a heartbeat.
type Append struct {
	Route    `msgpack:",inline"`
	Prev     uint64        `msgpack:"prev"` // index of the entry before Entries
	PrevTerm uint64        `msgpack:"prevterm"`
	Entries  []Entry       `msgpack:"entries"`
	Commit   uint64        `msgpack:"commit"`
	Stamp    time.Duration `msgpack:"stamp"` // leader's clock at the time of sending
}

// Appended answers an Append once its entries are synced.
type Appended struct {
	Route   `msgpack:",inline"`
	Granted bool          `msgpack:"granted"`
	Prev    uint64        `msgpack:"prev"`  // as in the Append
	Match   uint64        `msgpack:"match"` // last index that is synced and matches the leader's log
	Hint    uint64        `msgpack:"hint"`  // if not granted: index at which the logs may match
	Stamp   time.Duration `msgpack:"stamp"` // as in the Append
}

// Install carries one chunk of a snapshot.
type Install struct {
	Route     `msgpack:",inline"`
	Index     uint64        `msgpack:"index"` // index of the last entry that the snapshot covers
	IndexTerm uint64        `msgpack:"indexterm"`
	Members   Members       `msgpack:"members"`
	Offset    int           `msgpack:"offset"` // of Data in the snapshot, in bytes
	Total     int           `msgpack:"total"`  // size of the snapshot in bytes
	Data      []byte        `msgpack:"data"`
	Stamp     time.Duration `msgpack:"stamp"`
}

// Installed answers an Install. Offset is that of the next chunk expected.
type Installed struct {
	Route  `msgpack:",inline"`
	Index  uint64        `msgpack:"index"`
	Offset int           `msgpack:"offset"`
	Done   bool          `msgpack:"done"` // the whole snapshot is synced
	Stamp  time.Duration `msgpack:"stamp"`
}

// Probe is sent by a keeper that has no group or is not in its group's member set.
type Probe struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"` // returned in Probed
}

// Probed answers a Probe.
type Probed struct {
	Route  `msgpack:",inline"`
	Nonce  uint64 `msgpack:"nonce"`  // as in the Probe
	Formed bool   `msgpack:"formed"` // the sender belongs to a group
	Leader Member `msgpack:"leader"` // of the sender's group; zero if unknown
	Token  uint64 `msgpack:"token"`  // to be returned in Found; invalidated by a later Probe
}

// Found makes a keeper that has no group a founding voter of a new one.
type Found struct {
	Route `msgpack:",inline"`
	Token uint64 `msgpack:"token"` // from the last Probed
	Entry Entry  `msgpack:"entry"` // first entry of the log
}

// Confirm is a read barrier: it requests from the leader an index that covers all
// entries committed so far.
type Confirm struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"` // of the requesting process
	ID    uint64 `msgpack:"id"`
}

// Confirmed answers a Confirm once a round of heartbeats has confirmed the leadership.
type Confirmed struct {
	Route `msgpack:",inline"`
	Nonce uint64 `msgpack:"nonce"`
	ID    uint64 `msgpack:"id"`
	Index uint64 `msgpack:"index"`
}

// Stand asks a voter to start an election for the next term at once, because the
// leader of Term hands over its leadership.
type Stand struct {
	Route `msgpack:",inline"`
}
