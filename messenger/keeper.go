package messenger

import (
	"time"

	"bramleyshunt/coder"
)

// Announce registers a target at a keeper or renews its lease.
type Announce struct {
	Target Target        `msgpack:"target"`
	Lease  time.Duration `msgpack:"lease"`
	// Gone deregisters the target at once, even if it was not announced as leaving before.
	Gone bool `msgpack:"gone,omitempty"`
	// Relayed reports that another keeper forwarded the announcement.
	Relayed bool `msgpack:"relayed,omitempty"`
	// Spread asks the keeper to forward the announcement to the other keepers, as
	// the sender announces to one keeper only.
	Spread bool `msgpack:"spread,omitempty"`
}

// Announced answers an Announce.
type Announced struct {
	Fence   uint64 `msgpack:"fence"`   // highest fencing token issued for the target
	Leader  string `msgpack:"leader"`  // address of the leading keeper; empty if unknown
	Version uint64 `msgpack:"version"` // configuration in force

	// Confirmed reports that a quorum confirmed Fence after the Announce arrived.
	// An agent that has lost its state accepts a fence only from a confirmed answer.
	Confirmed bool `msgpack:"confirmed"`
}

// Watch subscribes to a stream of Updates from a keeper. Another Watch on the
// same stream reports the configuration version that the watcher has put in force.
type Watch struct {
	Node    string `msgpack:"node"`
	Version uint64 `msgpack:"version"` // configuration that the watcher holds; zero if none

	// Lean requests the configuration only, without targets and quarantine.
	Lean bool `msgpack:"lean"`
	// Seq increases with each Watch of a stream; see Update.Seq.
	Seq uint64 `msgpack:"seq"`
	// Packs reports that the watcher accepts compressed files.
	Packs bool `msgpack:"packs,omitempty"`
}

// File is one configuration file. In an Update, nil Data removes the file unless it is
// compressed.
type File struct {
	Name   string `msgpack:"name"`
	Data   []byte `msgpack:"data"`
	Packed []byte `msgpack:"packed,omitempty"` // Data, compressed by package packer
}

// Update carries the changes since the previous Update of the same stream. The
// first Update of a stream carries all targets and the whole quarantine.
type Update struct {
	// Keepers lists the members of the keepers' group; empty if unchanged.
	Keepers []Member `msgpack:"keepers,omitempty"`

	Version   uint64   `msgpack:"version"`
	Full      bool     `msgpack:"full"` // Files holds the whole folder, not changes only
	Files     []File   `msgpack:"files"`
	Targets   []Target `msgpack:"targets"`
	Gone      []string `msgpack:"gone"`      // target ids whose lease ended
	Confirmed bool     `msgpack:"confirmed"` // a quorum has just confirmed the keeper's state
	Blocked   []uint64 `msgpack:"blocked"`   // fingerprints newly quarantined
	Freed     []uint64 `msgpack:"freed"`     // fingerprints whose quarantine ended
	// Seq is the highest Seq of a Watch that arrived before the quorum round that
	// confirmed Version began. The age of that Watch bounds the age of the watcher's
	// data, however long the Update was in transit.
	Seq uint64 `msgpack:"seq"`
	// Loads holds the targets of which only the load has changed.
	Loads []Digest `msgpack:"loads,omitempty"`
	// Isolated replaces the parts of prompts that are isolated; nil if unchanged.
	Isolated *Isolated `msgpack:"isolated,omitempty"`
	// Evacuated replaces the evacuated availability zones; nil if unchanged, or if the keeper
	// doesn't know of any.
	Evacuated *Evacuated `msgpack:"evacuated,omitempty"`
}

// Digest is the load of one target without its total memory, which Target carries.
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

// DigestOf returns the Digest of t.Load.
func DigestOf(t *Target) Digest {
	l := t.Load
	return Digest{ID: t.ID, Seq: l.Seq, Waiting: l.Waiting, Running: l.Running, Used: l.Used, Speed: l.Speed, Pace: l.Pace}
}

// Load returns the load of a target that has the given total memory in tokens.
func (d *Digest) Load(memory int) Load {
	return Load{Seq: d.Seq, Waiting: d.Waiting, Running: d.Running, Used: d.Used, Memory: memory, Speed: d.Speed, Pace: d.Pace}
}

// State is the state of an idempotency claim.
type State uint8

