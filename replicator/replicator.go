// Package replicator decides for one replica of a replicated log: elections
// with a pre-vote, a leader lease, log replication, read barriers, snapshots
// and changes of the member set. It owns no goroutine, socket, file or clock.
package replicator

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/messenger"
)

const (
	// DefaultHeartbeat is the time between heartbeats when Config.Heartbeat is zero.
	DefaultHeartbeat = 150 * time.Millisecond
	// DefaultElectionTimeout is the least election timeout when Config.Election is zero.
	DefaultElectionTimeout = time.Second

	marginParts = 10 // of the election timeout, one part is kept off the lease
)

// Config says who the replica is. Zero durations take the defaults.
type Config struct {
	Self      messenger.Member
	Peers     []messenger.Member // founding nodes with their addresses; disks are unknown
	Heartbeat time.Duration
	Election  time.Duration // least time without a leader before an election
	Seed      uint64        // another one for each start of the process
	Trail     uint64        // entries kept behind a snapshot for slow followers

	// Join has the replica wait to be taken into a group; it never founds one.
	Join bool
	// Grow has the leader make a voter of every replica that probes it. One that
	// is silent by then gives its place to the new one.
	Grow bool
}

// State is what a replica must not forget beside its log.
type State struct {
	Group uint64 `msgpack:"group"`
	Term  uint64 `msgpack:"term"`
	Vote  uint64 `msgpack:"vote"` // disk voted for in Term
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64            `msgpack:"index"`
	Term    uint64            `msgpack:"term"`
	Members messenger.Members `msgpack:"members"`
	Data    []byte            `msgpack:"data"`
}

// Saved is what the disk held at the start.
type Saved struct {
	State    State
	Snapshot Snapshot
	Entries  []messenger.Entry // after the snapshot
}

// Proposal is a command with the caller's number for it.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Change asks for another member set.
type Change struct {
	ID   uint64
	Verb Verb
	Node string
}

// Event is what happened. The zero Event only lets time pass.
type Event struct {
	Message   any // pointer to a message of package messenger; nil for none
	Proposals []Proposal
	Confirm   uint64    // caller's number of a read barrier, rising; zero for none
	Change    *Change   // nil for none
	Compact   *Snapshot // state machine's Data at Index; nil for none
	Retire    bool      // hand the leadership over as soon as all entries are committed
}

// Send is a message for a member. One for the replica itself comes back as Event.
type Send struct {
	To   messenger.Member
	Body any // pointer to a message of package messenger
}

// Accepted tells where in the log a proposal stands.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Read ends a read barrier. Without OK there was no quorum to confirm it.
type Read struct {
	ID    uint64
	Index uint64 // to be applied before the answer
	OK    bool
}

// Actions is what must be done, in the order of the fields. Several Actions may
// be carried out with one sync: what is After a sync and Apply then wait for it.
type Actions struct {
	Send     []Send            // at once
	State    *State            // to save; nil if unchanged
	Install  *Snapshot         // replaces the log and the state machine
	Append   []messenger.Entry // drops what stood at or after the first one's index
	Snapshot *Snapshot         // to save; entries up to its index may be dropped
	After    []Send            // once all above is synced
	Apply    []messenger.Entry // once all above is synced
	Accepted []Accepted
	Refused  []uint64 // proposals and changes that were not taken
	Lost     bool     // leadership ended: the outcome of what was accepted is open
	Reads    []Read
}

// Replicator is one replica.
type Replicator struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out Actions

	state    State
	role     Role
	leader   messenger.Member // zero if unknown
	log      record
	snapshot Snapshot
	commit   uint64
	members  messenger.Members
	changed  uint64 // index of the entry that holds members

	heard    time.Duration // when the leader was last heard, or the start
	deadline time.Duration // of the election timeout
	pre      bool          // candidate: asks for pre-votes
	forced   bool          // candidate: stands at the old leader's wish
	votes    map[uint64]bool

	peers   map[uint64]*progress // leader: by disk
	elected time.Duration        // when it became leader
	first   uint64               // leader: index of the first entry of its term
	beat    time.Duration        // leader: when the next heartbeat is due
	reads   []read               // leader: barriers that wait for a quorum
	retired bool                 // leader: takes no more proposals

	asker    asker
	incoming incoming
	founder  founder
	absent   []stranger // leader: disks heard of that are no members
}

