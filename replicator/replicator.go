// Package replicator implements a Raft-style consensus state machine for one replica:
// elections with a pre-vote, a leader lease, log replication, read barriers, snapshots
// and membership changes. It performs no I/O and owns no goroutine, socket, file or
// clock: [Replicator.Step] takes an event and returns the actions to carry out.
package replicator

import (
	"math/rand/v2"
	"time"

	"bramleyshunt/messenger"
)

const (
	// DefaultHeartbeatInterval is used when Config.HeartbeatInterval is zero.
	DefaultHeartbeatInterval = 150 * time.Millisecond
	// DefaultElectionTimeout is used when Config.ElectionTimeout is zero.
	DefaultElectionTimeout = time.Second

	leaseMarginDivisor = 10 // the lease is shorter than the election timeout by 1/leaseMarginDivisor of it
)

// Config describes the replica and its timeouts.
type Config struct {
	Self              messenger.Member
	Peers             []messenger.Member // founding nodes with their addresses; disk identities are not known
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // minimum; a random part of up to the same length is added
	Seed              uint64        // must differ between starts of the process
	TrailingEntries   uint64        // log entries retained before a snapshot's index, for followers that lag

	// Join makes the replica wait until a group adds it. It never founds a group.
	Join bool
	// Grow makes the leader add every replica that probes it as a voter. A voter that
	// is unresponsive by then is replaced by the new one.
	Grow bool
}

// HardState is the state, besides the log, that must survive a restart.
type HardState struct {
	Group uint64 `msgpack:"group"`
	Term  uint64 `msgpack:"term"`
	Vote  uint64 `msgpack:"vote"` // disk voted for in Term; zero for none

	// Leader is the disk of the last leader that this replica followed or was, and
	// LeaderTerm the term of that leader. Zero means unknown.
	Leader     uint64 `msgpack:"leader,omitempty"`
	LeaderTerm uint64 `msgpack:"leader_term,omitempty"`
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index   uint64            `msgpack:"index"`
	Term    uint64            `msgpack:"term"`
	Members messenger.Members `msgpack:"members"`
	Data    []byte            `msgpack:"data"`
}

// Saved is the persistent state that was read from disk at start-up.
type Saved struct {
	State    HardState
	Snapshot Snapshot
	Entries  []messenger.Entry // entries after the snapshot
}

// Proposal is a command to append to the log. ID is chosen by the caller.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Change requests a change of the member set. ID is chosen by the caller.
type Change struct {
	ID   uint64
	Verb Verb
	Node string
}

// Event is the input of [Replicator.Step]. The zero Event only advances the time.
type Event struct {
	Message            any // pointer to a message type of package messenger; nil for none
	Proposals          []Proposal
	ReadBarrier        uint64    // ID of a new read barrier, higher than all before; zero for none
	Change             *Change   // nil for none
	Compact            *Snapshot // state machine's Data as of Index; nil for none
	TransferLeadership bool      // hand over the leadership once all entries are committed
}

// Send is a message to a member. One addressed to the replica itself must be passed
// back to it in an Event.
type Send struct {
	To   messenger.Member
	Body any // pointer to a message type of package messenger
}

// Accepted reports the log position at which a proposal or change was appended.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Read is the result of a read barrier. OK is false if no quorum confirmed it in time.
type Read struct {
	ID    uint64
	Index uint64 // must be applied before the read is answered
	OK    bool
}

// Actions are to be carried out in the order of the fields. Several Actions may share
// one sync; SendAfterSync and Apply of all of them then wait for that sync.
type Actions struct {
	Send           []Send            // immediately
	State          *HardState        // to be saved; nil if unchanged
	Install        *Snapshot         // replaces the log and the state machine; nil for none
	Append         []messenger.Entry // replaces all entries from the first one's index on
	Snapshot       *Snapshot         // to be saved; entries up to its index may be dropped; nil for none
	SendAfterSync  []Send            // once everything above is synced
	Apply          []messenger.Entry // once everything above is synced
	Accepted       []Accepted
	Refused        []uint64 // IDs of rejected proposals and changes
	LeadershipLost bool     // the outcome of proposals accepted but not yet applied is unknown
	Reads          []Read
}