// Claim states.
const (
	ClaimNone State = iota
	ClaimHeld       // owned by an attempt that has not started
	ClaimRun        // the attempt may have started at a target
	ClaimDone       // the answer is recorded
	ClaimVoid       // the owner's attempt never ran
)

// Claim requests the transition of an idempotency claim to a state.
type Claim struct {
	Account string `msgpack:"account"`
	Service string `msgpack:"service"`
	Key     string `msgpack:"key"`
	Digest  uint64 `msgpack:"digest"` // of the request body
	Owner   string `msgpack:"owner"`  // attempt that holds the claim
	State   State  `msgpack:"state"`  // requested
	Target  string `msgpack:"target"`
	Answer  []byte `msgpack:"answer"` // recorded with ClaimDone
}

// Claimed answers a Claim with the resulting state.
type Claimed struct {
	Code   coder.Code `msgpack:"code"` // OK: the requested state is recorded for the owner
	State  State      `msgpack:"state"`
	Owner  string     `msgpack:"owner"`
	Target string     `msgpack:"target"`
	Answer []byte     `msgpack:"answer"`
}

// Forward has a keeper forward a request to the leader on behalf of a node that
// can't reach the leader itself.
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
	Fingerprint uint64 `msgpack:"fingerprint"` // zero if the request is not the cause
	Target      string `msgpack:"target"`
	Incarnation uint64 `msgpack:"incarnation"`

	// Parts holds the hashes of the parts of the prompt that may have ended the
	// incarnation; empty if the request's answer had gone on.
	Parts   []uint64 `msgpack:"parts,omitempty"`
	Node    string   `msgpack:"node,omitempty"`    // entry that reports; set with Service
	Service string   `msgpack:"service,omitempty"` // set if the prompt has parts
	// Sound is the time since the sender last had a sound answer of Service; negative for
	// none. It is set with Service.
	Sound time.Duration `msgpack:"sound,omitempty"`
}

// Isolated lists the parts of prompts that crash targets.
type Isolated struct {
	Groups    []PartGroup `msgpack:"groups"`    // requests that have all parts of a group are refused
	Suspected []uint64    `msgpack:"suspected"` // accused of more than one crash; sorted
}

// PartGroup is a set of parts of which one or more crash targets.
type PartGroup struct {
	Parts   []uint64 `msgpack:"parts"` // sorted
	Crashes int      `msgpack:"crashes"`
	Until   int64    `msgpack:"until"` // nanoseconds since the Unix epoch
	// Trial names the entry that last reported the parts. In builds that don't know Claim, it
	// sends one more request with them.
	Trial string `msgpack:"trial"`
	// Doubtful reports that the parts may well be sound, as they were answered before their
	// crashes or others share all of these.
	Doubtful bool `msgpack:"doubtful"`
	// Claim is the time from which an entry may claim to send one more request with these
	// parts, which frees them if it is answered; ClaimEnd is the end of that time.
	// Nanoseconds since the Unix epoch; zero for never.
	Claim    int64 `msgpack:"claim,omitempty"`
	ClaimEnd int64 `msgpack:"claimend,omitempty"`
}

// SoundPart reports that an answer to a request with a part went on.
type SoundPart struct {
	Part uint64        `msgpack:"part"`
	Ago  time.Duration `msgpack:"ago"`
}

// Order instructs an agent to change the state of its target. Orders of a target
// are totally ordered by Fence.
type Order struct {
	Fence   uint64 `msgpack:"fence"`
	Target  string `msgpack:"target"`
	Verb    string `msgpack:"verb"` // load, unload, adapter, version, role, drain, stay, standby or activate
	Model   string `msgpack:"model"`
	Version string `msgpack:"version"`
	Adapter string `msgpack:"adapter"`
	Lane    string `msgpack:"lane"`
}

// Ordered answers an Order.
type Ordered struct {
	Code  coder.Code `msgpack:"code"`
	Fence uint64     `msgpack:"fence"` // highest fencing token executed
}

// Nodes requests from a keeper the list of nodes that it has received messages from.
type Nodes struct{}

// Node is what a keeper has recorded of one node.
type Node struct {
	Node    string        `msgpack:"node" json:"node"`
	Version uint64        `msgpack:"version" json:"version"` // configuration in force at the node
	Target  string        `msgpack:"target" json:"target"`   // announced by the node, if any
	Seen    time.Duration `msgpack:"seen" json:"seen"`       // time since its last message
}

// NodesListed answers Nodes.
type NodesListed struct {
	Nodes []Node `msgpack:"nodes"` // sorted by name
}
