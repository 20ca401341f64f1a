package replicator_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const (
	heartbeat = 50 * time.Millisecond
	election  = 300 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// faults are probabilities, in parts per thousand, for each message or step.
type faults struct {
	drop, duplicate int
	skipSync        int           // a step's writes are not synced before the next step
	crash           int           // a node is killed before its sync and restarted
	maxDelay        time.Duration // messages may be reordered
}

type packet struct {
	due  time.Duration
	from int
	to   int
	body any
}

// cluster simulates replicas with a network, disks and one clock, and checks the invariants
// among them.
type cluster struct {
	fail            func(format string, args ...any)
	rng             *rand.Rand
	now             time.Duration
	faults          faults
	heartbeat       time.Duration // heartbeat interval of replicas that start
	electionTimeout time.Duration // election timeout of replicas that start
	nodes           []*node
	packets         []packet
	cutLinks        map[[2]int]bool // by sender and receiver
	clocksStop      bool            // clocks of frozen nodes stop, so that leases guarantee nothing
	lastWiped       int             // node whose disk was replaced last
	removing        *node           // node that is being removed and added again; nil for none
	disks           uint64
	seeds           int            // number of nodes that are every node's peers; zero for all, in a group that does not grow
	onSend          func(body any) // called for each message sent; may be nil

	leaders      map[[2]uint64]uint64 // disk by group and term
	history      map[[2]uint64]uint64 // hash of all entries applied up to an index, by group and index
	groups       map[uint64]bool      // groups in which an entry was applied
	maxAcked     uint64               // highest index whose proposer got an answer
	ackedAtStart map[uint64]uint64    // maxAcked at the start of each read barrier
	nextID       uint64               // ID of the last proposal, read or change
	readsDone    int                  // completed read barriers
}

func newCluster(seed uint64, n int, fail func(string, ...any)) *cluster {
	return newSeededCluster(seed, n, 0, fail)
}

// newSeededCluster returns a cluster whose group grows and whose nodes have only its first
// nodes, the seeds, as peers. Without seeds all nodes are peers and the group does not grow.
func newSeededCluster(seed uint64, n, seeds int, fail func(string, ...any)) *cluster {
	c := &cluster{
		seeds: seeds,

		fail: fail, heartbeat: heartbeat, electionTimeout: election, rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]int]bool{},
		leaders: map[[2]uint64]uint64{}, history: map[[2]uint64]uint64{}, groups: map[uint64]bool{}, ackedAtStart: map[uint64]uint64{},
	}
	for i := range n {
		c.nodes = append(c.nodes, &node{c: c, index: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, n := range c.nodes {
		n.replaceDisk()
		n.start()
	}
	return c
}

func (c *cluster) chance(perMille int) bool { return c.rng.IntN(1000) < perMille }

func (c *cluster) send(from *node, sends []replicator.Send) {
	for _, s := range sends {
		if s.To.Disk == from.disk {
			from.toSelf = append(from.toSelf, s.Body)
			continue
		}
		if c.onSend != nil {
			c.onSend(s.Body)
		}
		to := slices.IndexFunc(c.nodes, func(n *node) bool { return n.name == s.To.Address })
		copies := 1
		if c.chance(c.faults.drop) || c.cutLinks[[2]int{from.index, to}] {
			copies = 0
		} else if c.chance(c.faults.duplicate) {
			copies = 2
		}
		for range copies {
			delay := time.Duration(c.rng.Int64N(int64(c.faults.maxDelay + tick)))
			c.packets = append(c.packets, packet{due: c.now + delay, from: from.index, to: to, body: s.Body})
		}
	}
}

// run advances the time by d.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		c.deliver()
		for _, n := range c.nodes {
			if n.frozen && c.clocksStop {
				n.clockLag += tick
			}
			n.step(replicator.Event{})
			n.syncAndHandleOwn()
		}
		c.checkLeaders()
	}
}

func (c *cluster) deliver() {
	var undelivered []packet
	packets := c.packets
	c.packets = nil
	c.rng.Shuffle(len(packets), func(i, j int) {
		if c.faults.maxDelay > 0 {
			packets[i], packets[j] = packets[j], packets[i]
		}
	})
	for _, p := range packets {
		if p.due > c.now || c.nodes[p.to].frozen {
			undelivered = append(undelivered, p)
			continue
		}
		if !c.cutLinks[[2]int{p.from, p.to}] {
			c.nodes[p.to].step(replicator.Event{Message: p.body})
		}
	}
	c.packets = append(c.packets, undelivered...)
}

