// Package keeper hosts a replicated state machine. It owns the data folder, the
// connections to the other keepers, and the control goroutine that drives the replica.
package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
	"bramleyshunt/setter"
)

const (
	// DefaultSnapshotEntries is the number of entries between snapshots if
	// Config.SnapshotEntries is zero.
	DefaultSnapshotEntries = 1024

	trailingEntries   = 256     // log entries retained before a snapshot's index, for followers that lag
	minSnapshotGrowth = 8 << 20 // bytes of commands between snapshots, if the last snapshot is smaller
	inputQueueSize    = 1024
	ticksPerHeartbeat = 3
)

// Config configures a Keeper. Apply, Snapshot and Restore are never called
// concurrently. Log, Metrics, Now and the fields after them may be zero and have
// defaults.
type Config struct {
	Node     string
	Peers    []setter.Keeper // founding voters; with Grow, the keepers that the group starts from
	Address  string          // where the other keepers reach this one, if it is not in Peers
	Join     bool            // never founds a group, because its deployment is not new
	Grow     bool            // every keeper that probes the group becomes a member
	Folder   string          // data folder
	Pool     *pooler.Pooler
	Apply    func(index uint64, command []byte) []byte
	Snapshot func() []byte
	Restore  func([]byte) error
	Log      *logrus.Entry
	Metrics  metrics.Registry
	Now      func() time.Time
	Seed     uint64 // of the randomized election timeouts; random if zero

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	SnapshotEntries   uint64                                      // entries between snapshots
	Files             recorder.Files                              // file system; that of the operating system if zero
	Fatal             func(error)                                 // called after a failed write or sync, must end the process; os.Exit if nil
	Drop              func(to messenger.Member, message any) bool // reports the messages to drop, for fault injection; drops none if nil
}

// Status is the state of a keeper as operators see it.
type Status struct {
	Node     string             `json:"node"`
	Disk     uint64             `json:"disk"`  // identity of the disk
	Group    uint64             `json:"group"` // identity of the group; zero before the keeper belongs to one
	Term     uint64             `json:"term"`
	Role     replicator.Role    `json:"role"`
	Leader   string             `json:"leader"`  // node; empty if unknown
	Address  string             `json:"address"` // of the leader
	Last     uint64             `json:"last"`    // index of the last synced entry
	Commit   uint64             `json:"commit"`
	Applied  uint64             `json:"applied"`
	Snapshot uint64             `json:"snapshot"` // index of the latest snapshot
	Voters   []messenger.Member `json:"voters"`
	Learners []messenger.Member `json:"learners"`
	Waiting  []messenger.Member `json:"waiting"`  // on the leader: keepers that sent a message recently and are not members
	Repaired bool               `json:"repaired"` // on the leader: every voter has all committed entries, and no change or repair of the members is open
	Lease    time.Time          `json:"lease"`    // on the leader: no other keeper leads before; zero if there is no lease
}

// Keeper hosts one replica. Its methods may be called concurrently.
type Keeper struct {
	cfg    Config
	start  time.Time
	inputs chan input
	ctx    context.Context
	wg     conc.WaitGroup
	status atomic.Pointer[Status]

	// Owned by the control goroutine.
	rec                *recorder.Recorder
	replica            *replicator.Replicator
	links              map[string]*link
	unsynced           bool
	sendAfterSync      []replicator.Send
	toApply            []messenger.Entry
	selfMessages       []any // from the replica to itself
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int  // of commands applied since the last snapshot
	snapshotBytes      int  // size of the last snapshot
	staging            bool // a snapshot is being written
	staged             chan stagedSnapshot
	lastCall           uint64                  // number of the latest call
	calls              map[uint64][]*call      // passed to the replica, by number
	pending            map[uint64]*pendingCall // entry is in the log, by index
	reads              map[uint64][]*call      // read barriers confirmed by the leader, by index
	transfers          []*call                 // waiting for the leadership to be transferred
	metrics            keeperMetrics
	stop               context.CancelFunc
}

