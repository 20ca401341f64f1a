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
	// maxUpdateInterval is the longest time between two updates on a stream.
	maxUpdateInterval = 900 * time.Millisecond
	// maxConfirmationAge is the age of a watcher's last confirmation beyond which the
	// next one is sent without waiting for a change or for maxUpdateInterval.
	maxConfirmationAge = 2 * maxUpdateInterval
)

const (
	// loadBytesPerSecond bounds the load digests on one stream. If more loads change,
	// the targets take turns.
	loadBytesPerSecond = 6 << 10
	// minLoadInterval is the shortest time between two updates with load digests.
	minLoadInterval = 450 * time.Millisecond
	// digestBytes is the size of a load digest without the target's id.
	digestBytes = 24
)

// maxPendingReports bounds the reports of a stream that wait for a confirmation. Beyond
// it the oldest are discarded.
const maxPendingReports = 64

// state is an immutable view of everything that watchers receive.
type state struct {
	view      *applier.View
	blocked   []uint64
	isolated  *messenger.Isolated
	evacuated *messenger.Evacuated
	live      []registrar.Lease
	ended     []registrar.EndedLease
	leaseRev  uint64             // revision of the leases
	confirmed bool               // the last confirmation round reached a quorum
	round     uint64             // number of the last confirmation round
	replaced  chan struct{}      // closed when a newer state is published
	members   []messenger.Member // keepers
}

// cursor tracks what has been sent on one stream. Its fields belong to the goroutine
// that sends, except reportedVersion and pending.
type cursor struct {
	reportedVersion uint64 // version in force at the watcher; owned by the goroutine that receives

	configOnly  bool
	packs       bool // the watcher accepts compressed files
	started     bool
	confirmedAt time.Time // when a report of a watcher with a configuration was last confirmed
	version     uint64
	leaseRev    uint64
	blocked     []uint64
	isolated    *messenger.Isolated
	evacuated   *messenger.Evacuated
	round       uint64
	members     []messenger.Member
	sentAt      time.Time
	pending     pendingReports
	sentLoads   map[string]uint64 // LoadRev of each target when its load was last sent
	loadsSentAt time.Time         // when load digests were last sent
	lastLoadID  string            // id of the last target whose load digest was sent
}

// nextUpdate returns the update to send now, nil if none is due. Changes are sent
// at once, and so is a confirmation if the last one is older than maxConfirmationAge;
// otherwise an update is due every maxUpdateInterval.
func (c *cursor) nextUpdate(st *state, now time.Time) *messenger.Update {
	u := &messenger.Update{Version: st.view.Version}
	if st.view.Version > c.version {
		c.addFiles(u, st.view)
	}
	if !c.configOnly {
		c.addTargets(u, st)
		c.addLoads(u, st, now)
		c.addQuarantine(u, st)
	}
	if !slices.Equal(c.members, st.members) {
		u.Keepers, c.members = st.members, st.members
	}
	empty := !u.Full && len(u.Keepers) == 0 && len(u.Files)+len(u.Targets)+len(u.Gone)+len(u.Blocked)+len(u.Freed)+len(u.Loads) == 0 && u.Isolated == nil && u.Evacuated == nil
	urgent := now.Sub(c.confirmedAt) > maxConfirmationAge && st.confirmed && c.pending.ready(st.round)
	if empty && c.started && !urgent && now.Sub(c.sentAt) < maxUpdateInterval {
		return nil
	}
	if st.confirmed && st.round > c.round {
		u.Confirmed, c.round = true, st.round
		u.Seq = c.pending.takeConfirmed(st.round)
		if u.Seq > 0 && u.Version > 0 {
			c.confirmedAt = now
		}
	}
	c.started, c.version, c.leaseRev, c.blocked, c.sentAt = true, max(c.version, st.view.Version), st.leaseRev, st.blocked, now
	return u
}

// pendingReports holds the Seqs of a watcher's reports that wait for a confirmation round
// begun after they arrived. Its methods may be called concurrently.
type pendingReports struct {
	mu      sync.Mutex
	waiting []pendingReport
}

type pendingReport struct {
	seq   uint64
	round uint64 // first round that begins after seq arrived
}

func (p *pendingReports) add(seq, round uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, pendingReport{seq, round})
	if len(p.waiting) > maxPendingReports {
		p.waiting = p.waiting[1:]
	}
}

// ready reports whether a round confirms any pending report.
func (p *pendingReports) ready(round uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0 && p.waiting[0].round <= round
}

// takeConfirmed removes the reports that a round confirms and returns the last Seq of
// them, zero if there is none.
func (p *pendingReports) takeConfirmed(round uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	seq := uint64(0)
	for len(p.waiting) > 0 && p.waiting[0].round <= round {
		seq = p.waiting[0].seq
		p.waiting = p.waiting[1:]
	}
	return seq
}

func (c *cursor) addFiles(u *messenger.Update, v *applier.View) {
	files, ok := v.Delta(c.version)
	if !ok {
		u.Full, files = true, v.Files
	}
	u.Files = files
}

func (c *cursor) addTargets(u *messenger.Update, st *state) {
	if c.sentLoads == nil {
		c.sentLoads = map[string]uint64{}
	}
	for _, l := range st.live {
		if l.Rev > c.leaseRev || !c.started {
			u.Targets = append(u.Targets, l.Target)
			c.sentLoads[l.Target.ID] = l.LoadRev
		}
	}
	for _, e := range st.ended {
		if e.Rev > c.leaseRev && c.started {
			u.Gone = append(u.Gone, e.ID)
			delete(c.sentLoads, e.ID)
		}
	}
}

// addLoads adds digests of the loads that changed, as many as loadBytesPerSecond
// allows, starting after the target whose load was sent last.
func (c *cursor) addLoads(u *messenger.Update, st *state, now time.Time) {
	since := now.Sub(c.loadsSentAt)
	if since < minLoadInterval || len(st.live) == 0 {
		return
	}
	left := int(loadBytesPerSecond * min(since, time.Second).Seconds())
	first, _ := slices.BinarySearchFunc(st.live, c.lastLoadID, func(l registrar.Lease, id string) int {
		return cmp.Or(cmp.Compare(l.Target.ID, id), -1)
	})
	for i := range st.live {
		l := &st.live[(first+i)%len(st.live)]
		if l.LoadRev <= c.sentLoads[l.Target.ID] {
			continue
		}
		if left -= digestBytes + len(l.Target.ID); left < 0 {
			break
		}
		u.Loads = append(u.Loads, messenger.DigestOf(&l.Target))
		c.sentLoads[l.Target.ID], c.lastLoadID, c.loadsSentAt = l.LoadRev, l.Target.ID, now
	}
}

func (c *cursor) addQuarantine(u *messenger.Update, st *state) {
	u.Blocked = difference(st.blocked, c.blocked)
	u.Freed = difference(c.blocked, st.blocked)
	if c.isolated != st.isolated {
		u.Isolated, c.isolated = st.isolated, st.isolated
	}
	if c.evacuated != st.evacuated {
		u.Evacuated, c.evacuated = st.evacuated, st.evacuated
	}
}

// difference returns the numbers in a that are not in b. Both must be sorted.
func difference(a, b []uint64) []uint64 {
	var out []uint64
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			out = append(out, x)
		}
	}
	return out
}