// checkLeaders checks what must hold at any time.
func (c *cluster) checkLeaders() {
	leaseHolders := map[uint64]int{}
	for _, n := range c.nodes {
		if n.rep == nil {
			continue
		}
		s := n.rep.Status()
		if s.Role != replicator.Leader {
			continue
		}
		key := [2]uint64{s.State.Group, s.State.Term}
		if d, ok := c.leaders[key]; ok && d != n.disk {
			c.fail("two leaders in term %d: disks %x and %x", s.State.Term, d, n.disk)
		}
		c.leaders[key] = n.disk
		if s.LeaseEnd > c.now {
			leaseHolders[s.State.Group]++
		}
		if leaseHolders[s.State.Group] > 1 && !c.clocksStop {
			c.fail("two leaders with valid leases at %v", c.now)
		}
		if s.Repaired {
			c.checkRepaired(s)
		}
	}
}

// checkRepaired checks that every voter's disk holds all entries that the leader reports as
// committed.
func (c *cluster) checkRepaired(s replicator.Status) {
	for _, m := range s.Members.Voters {
		for _, n := range c.nodes {
			if n.disk == m.Disk && n.synced.last() < s.Commit {
				c.fail("reported as repaired, but %s has synced %d of %d entries", n.name, n.synced.last(), s.Commit)
			}
		}
	}
}

// isRepaired reports whether a leader reports a repaired group of all present disks.
func (c *cluster) isRepaired() bool {
	for _, n := range c.nodes {
		if n.rep == nil || n.frozen {
			continue
		}
		s := n.rep.Status()
		if !s.Repaired || len(s.Members.Voters) != len(c.nodes) {
			continue
		}
		if !slices.ContainsFunc(c.nodes, func(o *node) bool {
			return !slices.ContainsFunc(s.Members.Voters, func(m messenger.Member) bool { return m.Disk == o.disk })
		}) {
			return true
		}
	}
	return false
}

// heal ends all faults and starts all nodes.
func (c *cluster) heal() {
	c.faults = faults{}
	c.cutLinks = map[[2]int]bool{}
	for _, n := range c.nodes {
		n.frozen = false
		if n.rep == nil && !n.removed {
			n.start()
		}
	}
}

// expectProgress checks that, without faults, a new proposal is accepted, applied on all
// nodes and the group repaired within a bounded time.
func (c *cluster) expectProgress() {
	c.heal()
	c.run(20 * election)
	c.addRemovedNode()
	before := c.maxAcked
	for _, n := range c.nodes {
		n.propose()
	}
	c.run(4 * election)
	if c.maxAcked <= before {
		c.fail("no proposal accepted after all faults ended")
	}
	for _, n := range c.nodes {
		if n.applied < c.maxAcked {
			c.fail("%s applied %d of %d accepted entries", n.name, n.applied, c.maxAcked)
		}
	}
	if !c.isRepaired() {
		c.fail("not repaired after all faults ended")
	}
}

// stepAll passes every replica an event that only a leader handles.
func (c *cluster) stepAll(ev replicator.Event) {
	for _, n := range c.nodes {
		n.step(ev)
	}
}

// changeMembers has the leader remove or add a node.
func (c *cluster) changeMembers(verb replicator.Verb, node string) {
	c.nextID++
	c.stepAll(replicator.Event{Change: &replicator.Change{ID: c.nextID, Verb: verb, Node: node}})
}

// addRemovedNode adds the node that was removed.
func (c *cluster) addRemovedNode() {
	for range 20 {
		if c.removing == nil || c.isRepaired() {
			c.removing = nil
			return
		}
		c.changeMembers(replicator.Add, c.removing.name)
		c.run(2 * election)
	}
}

func hashEntry(hash uint64, e *messenger.Entry) uint64 {
	h := fnv.New64a()
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], hash)
	binary.BigEndian.PutUint64(b[8:], e.Term)
	binary.BigEndian.PutUint64(b[16:], e.Index)
	_, _ = h.Write(append(b[:], e.Data...))
	return h.Sum64()
}
