package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Holds -linecomment -output=holds_string.go

// Holds selects what entries do when a target says that it leaves or asks for a pause.
type Holds uint8

// What entries do. Own is the product's way. SharedMarks and Shared also report the marks
// of leaving targets, or the marks and the pauses, to the other entries.
const (
	Own         Holds = iota // own
	Ignored                  // ignored
	SharedMarks              // shared-marks
	Shared                   // shared
)

// HoldsNames returns the names of all values of Holds.
func HoldsNames() []string {
	var out []string
	for h := range Shared + 1 {
		out = append(out, h.String())
	}
	return out
}

// ParseHolds returns the value of Holds with the given name, or an error that lists the
// known names.
func ParseHolds(name string) (Holds, error) {
	i := slices.Index(HoldsNames(), name)
	if i < 0 {
		return 0, fmt.Errorf("no holds %q; there are %s", name, strings.Join(HoldsNames(), ", "))
	}
	return Holds(i), nil
}

// Faults are the faults of targets that a Fleet plays. The zero value has none.
type Faults struct {
	Leaving int // number of targets that leave, each at a random time
	Pausing int // number of targets that turn requests away for a while and ask for pauses
}

const (
	faultStream = 0x6661756c // PCG stream of the faults, "faul" in ASCII

	// A target that leaves says so in its answers at once and prefills no parts for others any
	// more. The view calls it leaving after between minViewLag and maxViewLag, and it is in no
	// view goneAfter later. Until then it accepts requests, except that earlyShare of these
	// targets accept none from earlyEnd on.
	minViewLag = time.Second
	maxViewLag = 6 * time.Second
	goneAfter  = 2 * time.Second
	earlyShare = 0.5
	earlyEnd   = 2 * time.Second

	// A pausing target turns away pausingShare of its requests for pausingLength, with a pause
	// between minPause and maxPause.
	pausingShare  = 0.5
	pausingLength = 8 * time.Second
	minPause      = 500 * time.Millisecond
	maxPause      = 4 * time.Second

	// Bounds of the platform: requests that a target receives from an entry that has passed on
	// its mark, and the number of requests in a pause.
	maxAfterMark = 2 * time.Second
	pauseLeeway  = 500 * time.Millisecond
	maxInPause   = 2

	// An entry reports a mark to the others while the view calls the target in use, but no
	// longer than markShareTime.
	markShareTime = 30 * time.Second
)

// FaultCounts are the figures of the faults of one or several runs.
type FaultCounts struct {
	LateToLeaving int           // requests that reached a target from an entry later than maxAfterMark after its mark
	OverPause     int           // requests beyond maxInPause that reached a target during a pause
	TurnedAway    int           // requests, or parts for others, that a target refused as it left or paused
	ToLeaving     int           // requests that reached a target after it had begun to leave
	Emptied       time.Duration // sum over the targets that left, from then to the last request
	Left          int           // number of targets that left
	ShareBytes    int           // size of all messages between entries without holds
	HoldBytes     int           // what holds added to it
}

// FaultHeader returns the header of the table that FaultCounts.Row fills.
func FaultHeader() string {
	return "| policy | late to leaving | over a pause | turned away | to leaving | emptied after s | holds, part of messages % |\n|" + strings.Repeat("---|", 7)
}

// Row returns a row of a Markdown table.
func (n *FaultCounts) Row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %.2f | %.1f |", name, n.LateToLeaving, n.OverPause, n.TurnedAway, n.ToLeaving,
		n.Emptied.Seconds()/float64(max(1, n.Left)), 100*float64(n.HoldBytes)/float64(max(1, n.ShareBytes)))
}

func (n *FaultCounts) add(o FaultCounts) {
	n.LateToLeaving += o.LateToLeaving
	n.OverPause += o.OverPause
	n.TurnedAway += o.TurnedAway
	n.ToLeaving += o.ToLeaving
	n.Emptied += o.Emptied
	n.Left += o.Left
	n.ShareBytes += o.ShareBytes
	n.HoldBytes += o.HoldBytes
}

// faultState is the state of a node's faults.
type faultState struct {
	leavingAt    time.Time // zero if the target does not leave
	servesUntil  time.Time // if it leaves
	lastArrival  time.Time // since leavingAt
	viewLeaving  bool      // the view calls the target leaving
	viewGone     bool      // the target is in no view
	pausingFrom  time.Time
	pausingUntil time.Time
	markedAt     map[*fleetEntry]time.Time // when an entry first passed on the mark
	pauses       map[*fleetEntry][]*pauseWindow
}

// pauseWindow is the part of a pause in which maxInPause requests are allowed.
type pauseWindow struct {
	from, until time.Time
	arrivals    int
}

// answer is what a target says of itself in an answer.
type answer struct {
	leaving bool
	pause   time.Duration
}

// scheduleFaults draws the targets with faults and their times.
func (f *Fleet) scheduleFaults() {
	if f.Faults == (Faults{}) {
		return
	}
	f.faultRnd = rand.New(rand.NewPCG(f.Seed, faultStream))
	order := f.faultRnd.Perm(len(f.nodes))
	leaving := min(f.Faults.Leaving, len(order))
	for _, i := range order[:leaving] {
		at := f.Site.Length/10 + f.drawDuration(0, f.Site.Length*6/10)
		f.scheduleLeaving(f.nodes[i], at, f.drawDuration(minViewLag, maxViewLag))
	}
	for _, i := range order[leaving:min(leaving+f.Faults.Pausing, len(order))] {
		n := f.nodes[i]
		n.pausingFrom = start.Add(f.drawDuration(0, f.Site.Length-pausingLength))
		n.pausingUntil = n.pausingFrom.Add(pausingLength)
	}
}