// New returns the replica that saved describes.
func New(now time.Duration, cfg Config, saved Saved) *Replicator {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Election == 0 {
		cfg.Election = DefaultElectionTimeout
	}
	r := &Replicator{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Disk)), now: now,
		state: saved.State, snapshot: saved.Snapshot, commit: saved.Snapshot.Index,
		log: record{base: saved.Snapshot.Index, baseTerm: saved.Snapshot.Term, entries: saved.Entries},
	}
	// A restarted voter may have heard a leader just before: it waits one timeout.
	r.heard = now
	if r.state.Group != 0 {
		r.role = Follower
	}
	r.asker.nonce = r.rng.Uint64()
	r.founder.token = r.rng.Uint64()
	r.reload()
	r.rest()
	return r
}

// Step takes what happened at now, a duration since any fixed time.
func (r *Replicator) Step(now time.Duration, ev Event) Actions {
	r.out = Actions{}
	r.now = max(r.now, now)
	r.tick()
	r.receive(ev.Message)
	r.propose(ev.Proposals)
	r.ask(ev.Confirm)
	r.change(ev.Change)
	r.compact(ev.Compact)
	r.retire(ev.Retire)
	r.flush()
	return r.out
}

func (r *Replicator) tick() {
	r.expire()
	switch r.role {
	case Leader:
		r.lead()
	case Outside:
		r.probe()
	case Follower, Candidate:
		r.follow()
	}
}

// receive dispatches a message. Messages for another disk of this node or of
// another group are dropped.
func (r *Replicator) receive(msg any) {
	switch m := msg.(type) {
	case *messenger.Vote:
		r.onVote(m)
	case *messenger.Voted:
		r.onVoted(m)
	case *messenger.Append:
		r.onAppend(m)
	case *messenger.Appended:
		r.onAppended(m)
	case *messenger.Install:
		r.onInstall(m)
	case *messenger.Installed:
		r.onInstalled(m)
	case *messenger.Probe:
		r.onProbe(m)
	case *messenger.Probed:
		r.onProbed(m)
	case *messenger.Found:
		r.onFound(m)
	case *messenger.Confirm:
		r.onConfirm(m)
	case *messenger.Confirmed:
		r.onConfirmed(m)
	case *messenger.Stand:
		r.onStand(m)
	}
}

// ours reports whether a message is for this disk and from its group.
func (r *Replicator) ours(m *messenger.Route) bool {
	return m.To == r.cfg.Self.Disk && m.Group == r.state.Group && m.Group != 0
}

func (r *Replicator) route(to messenger.Member, term uint64) messenger.Route {
	return messenger.Route{From: r.cfg.Self, To: to.Disk, Group: r.state.Group, Term: term}
}

func (r *Replicator) send(to messenger.Member, body any) {
	r.out.Send = append(r.out.Send, Send{To: to, Body: body})
}

func (r *Replicator) after(to messenger.Member, body any) {
	r.out.After = append(r.out.After, Send{To: to, Body: body})
}

func (r *Replicator) save() {
	s := r.state
	r.out.State = &s
}

// write puts entries into the log and has them written.
func (r *Replicator) write(entries []messenger.Entry) {
	first := entries[0].Index
	for n := len(r.out.Append); n > 0 && r.out.Append[n-1].Index >= first; n-- {
		r.out.Append = r.out.Append[:n-1]
	}
	r.out.Append = append(r.out.Append, entries...)
	cut := first <= r.log.last()
	r.log.put(entries)
	if cut {
		r.reload()
		return
	}
	for i := range entries {
		if entries[i].Members != nil {
			r.adopt(*entries[i].Members, entries[i].Index)
		}
	}
}

// reload takes the member set from the log: a set is in force once it is written.
func (r *Replicator) reload() {
	if m, i := r.log.members(r.log.last()); m != nil {
		r.adopt(*m, i)
		return
	}
	r.adopt(r.snapshot.Members, r.snapshot.Index)
}

// commitTo has the entries up to i applied.
func (r *Replicator) commitTo(i uint64) {
	if i <= r.commit {
		return
	}
	r.out.Apply = append(r.out.Apply, r.log.between(r.commit, i)...)
	r.commit = i
}
