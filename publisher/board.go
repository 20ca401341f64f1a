package publisher

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

const (
	// idleGap is the longest time between two updates of a stream.
	idleGap = 900 * time.Millisecond
	// proofGap is the time after which a proof is overdue.
	proofGap = 2 * idleGap
)

const (
	// loadRate bounds what one stream tells of loads, in bytes a second. Beyond
	// it the targets take turns.
	loadRate = 6 << 10
	// loadGap is the shortest time between two tellings of loads.
	loadGap = 450 * time.Millisecond
	// digestBytes is the size of a digest without the target's id.
	digestBytes = 24
)

// maxProofs bounds the Seqs that wait; the oldest go first.
const maxProofs = 64

// board is all that watchers may be told at one moment. It is never changed.
type board struct {
	view      *applier.View
	blocked   []uint64
	live      []registrar.Lease
	gone      []registrar.EndedLease
	rev       uint64 // of the leases
	confirmed bool   // the last round reached a quorum
	round     uint64
	next      chan struct{}      // closed when the next board is there
	members   []messenger.Member // keepers
}

// cursor is what one stream has been told.
type cursor struct {
	reported uint64 // version in force at the watcher; of the goroutine that receives

	lean    bool
	begun   bool
	proved  time.Time // when a Seq was last returned for a configuration
	version uint64
	rev     uint64
	blocked []uint64
	round   uint64
	members []messenger.Member
	sent    time.Time
	proofs  proofs
	loads   map[string]uint64 // Loaded of each target as told
	told    time.Time         // when loads were told
	turn    string            // id of the last target whose load was told
}

// update returns what the stream must be told now, nil if nothing. A stream
// hears of something at least every idleGap, and of a proof that is overdue at once.
func (c *cursor) update(b *board, now time.Time) *messenger.Update {
	u := &messenger.Update{Version: b.view.Version}
	if b.view.Version > c.version {
		c.files(u, b.view)
	}
	if !c.lean {
		c.targets(u, b)
		c.digests(u, b, now)
		c.quarantine(u, b)
	}
	if !slices.Equal(c.members, b.members) {
		u.Keepers, c.members = b.members, b.members
	}
	empty := !u.Full && len(u.Keepers) == 0 && len(u.Files)+len(u.Targets)+len(u.Gone)+len(u.Blocked)+len(u.Freed)+len(u.Loads) == 0
	urgent := now.Sub(c.proved) > proofGap && b.confirmed && c.proofs.ready(b.round)
	if empty && c.begun && !urgent && now.Sub(c.sent) < idleGap {
		return nil
	}
	if b.confirmed && b.round > c.round {
		u.Confirmed, c.round = true, b.round
		u.Seq = c.proofs.take(b.round)
		if u.Seq > 0 && u.Version > 0 {
			c.proved = now
		}
	}
	c.begun, c.version, c.rev, c.blocked, c.sent = true, max(c.version, b.view.Version), b.rev, b.blocked, now
	return u
}

// proofs is the Seqs of a stream that wait for a confirmation begun after them.
type proofs struct {
	mu      sync.Mutex
	waiting []proof
}

type proof struct {
	seq  uint64
	need uint64 // number of the first round begun after seq arrived
}

func (p *proofs) add(seq, need uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, proof{seq, need})
	if len(p.waiting) > maxProofs {
		p.waiting = p.waiting[1:]
	}
}

// ready reports whether the round proves any Seq.
func (p *proofs) ready(round uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0 && p.waiting[0].need <= round
}

// take returns the highest Seq that the round proves, zero if none.
func (p *proofs) take(round uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	seq := uint64(0)
	for len(p.waiting) > 0 && p.waiting[0].need <= round {
		seq = p.waiting[0].seq
		p.waiting = p.waiting[1:]
	}
	return seq
}

func (c *cursor) files(u *messenger.Update, v *applier.View) {
	files, known := v.Delta(c.version)
	if !known {
		u.Full, files = true, v.Files
	}
	u.Files = files
}

func (c *cursor) targets(u *messenger.Update, b *board) {
	if c.loads == nil {
		c.loads = map[string]uint64{}
	}
	for _, e := range b.live {
		if e.Rev > c.rev || !c.begun {
			u.Targets = append(u.Targets, e.Target)
			c.loads[e.Target.ID] = e.LoadRev
		}
	}
	for _, g := range b.gone {
		if g.Rev > c.rev && c.begun {
			u.Gone = append(u.Gone, g.ID)
			delete(c.loads, g.ID)
		}
	}
}

// digests tells the loads that changed, as many as loadRate allows, beginning
// after the target that was told last.
func (c *cursor) digests(u *messenger.Update, b *board, now time.Time) {
	since := now.Sub(c.told)
	if since < loadGap || len(b.live) == 0 {
		return
	}
	left := int(loadRate * min(since, time.Second).Seconds())
	first, _ := slices.BinarySearchFunc(b.live, c.turn, func(e registrar.Lease, id string) int {
		return cmp.Or(cmp.Compare(e.Target.ID, id), -1)
	})
	for i := range b.live {
		e := &b.live[(first+i)%len(b.live)]
		if e.LoadRev <= c.loads[e.Target.ID] {
			continue
		}
		if left -= digestBytes + len(e.Target.ID); left < 0 {
			break
		}
		u.Loads = append(u.Loads, messenger.DigestOf(&e.Target))
		c.loads[e.Target.ID], c.turn, c.told = e.LoadRev, e.Target.ID, now
	}
}

func (c *cursor) quarantine(u *messenger.Update, b *board) {
	u.Blocked = without(b.blocked, c.blocked)
	u.Freed = without(c.blocked, b.blocked)
}

// without returns the numbers of a that are not in b. Both are sorted.
func without(a, b []uint64) []uint64 {
	var out []uint64
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			out = append(out, x)
		}
	}
	return out
}