func (f *Fleet) drawDuration(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(f.faultRnd.Int64N(int64(max(1, highest-lowest))))
}

func (f *Fleet) scheduleLeaving(n *node, at, viewLag time.Duration) {
	n.leavingAt = start.Add(at)
	n.lastArrival = n.leavingAt
	n.servesUntil = n.leavingAt.Add(viewLag + goneAfter)
	if early := n.leavingAt.Add(earlyEnd); f.faultRnd.Float64() < earlyShare && early.Before(n.servesUntil) {
		n.servesUntil = early
	}
	f.after(at+viewLag, func() { n.viewLeaving = true; f.updateEntries() })
	f.after(at+viewLag+goneAfter, func() { n.viewGone = true; f.updateEntries() })
}

// updateEntries gives all entries the current view.
func (f *Fleet) updateEntries() {
	for _, e := range f.entries {
		e.scheduler.Router.Update(f.now, f.targets())
		e.dispatch()
	}
}

// listed returns the nodes that the view calls in use.
func (f *Fleet) listed() []*node {
	var out []*node
	for _, n := range f.nodes {
		if !n.viewLeaving && !n.viewGone {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) leaving() bool { return !n.leavingAt.IsZero() && !n.f.now.Before(n.leavingAt) }

// receive records that a request of an entry, or the part of one that the node prefills as a
// helper, has reached the node. It reports whether the node turns it away and what it says
// then.
func (n *node) receive(e *fleetEntry, helps bool) (answer, bool) {
	if n.down {
		return answer{}, true
	}
	now, counts := n.f.now, &n.f.faultCounts
	if at, ok := n.markedAt[e]; ok && now.Sub(at) > maxAfterMark {
		counts.LateToLeaving++
	}
	over := false
	for _, w := range n.pauses[e] {
		if !now.Before(w.from) && now.Before(w.until) {
			w.arrivals++
			over = over || w.arrivals > maxInPause
		}
	}
	if over {
		counts.OverPause++
	}
	if n.leaving() {
		counts.ToLeaving++
		n.lastArrival = now
		if helps || !now.Before(n.servesUntil) {
			counts.TurnedAway++
			return answer{leaving: true}, true
		}
	}
	if !now.Before(n.pausingFrom) && now.Before(n.pausingUntil) && n.f.faultRnd.Float64() < pausingShare {
		counts.TurnedAway++
		a := answer{pause: n.f.drawDuration(minPause, maxPause)}
		n.pauses[e] = append(n.pauses[e], &pauseWindow{from: now.Add(pauseLeeway), until: now.Add(a.pause)})
		return a, true
	}
	return answer{}, false
}

// hear has the entry obey what a target said in an answer, which it passes on now.
func (e *fleetEntry) hear(n *node, a answer) {
	if _, marked := n.markedAt[e]; a.leaving && !marked {
		n.markedAt[e] = e.f.now
	}
	if e.f.Holds == Ignored {
		return
	}
	if e.hold(n, a) && e.f.Holds != Own {
		e.holds = append(e.holds, sharedHold{node: n, answer: a, at: e.f.now})
		e.shareSends()
	}
}

// hold has the entry hold back requests for a target. It reports whether this is new.
func (e *fleetEntry) hold(n *node, a answer) bool {
	t, changed := messenger.Target{ID: n.id, Service: "s", Incarnation: 1}, false
	if a.leaving {
		changed = e.scheduler.Router.MarkLeaving(e.f.now, t)
	}
	if a.pause > 0 {
		_, extended := e.scheduler.Router.Pause(e.f.now, t, a.pause)
		changed = changed || extended
	}
	if changed {
		e.dispatch()
	}
	return changed
}

// sharedHold is a hold that an entry reports to the others.
type sharedHold struct {
	node   *node
	answer answer
	at     time.Time
}

// ends returns when the hold need not be reported any more.
func (h sharedHold) ends() time.Time {
	if h.answer.leaving {
		return h.at.Add(markShareTime)
	}
	return h.at.Add(h.answer.pause)
}

// sharedHolds returns the holds to report now and counts the size of the message to all
// other entries.
func (e *fleetEntry) sharedHolds(sends []messenger.Sent) []sharedHold {
	var out []sharedHold
	for _, h := range e.holds {
		if e.f.now.Before(h.ends()) && e.reports(h) {
			out = append(out, h)
		}
	}
	e.holds = out
	share := messenger.Share{Node: e.name, Sends: sends}
	base := encodedSize(share)
	for range out { // a hold has the size of a limit: target, incarnation, time and age
		share.Limits = append(share.Limits, messenger.Limit{Target: 1 << 63, Incarnation: 1 << 62, Rate: 1, Age: 1 << 15})
	}
	peers := len(e.f.entries) - 1
	e.f.faultCounts.ShareBytes += peers * base
	e.f.faultCounts.HoldBytes += peers * (encodedSize(share) - base)
	return out
}

// reports reports whether the other entries are told of a hold. They know a mark that the
// view has.
func (e *fleetEntry) reports(h sharedHold) bool {
	if h.answer.leaving {
		return !h.node.viewLeaving
	}
	return e.f.Holds == Shared
}

func encodedSize(v any) int {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // impossible: the type is fixed
	}
	return len(b)
}

// recordSharedHolds has the entry obey the holds that another one reports.
func (e *fleetEntry) recordSharedHolds(holds []sharedHold) {
	for _, h := range holds {
		a := h.answer
		a.pause -= e.f.now.Sub(h.at)
		e.hold(h.node, a)
	}
}

// countEmptied records when the targets that left received their last requests.
func (f *Fleet) countEmptied() {
	for _, n := range f.nodes {
		if n.leaving() {
			f.faultCounts.Left++
			f.faultCounts.Emptied += n.lastArrival.Sub(n.leavingAt)
		}
	}
}