// Replicator is the state of one replica. It is not safe for concurrent use.
type Replicator struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out Actions

	state        HardState
	role         Role
	leader       messenger.Member // zero if unknown
	log          logTail
	snapshot     Snapshot
	commitIndex  uint64
	members      messenger.Members
	membersIndex uint64 // index of the entry that set members

	leaderContact    time.Duration // last message from the leader, or the start of the process; never if no leader's lease depends on this replica
	heardLeader      bool          // a leader was known at some time since the start of the process
	electionDeadline time.Duration // when to start an election
	preVote          bool          // candidate: collecting pre-votes
	forced           bool          // candidate: after a leadership transfer; voters ignore their contact with the leader
	votes            map[uint64]bool

	progress      map[uint64]*progress // leader: by disk
	electedAt     time.Duration        // leader: when it was elected
	termStart     uint64               // leader: index of the first entry of its term
	nextHeartbeat time.Duration        // leader: when the next heartbeat is due
	pendingReads  []pendingRead        // leader: read barriers waiting for a quorum
	transferring  bool                 // leader: refuses proposals and hands over the leadership

	readQueue  readQueue
	incoming   incomingSnapshot
	discovery  discovery
	nonmembers []nonmember // leader: senders of recent messages that are not members
}

// New returns a replica that resumes from saved.
func New(now time.Duration, cfg Config, saved Saved) *Replicator {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	r := &Replicator{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Disk)), now: now,
		state: saved.State, snapshot: saved.Snapshot, commitIndex: saved.Snapshot.Index,
		log: logTail{base: saved.Snapshot.Index, baseTerm: saved.Snapshot.Term, entries: saved.Entries},
	}
	// Before its restart, the replica may have received a message from a leader and so
	// support that leader's lease: it refuses votes for one election timeout. A replica that
	// was that leader itself has lost the lease with its process.
	r.leaderContact = now
	if r.state.Group != 0 {
		r.role = Follower
	}
	r.readQueue.nonce = r.rng.Uint64()
	r.discovery.token = r.rng.Uint64()
	r.reloadMembers()
	r.resetElectionDeadline()
	if r.state.Leader != 0 && r.state.Leader == r.cfg.Self.Disk {
		r.leaderContact, r.electionDeadline = never, now
	}
	return r
}

// Step advances the time to now, a duration since any fixed time, handles ev and
// returns the resulting actions.
func (r *Replicator) Step(now time.Duration, ev Event) Actions {
	r.out = Actions{}
	r.now = max(r.now, now)
	r.tick()
	r.handleMessage(ev.Message)
	r.appendProposals(ev.Proposals)
	r.startRead(ev.ReadBarrier)
	r.changeMembers(ev.Change)
	r.takeSnapshot(ev.Compact)
	r.transferLeadership(ev.TransferLeadership)
	r.replicate()
	return r.out
}

func (r *Replicator) tick() {
	r.expireReads()
	switch r.role {
	case Leader:
		r.tickLeader()
	case Outside:
		r.probePeers()
	case Follower, Candidate:
		r.tickFollower()
	}
}

// handleMessage dispatches a message to its handler.
func (r *Replicator) handleMessage(msg any) {
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

// addressedHere reports whether a message is for this disk and from its group.
func (r *Replicator) addressedHere(m *messenger.Route) bool {
	return m.To == r.cfg.Self.Disk && m.Group == r.state.Group && m.Group != 0
}

func (r *Replicator) route(to messenger.Member, term uint64) messenger.Route {
	return messenger.Route{From: r.cfg.Self, To: to.Disk, Group: r.state.Group, Term: term}
}

func (r *Replicator) send(to messenger.Member, body any) {
	r.out.Send = append(r.out.Send, Send{To: to, Body: body})
}

func (r *Replicator) sendAfterSync(to messenger.Member, body any) {
	r.out.SendAfterSync = append(r.out.SendAfterSync, Send{To: to, Body: body})
}

func (r *Replicator) saveHardState() {
	s := r.state
	r.out.State = &s
}

// writeEntries puts entries into the in-memory log, truncating it at the first one's
// index, and queues them for writing.
func (r *Replicator) writeEntries(entries []messenger.Entry) {
	first := entries[0].Index
	for n := len(r.out.Append); n > 0 && r.out.Append[n-1].Index >= first; n-- {
		r.out.Append = r.out.Append[:n-1]
	}
	r.out.Append = append(r.out.Append, entries...)
	truncated := first <= r.log.lastIndex()
	r.log.replaceFrom(entries)
	if truncated {
		r.reloadMembers()
		return
	}
	for i := range entries {
		if entries[i].Members != nil {
			r.setMembers(*entries[i].Members, entries[i].Index)
		}
	}
}

// reloadMembers sets the member set from the log. A set is in force once it is written,
// committed or not.
func (r *Replicator) reloadMembers() {
	if m, i := r.log.members(r.log.lastIndex()); m != nil {
		r.setMembers(*m, i)
		return
	}
	r.setMembers(r.snapshot.Members, r.snapshot.Index)
}

// commitTo raises the commit index to i and queues the entries up to it for applying.
func (r *Replicator) commitTo(i uint64) {
	if i <= r.commitIndex {
		return
	}
	r.out.Apply = append(r.out.Apply, r.log.slice(r.commitIndex, i)...)
	r.commitIndex = i
}