// New opens the data folder and starts the replica. The returned function stops it.
// It fails with Invalid if neither Peers nor Address gives the address of the node,
// with Damaged if the folder is refused, and with DiskFailed.
func New(cfg Config) (*Keeper, func(), error) {
	cfg.setDefaults()
	if cfg.Address == "" && !slices.ContainsFunc(cfg.Peers, func(p setter.Keeper) bool { return p.Node == cfg.Node }) {
		return nil, nil, coder.Errorf(coder.Invalid, "keeper %q is not among the keepers in its settings", cfg.Node)
	}
	rec, closeFolder, err := recorder.New(recorder.Config{
		Folder: cfg.Folder, Node: cfg.Node, Disk: rand.Uint64() | 1, Files: cfg.Files,
	})
	if err != nil {
		return nil, nil, err
	}
	k := &Keeper{
		cfg: cfg, start: cfg.Now(), inputs: make(chan input, inputQueueSize), rec: rec,
		links: map[string]*link{}, staged: make(chan stagedSnapshot), calls: map[uint64][]*call{}, pending: map[uint64]*pendingCall{},
		reads: map[uint64][]*call{}, metrics: newMetrics(cfg.Metrics),
	}
	if err := k.load(); err != nil {
		closeFolder()
		return nil, nil, err
	}
	k.ctx, k.stop = context.WithCancel(context.Background())
	k.publishStatus()
	k.wg.Go(k.run)
	closer := func() {
		k.stop()
		k.wg.Wait()
		closeFolder()
	}
	return k, closer, nil
}

func (c *Config) setDefaults() {
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = replicator.DefaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = replicator.DefaultElectionTimeout
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.Fatal == nil {
		log := c.Log
		c.Fatal = func(err error) {
			log.WithError(err).Error("writing to the data folder failed; ending the process")
			os.Exit(1)
		}
	}
}

// load restores the state machine from the latest snapshot and creates the replica.
func (k *Keeper) load() error {
	saved := k.rec.Saved()
	if saved.Snapshot.Index > 0 {
		if err := k.cfg.Restore(saved.Snapshot.Data); err != nil {
			return errors.Join(errors.New("restore snapshot"), err)
		}
	}
	k.applied, k.snapshotIndex, k.snapshotBytes = saved.Snapshot.Index, saved.Snapshot.Index, len(saved.Snapshot.Data)
	self := messenger.Member{Node: k.cfg.Node, Address: k.cfg.Address, Disk: k.rec.Disk()}
	peers := make([]messenger.Member, 0, len(k.cfg.Peers))
	for _, p := range k.cfg.Peers {
		peers = append(peers, messenger.Member{Node: p.Node, Address: p.Address})
		if p.Node == k.cfg.Node {
			self.Address = p.Address
		}
	}
	k.replica = replicator.New(k.now(), replicator.Config{
		Self: self, Peers: peers, HeartbeatInterval: k.cfg.HeartbeatInterval, ElectionTimeout: k.cfg.ElectionTimeout,
		Seed: k.cfg.Seed ^ uint64(k.start.UnixNano()), TrailingEntries: trailingEntries,
		Join: k.cfg.Join, Grow: k.cfg.Grow,
	}, saved)
	return nil
}

func (k *Keeper) now() time.Duration { return k.cfg.Now().Sub(k.start) }

// Status returns the state after the latest step of the control goroutine.
func (k *Keeper) Status() Status { return *k.status.Load() }

// publishStatus updates the status and logs a change of role, leader or voters.
func (k *Keeper) publishStatus() {
	s := k.replica.Status()
	v := &Status{
		Node: k.cfg.Node, Disk: k.rec.Disk(), Group: s.State.Group, Term: s.State.Term, Role: s.Role,
		Leader: s.Leader.Node, Address: s.Leader.Address, Last: s.Last, Commit: s.Commit,
		Applied: k.applied, Snapshot: s.Snapshot, Voters: s.Members.Voters, Learners: s.Members.Learners,
		Waiting: s.Waiting, Repaired: s.Repaired,
	}
	if s.LeaseEnd > 0 {
		v.Lease = k.start.Add(s.LeaseEnd)
	}
	old := k.status.Swap(v)
	if old != nil && (old.Role != v.Role || old.Leader != v.Leader || !slices.Equal(old.Voters, v.Voters)) {
		k.cfg.Log.WithFields(logrus.Fields{
			"role": v.Role.String(), "leader": v.Leader, "term": v.Term, "voters": len(v.Voters), "commit": v.Commit,
		}).Info("keeper changed")
	}
}
