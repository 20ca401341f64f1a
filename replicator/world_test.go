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

// faults are chances of one in a thousand for each message or step.
type faults struct {
	lose, double int
	unsynced     int           // a step's writes are not synced before the next one
	crash        int           // a node is killed before its sync and starts again
	delay        time.Duration // longest; messages overtake each other
}

type packet struct {
	due  time.Duration
	from int
	to   int
	body any
}

// world is a set of replicas with a network, disks and one clock, and what must
// hold among them.
type world struct {
	fail    func(format string, args ...any)
	rng     *rand.Rand
	now     time.Duration
	faults  faults
	beat    time.Duration // heartbeat of replicas that start
	timeout time.Duration // election timeout of replicas that start
	nodes   []*node
	packets []packet
	cut     map[[2]int]bool // from, to
	stopped bool            // clocks of frozen nodes stop; then leases promise nothing
	lost    int             // node whose disk was lost last
	out     *node           // node that is being removed and added again; nil for none
	disks   uint64
	seeds   int            // nodes that all others know; zero for all, in a group that doesn't grow
	sent    func(body any) // sees each message sent; may be nil

	leaders map[[2]uint64]uint64 // group and term: disk
	history map[[2]uint64]uint64 // group and index: hash of all that was applied up to it
	groups  map[uint64]bool      // that applied anything
	acked   uint64               // highest index whose proposer was answered
	asked   map[uint64]uint64    // read barrier: acked when it was asked
	next    uint64               // number of the next call
	read    int                  // barriers answered
}

func newWorld(seed uint64, n int, fail func(string, ...any)) *world {
	return newSeededWorld(seed, n, 0, fail)
}

// newSeededWorld makes a group that grows from its first nodes.
func newSeededWorld(seed uint64, n, seeds int, fail func(string, ...any)) *world {
	w := &world{
		seeds: seeds,

		fail: fail, beat: heartbeat, timeout: election, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{},
		leaders: map[[2]uint64]uint64{}, history: map[[2]uint64]uint64{}, groups: map[uint64]bool{}, asked: map[uint64]uint64{},
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, at: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, n := range w.nodes {
		n.wipe()
		n.start()
	}
	return w
}

func (w *world) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

func (w *world) send(from *node, sends []replicator.Send) {
	for _, s := range sends {
		if s.To.Disk == from.disk {
			from.own = append(from.own, s.Body)
			continue
		}
		if w.sent != nil {
			w.sent(s.Body)
		}
		to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == s.To.Address })
		copies := 1
		if w.chance(w.faults.lose) || w.cut[[2]int{from.at, to}] {
			copies = 0
		} else if w.chance(w.faults.double) {
			copies = 2
		}
		for range copies {
			delay := time.Duration(w.rng.Int64N(int64(w.faults.delay + tick)))
			w.packets = append(w.packets, packet{due: w.now + delay, from: from.at, to: to, body: s.Body})
		}
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.deliver()
		for _, n := range w.nodes {
			if n.frozen && w.stopped {
				n.lag += tick
			}
			n.step(replicator.Event{})
			n.settle()
		}
		w.check()
	}
}

func (w *world) deliver() {
	var later []packet
	due := w.packets
	w.packets = nil
	w.rng.Shuffle(len(due), func(i, j int) {
		if w.faults.delay > 0 {
			due[i], due[j] = due[j], due[i]
		}
	})
	for _, p := range due {
		if p.due > w.now || w.nodes[p.to].frozen {
			later = append(later, p)
			continue
		}
		if !w.cut[[2]int{p.from, p.to}] {
			w.nodes[p.to].step(replicator.Event{Message: p.body})
		}
	}
	w.packets = append(w.packets, later...)
}

// check is what holds at any moment.
func (w *world) check() {
	leased := map[uint64]int{}
	for _, n := range w.nodes {
		if n.rep == nil {
			continue
		}
		s := n.rep.Status()
		if s.Role != replicator.Leader {
			continue
		}
		key := [2]uint64{s.State.Group, s.State.Term}
		if d, ok := w.leaders[key]; ok && d != n.disk {
			w.fail("two leaders in term %d: disks %x and %x", s.State.Term, d, n.disk)
		}
		w.leaders[key] = n.disk
		if s.Lease > w.now {
			leased[s.State.Group]++
		}
		if leased[s.State.Group] > 1 && !w.stopped {
			w.fail("two leaders inside their leases at %v", w.now)
		}
		if s.Repaired {
			w.checkRepaired(s)
		}
	}
}

// checkRepaired has every voter's disk hold what the leader calls committed.
func (w *world) checkRepaired(s replicator.Status) {
	for _, m := range s.Members.Voters {
		for _, n := range w.nodes {
			if n.disk == m.Disk && n.synced.last() < s.Commit {
				w.fail("repaired, but %s has synced %d of %d entries", n.name, n.synced.last(), s.Commit)
			}
		}
	}
}

// repaired returns whether a leader says so of the disks that are there now.
func (w *world) repaired() bool {
	for _, n := range w.nodes {
		if n.rep == nil || n.frozen {
			continue
		}
		s := n.rep.Status()
		if !s.Repaired || len(s.Members.Voters) != len(w.nodes) {
			continue
		}
		if !slices.ContainsFunc(w.nodes, func(o *node) bool {
			return !slices.ContainsFunc(s.Members.Voters, func(m messenger.Member) bool { return m.Disk == o.disk })
		}) {
			return true
		}
	}
	return false
}

// heal ends all faults and starts all nodes.
func (w *world) heal() {
	w.faults = faults{}
	w.cut = map[[2]int]bool{}
	for _, n := range w.nodes {
		n.frozen = false
		if n.rep == nil && !n.gone {
			n.start()
		}
	}
}

// expectProgress has a new proposal accepted, applied everywhere and the group
// repaired within a bounded time without faults.
func (w *world) expectProgress() {
	w.heal()
	w.run(20 * election)
	w.takeBack()
	before := w.acked
	for _, n := range w.nodes {
		n.propose()
	}
	w.run(4 * election)
	if w.acked <= before {
		w.fail("no proposal accepted after all faults ended")
	}
	for _, n := range w.nodes {
		if n.applied < w.acked {
			w.fail("%s applied %d of %d accepted entries", n.name, n.applied, w.acked)
		}
	}
	if !w.repaired() {
		w.fail("not repaired after all faults ended")
	}
}

// step has every replica take an event that only a leader heeds.
func (w *world) step(ev replicator.Event) {
	for _, n := range w.nodes {
		n.step(ev)
	}
}

// change has the leader remove or add a node.
func (w *world) change(verb replicator.Verb, node string) {
	w.next++
	w.step(replicator.Event{Change: &replicator.Change{ID: w.next, Verb: verb, Node: node}})
}

// takeBack adds the node that was removed.
func (w *world) takeBack() {
	for range 20 {
		if w.out == nil || w.repaired() {
			w.out = nil
			return
		}
		w.change(replicator.Add, w.out.name)
		w.run(2 * election)
	}
}

func mix(hash uint64, e *messenger.Entry) uint64 {
	h := fnv.New64a()
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], hash)
	binary.BigEndian.PutUint64(b[8:], e.Term)
	binary.BigEndian.PutUint64(b[16:], e.Index)
	_, _ = h.Write(append(b[:], e.Data...))
	return h.Sum64()
}
