package messenger

import (
	"time"

	"bramleyshunt/coder"
)

// Announce renews the lease of a target at a keeper.
type Announce struct {
	Target Target        `msgpack:"target"`
	Lease  time.Duration `msgpack:"lease"`
	// Gone says that the target leaves without having said so before.
	Gone bool `msgpack:"gone,omitempty"`
	// Relayed says that another keeper passed it on.
	Relayed bool `msgpack:"relayed,omitempty"`
	// Spread asks the keeper to pass it on, as the sender tells no other.
	Spread bool `msgpack:"spread,omitempty"`
}

// Announced answers an Announce with what the target must know.
type Announced struct {
	Fence   uint64 `msgpack:"fence"`   // highest order number issued for the target
	Leader  string `msgpack:"leader"`  // identity of the leading keeper
	Version uint64 `msgpack:"version"` // configuration in force

	// Confirmed says that a quorum confirmed Fence after the Announce arrived. An
	// agent that has lost its memory takes no number from an answer without it.
	Confirmed bool `msgpack:"confirmed"`
}

// Watch asks a keeper for a stream of Updates.
type Watch struct {
	Node    string `msgpack:"node"`
	Version uint64 `msgpack:"version"` // configuration held; zero for none

	// Lean asks for the configuration alone, without targets and quarantine.
	Lean bool `msgpack:"lean"`
	// Seq rises with each Watch of a stream; see Update.Seq.
	Seq uint64 `msgpack:"seq"`
}

// File is one configuration file; nil Data removes it.
type File struct {
	Name string `msgpack:"name"`
	Data []byte `msgpack:"data"`
}

// Update carries what changed since the last one of the same stream. The first
// one of a stream carries all targets and the whole quarantine. A watcher sends
// another Watch on the stream to report the version it has put in force.
type Update struct {
	// Keepers are the members of the keepers' group; none if they have not changed.
	Keepers []Member `msgpack:"keepers,omitempty"`

	Version   uint64   `msgpack:"version"`
	Full      bool     `msgpack:"full"` // Files is the whole folder
	Files     []File   `msgpack:"files"`
	Targets   []Target `msgpack:"targets"`
	Gone      []string `msgpack:"gone"`      // target ids whose lease ended
	Confirmed bool     `msgpack:"confirmed"` // the keeper has just reached a quorum
	Blocked   []uint64 `msgpack:"blocked"`   // quarantined fingerprints that are new
	Freed     []uint64 `msgpack:"freed"`     // fingerprints whose quarantine ended
	// Seq is the highest Seq of a Watch that arrived before a quorum was asked and
	// confirmed Version. Its age bounds the age of what the watcher holds, however
	// long the Update was on its way.
	Seq uint64 `msgpack:"seq"`
	// Loads tells of targets whose load alone has changed.
	Loads []Digest `msgpack:"loads,omitempty"`
}

// Digest is the load of one target, without its memory, which Target tells.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Seq      uint64
	Waiting  int
	Running  int
	Used     int
	Speed    int
	Pace     int
}

// DigestOf returns the digest of a target's load.
func DigestOf(t *Target) Digest {
	l := t.Load
	return Digest{ID: t.ID, Seq: l.Seq, Waiting: l.Waiting, Running: l.Running, Used: l.Used, Speed: l.Speed, Pace: l.Pace}
}

// Load returns the load that the digest tells, for a target of the given memory.
func (d *Digest) Load(memory int) Load {
	return Load{Seq: d.Seq, Waiting: d.Waiting, Running: d.Running, Used: d.Used, Memory: memory, Speed: d.Speed, Pace: d.Pace}
}

// State is the state of an idempotency claim.
type State uint8

// Claim states.
const (
	ClaimNone State = iota
	ClaimHeld
	ClaimRun
	ClaimDone
	ClaimVoid
)

// Claim moves an idempotency claim to a state.
type Claim struct {
	Account string `msgpack:"account"`
	Service string `msgpack:"service"`
	Key     string `msgpack:"key"`
	Digest  uint64 `msgpack:"digest"` // of the request body
	Owner   string `msgpack:"owner"`  // attempt that holds the claim
	State   State  `msgpack:"state"`  // wanted
	Target  string `msgpack:"target"`
	Answer  []byte `msgpack:"answer"` // kept with ClaimDone
}

// Claimed answers a Claim with the state that now stands.
type Claimed struct {
	Code   coder.Code `msgpack:"code"` // OK: the wanted state is recorded for the owner
	State  State      `msgpack:"state"`
	Owner  string     `msgpack:"owner"`
	Target string     `msgpack:"target"`
	Answer []byte     `msgpack:"answer"`
}

// Forward has a keeper pass a question on to the leader, for a node that can't
// reach the leader itself.
type Forward struct {
	Kind Kind   `msgpack:"kind"`
	Body []byte `msgpack:"body"`
}

// Propose carries an encoded command to the leading keeper.
type Propose struct {
	Data []byte `msgpack:"data"`
}

// Proposed returns the state machine's answer to the command.
type Proposed struct {
	Index uint64 `msgpack:"index"`
	Data  []byte `msgpack:"data"`
}

// Suspect reports a request that was running when a target's incarnation ended.
type Suspect struct {
	Fingerprint uint64 `msgpack:"fingerprint"`
	Target      string `msgpack:"target"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// Order tells an agent to change its target. Fence orders totally.
type Order struct {
	Fence   uint64 `msgpack:"fence"`
	Target  string `msgpack:"target"`
	Verb    string `msgpack:"verb"` // load, unload, adapter, version, role
	Model   string `msgpack:"model"`
	Version string `msgpack:"version"`
	Adapter string `msgpack:"adapter"`
	Lane    string `msgpack:"lane"`
}

// Ordered answers an Order.
type Ordered struct {
	Code  coder.Code `msgpack:"code"`
	Fence uint64     `msgpack:"fence"` // highest number executed
}

// Nodes asks a keeper which nodes it has heard of.
type Nodes struct{}

// Node tells what a keeper knows of one node.
type Node struct {
	Node    string        `msgpack:"node" json:"node"`
	Version uint64        `msgpack:"version" json:"version"` // in force there
	Target  string        `msgpack:"target" json:"target"`   // announced by it, if any
	Seen    time.Duration `msgpack:"seen" json:"seen"`       // since it was last heard of
}

// NodesListed answers Nodes.
type NodesListed struct {
	Nodes []Node `msgpack:"nodes"` // in order of their names
}
