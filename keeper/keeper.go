// Package keeper hosts a replicated state machine: it owns the disk, the
// messages to the other keepers and the one goroutine that decides.
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
	// DefaultEvery is the number of entries between snapshots when Config.Every is zero.
	DefaultEvery = 1024

	trailCount = 256     // entries kept behind a snapshot for slow followers
	spanBytes  = 8 << 20 // of commands between snapshots, if the last snapshot is smaller
	inputCount = 1024
	tickParts  = 3 // ticks in a heartbeat
)

// Config says what a Keeper hosts and where. Apply, Snapshot and Restore are
// called on one goroutine only. Zero values of the fields after Folder and Pool
// take defaults.
type Config struct {
	Node     string
	Peers    []setter.Keeper // founding voters; of a group that grows, those it grows from
	Address  string          // where the other keepers reach this one, if Peers doesn't say
	Join     bool            // never founds a group, as its deployment is not new
	Grow     bool            // every keeper that asks is taken in
	Folder   string          // data folder
	Pool     *pooler.Pooler
	Apply    func(index uint64, command []byte) []byte
	Snapshot func() []byte
	Restore  func([]byte) error
	Log      *logrus.Entry
	Metrics  metrics.Registry
	Now      func() time.Time
	Seed     uint64 // of the election timeouts; zero takes a random one

	Heartbeat time.Duration
	Election  time.Duration
	Every     uint64                                      // entries between snapshots
	Files     recorder.Files                              // file system; the operating system's if zero
	Fatal     func(error)                                 // ends the process after a failed write or sync; os.Exit if nil
	Drop      func(to messenger.Member, message any) bool // faults: messages not to send; nil sends all
}

// Status is a view of a keeper for operators.
type Status struct {
	Node     string             `json:"node"`
	Disk     uint64             `json:"disk"`  // identity of the disk
	Group    uint64             `json:"group"` // zero before it belongs to a group
	Term     uint64             `json:"term"`
	Role     replicator.Role    `json:"role"`
	Leader   string             `json:"leader"`  // node; empty if unknown
	Address  string             `json:"address"` // of the leader
	Last     uint64             `json:"last"`    // last index of the log, synced
	Commit   uint64             `json:"commit"`
	Applied  uint64             `json:"applied"`
	Snapshot uint64             `json:"snapshot"` // index of the latest snapshot
	Voters   []messenger.Member `json:"voters"`
	Learners []messenger.Member `json:"learners"`
	Waiting  []messenger.Member `json:"waiting"`  // leader: keepers that ask to be members
	Repaired bool               `json:"repaired"` // leader: every voter holds all that is committed, and no member waits
	Lease    time.Time          `json:"lease"`    // leader: no other leads before; zero for none
}

// Keeper hosts one replica.
type Keeper struct {
	cfg   Config
	start time.Time
	in    chan input
	ctx   context.Context
	wg    conc.WaitGroup
	view  atomic.Pointer[Status]

	// Of the control goroutine.
	rec      *recorder.Recorder
	rep      *replicator.Replicator
	links    map[string]*link
	dirty    bool
	after    []replicator.Send
	apply    []messenger.Entry
	own      []any // messages to itself
	applied  uint64
	snapshot uint64
	span     int  // bytes of commands applied since the snapshot
	size     int  // bytes of the snapshot
	drafting bool // a snapshot is being written
	drafts   chan draft
	next     uint64              // number of the next call
	calls    map[uint64][]*call  // taken, by number
	pending  map[uint64]*promise // accepted, by index
	reads    map[uint64][]*call  // confirmed, by index
	retiring []*call             // waiting for the hand-over
	gauges   gauges
	stop     context.CancelFunc
}

// New opens the folder and starts the replica. The returned function stops it.
// Errors: Invalid if neither Peers nor Address says where the node is, Damaged if the folder is
// refused, DiskFailed.
func New(cfg Config) (*Keeper, func(), error) {
	cfg.fill()
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
		cfg: cfg, start: cfg.Now(), in: make(chan input, inputCount), rec: rec,
		links: map[string]*link{}, drafts: make(chan draft), calls: map[uint64][]*call{}, pending: map[uint64]*promise{},
		reads: map[uint64][]*call{}, gauges: newGauges(cfg.Metrics),
	}
	if err := k.load(); err != nil {
		closeFolder()
		return nil, nil, err
	}
	k.ctx, k.stop = context.WithCancel(context.Background())
	k.publish()
	k.wg.Go(k.run)
	closer := func() {
		k.stop()
		k.wg.Wait()
		closeFolder()
	}
	return k, closer, nil
}

func (c *Config) fill() {
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = replicator.DefaultHeartbeatInterval
	}
	if c.Election == 0 {
		c.Election = replicator.DefaultElectionTimeout
	}
	if c.Every == 0 {
		c.Every = DefaultEvery
	}
	if c.Fatal == nil {
		log := c.Log
		c.Fatal = func(err error) {
			log.WithError(err).Error("data folder failed, ending the process")
			os.Exit(1)
		}
	}
}

// load restores the state machine and makes the replica.
func (k *Keeper) load() error {
	saved := k.rec.Saved()
	if saved.Snapshot.Index > 0 {
		if err := k.cfg.Restore(saved.Snapshot.Data); err != nil {
			return errors.Join(errors.New("restore snapshot"), err)
		}
	}
	k.applied, k.snapshot, k.size = saved.Snapshot.Index, saved.Snapshot.Index, len(saved.Snapshot.Data)
	self := messenger.Member{Node: k.cfg.Node, Address: k.cfg.Address, Disk: k.rec.Disk()}
	peers := make([]messenger.Member, 0, len(k.cfg.Peers))
	for _, p := range k.cfg.Peers {
		peers = append(peers, messenger.Member{Node: p.Node, Address: p.Address})
		if p.Node == k.cfg.Node {
			self.Address = p.Address
		}
	}
	k.rep = replicator.New(k.now(), replicator.Config{
		Self: self, Peers: peers, HeartbeatInterval: k.cfg.Heartbeat, ElectionTimeout: k.cfg.Election,
		Seed: k.cfg.Seed ^ uint64(k.start.UnixNano()), TrailingEntries: trailCount,
		Join: k.cfg.Join, Grow: k.cfg.Grow,
	}, saved)
	return nil
}

func (k *Keeper) now() time.Duration { return k.cfg.Now().Sub(k.start) }

// Status returns the latest view.
func (k *Keeper) Status() Status { return *k.view.Load() }

// publish updates the view and logs a change of role or leader.
func (k *Keeper) publish() {
	s := k.rep.Status()
	v := &Status{
		Node: k.cfg.Node, Disk: k.rec.Disk(), Group: s.State.Group, Term: s.State.Term, Role: s.Role,
		Leader: s.Leader.Node, Address: s.Leader.Address, Last: s.Last, Commit: s.Commit,
		Applied: k.applied, Snapshot: s.Snapshot, Voters: s.Members.Voters, Learners: s.Members.Learners,
		Waiting: s.Waiting, Repaired: s.Repaired,
	}
	if s.LeaseEnd > 0 {
		v.Lease = k.start.Add(s.LeaseEnd)
	}
	old := k.view.Swap(v)
	if old != nil && (old.Role != v.Role || old.Leader != v.Leader || !slices.Equal(old.Voters, v.Voters)) {
		k.cfg.Log.WithFields(logrus.Fields{
			"role": v.Role.String(), "leader": v.Leader, "term": v.Term, "voters": len(v.Voters), "commit": v.Commit,
		}).Info("keeper changed")
	}
}
