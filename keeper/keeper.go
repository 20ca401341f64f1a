// Package keeper hosts a replicated state machine: it owns the disk, the
// messages to the other keepers and the one goroutine that decides.
package keeper

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/replicator"
	"bramleyshunt/setter"
)

// Config says what a Keeper hosts and where. Apply, Snapshot and Restore are
// called on one goroutine only.
type Config struct {
	Node     string
	Peers    []setter.Keeper // founding voters including this node
	Folder   string          // data folder
	Pool     *pooler.Pooler
	Apply    func(index uint64, command []byte) []byte
	Snapshot func() []byte
	Restore  func([]byte) error
	Log      *logrus.Entry
	Metrics  metrics.Registry
	Now      func() time.Time
	Seed     uint64
}

// Status is a view of a keeper for operators.
type Status struct {
	Node     string
	Disk     uint64 // identity of the disk
	Group    uint64 // zero before it belongs to a group
	Term     uint64
	Role     replicator.Role
	Leader   string // node; empty if unknown
	Address  string // of the leader
	Last     uint64 // last index of the log
	Commit   uint64
	Applied  uint64
	Voters   []messenger.Member
	Learners []messenger.Member
	Repaired bool // leader: every voter holds all that is committed, and no member waits
}

// Keeper hosts one replica.
type Keeper struct {
	cfg Config
}

// New opens the folder and starts the replica. The returned function stops it.
func New(cfg Config) (*Keeper, func(), error) {
	return &Keeper{cfg: cfg}, func() {}, nil
}

// Handle serves a stream of another keeper. It returns false at once if first
// is no message between keepers.
func (k *Keeper) Handle(_ context.Context, _ *muxer.Stream, _ muxer.Message) bool { return false }

// Propose appends a command to the log and returns the state machine's answer
// once it is applied. Errors: NotLeader, and Unconfirmed if the outcome is open.
func (k *Keeper) Propose(_ context.Context, _ []byte) (uint64, []byte, error) {
	return 0, nil, coder.Errorf(coder.NotLeader, "not started")
}

// Confirm returns once everything that was committed when it was called is
// applied here. It fails with NoQuorum.
func (k *Keeper) Confirm(_ context.Context) (uint64, error) {
	return 0, coder.Errorf(coder.NoQuorum, "not started")
}

// Status returns the latest view.
func (k *Keeper) Status() Status { return Status{Node: k.cfg.Node} }

// Change adds or removes a node. Only the leader accepts it.
func (k *Keeper) Change(_ context.Context, _ replicator.Verb, _ string) error {
	return coder.Errorf(coder.NotLeader, "not started")
}
