// Package ganger distributes prompts that exceed one engine's memory over several
// targets, the members of a gang. The members are reserved in order of their IDs, all
// or none. The segments of the prompt are prefilled one after another, each importing
// the KV handle that its predecessor exported, and the last member decodes. The loss
// of a member frees all members; if time is left, the gang is restarted with other
// members.
//
// Package router forms gangs of another kind, whose members prefill parts of one prompt
// at the same time. This package is not involved in these.
//
// The package does no I/O. The caller passes each answer of an agent to Step as an
// event and carries out the returned actions. Reserve and Renew send messenger.Reserve
// with Gang set. Run sends messenger.Run on the stream of the reservation, which stays
// open until Free because the agent renews the hold on a member's KV cache while that
// connection is alive. Free sends messenger.Cancel on any connection and closes the
// stream.
//
// The caller passes Lost with the agent's error when the stream or the run of a member
// fails permanently, also while its KV cache is held; AnswerStarted when the first
// part of the answer is passed on; and Tick several times per second. Segment bounds
// are byte offsets into the prompt's text; the caller moves each back to the start of
// a character.
package ganger

import (
	"time"

	"bramleyshunt/coder"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=EventKind,ActionKind,phase -output=kind_string.go

// Defaults of Ganger.
const (
	DefaultMaxGangs = 2 // concurrent gangs per model

	reserveTimeout    = 500 * time.Millisecond // for the answer to a reservation
	renewInterval     = 500 * time.Millisecond // of reservations that have not been run
	freeRetryInterval = 500 * time.Millisecond // until the release is confirmed
	freeTimeout       = 30 * time.Second       // the agent's lease has expired by then
	freeConfirmWait   = 2 * time.Second        // maximum wait for confirmed releases before a restart
	baseRestartDelay  = 50 * time.Millisecond  // doubled with each start, up to maxRestartDelay
	maxRestartDelay   = 2 * time.Second
	maxLosses         = 3  // lost members at which the gang fails
	marginDivisor     = 16 // 1/marginDivisor of the predicted tokens is reserved in addition
)

// Job is one request whose prompt exceeds the memory of any engine.
type Job struct {
	ID         string // globally unique; prefix of the attempt IDs
	Model      string
	TextBytes  int // length of the prompt text
	Prompt     int // predicted tokens
	Output     int // tokens
	Deadline   time.Time
	AtMostOnce bool // the last segment is started at most once

	Regions []string // that the members must lie in; empty for any
}

// Candidate is a target that may become a member. Its figures are hints and may be out
// of date.
type Candidate struct {
	ID          string
	Incarnation uint64
	Memory      int // total tokens
	Free        int // tokens believed to be free
	PrefillRate int // prefill tokens per second
	DecodeRate  int // decode tokens per second

	Region string // empty if unknown
}

// EventKind is the type of an event.
type EventKind uint8

// Kinds of events.
const (
	Tick          EventKind = iota // time has passed
	Offer                          // Candidates replace the previous ones for Model
	Begin                          // Job has arrived
	Granted                        // the agent granted Attempt
	Refused                        // the agent refused Attempt or was unreachable
	Exported                       // the prefill of Attempt has ended with Export
	AnswerStarted                  // part of the answer of Attempt is passed on: no more restarts
	Ended                          // the answer of Attempt is complete
	Lost                           // the member of Attempt was lost or its run failed with Err
	Freed                          // the agent confirmed that Attempt holds nothing
	Cancel                         // the caller of gang ID has cancelled it
)

// Event is one input. Only the fields named in the comment on its kind are used.
type Event struct {
	Kind       EventKind
	Model      string
	Candidates []Candidate
	Job        Job
	ID         string
	Attempt    string
	Export     []byte
	Err        error
}

// ActionKind is the type of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Reserve ActionKind = iota // reserve Tokens and Output tokens at Target
	Renew                     // repeat the reservation to renew its lease
	Run                       // start the segment
	Free                      // cancel Attempt; repeated until Freed
	Done                      // the answer of gang ID is complete
	Failed                    // gang ID has failed with Err
)

// Action is one output. ID is always set to that of the gang; other fields are set if
// their kind uses them.
type Action struct {
	Kind        ActionKind
	ID          string
	Attempt     string
	Target      string
	Incarnation uint64
	Tokens      int
	Output      int
	Start, End  int // byte range of the prompt text
	Import      []byte
	Prefill     bool // not the last segment: export the KV cache instead of decoding
	Remaining   time.Duration
	Err         *coder.Error
}

// Ganger manages the gangs of one entry. The zero value is ready to use.
type Ganger struct {
	MaxGangs int // concurrent gangs per model; DefaultMaxGangs if zero

	now          time.Time
	gangs        []*gang // in order of arrival
	offers       map[string][]Candidate
	pendingFrees []pendingFree // sorted by the time of the release
	actions      []Action
}

// pendingFree is a release that the agent has not confirmed.
type pendingFree struct {
	action   Action
	since    time.Time
	lastSent time.Time
}

// Step processes one event and returns the actions to carry out, in order.
func (g *Ganger) Step(now time.Time, e Event) []Action {
	g.now = now
	switch e.Kind {
	case Offer:
		g.setOffers(e)
	case Begin:
		g.gangs = append(g.gangs, &gang{Job: e.Job})
	case Freed:
		g.confirmFree(e.Attempt)
	case Cancel:
		g.cancel(e.ID)
	case Tick:
	default:
		g.handleAnswer(e)
	}
	g.resendFrees()
	g.advance()
	acts := g.actions
	g.actions = nil
	return acts
}

// Idle reports whether there are neither gangs nor unconfirmed releases.
func (g *Ganger) Idle() bool { return len(g.gangs) == 0 && len(g.pendingFrees) == 0 }

func (g *Ganger) maxGangs() int {
	if g.MaxGangs > 0 {
		return g.MaxGangs
	}
	return DefaultMaxGangs
}

func (g *Ganger) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Ganger) setOffers(e Event) {
	if g.offers == nil {
		g.offers = map[string][]Candidate{}
	}
	g.offers[e.Model] = append([]Candidate(nil), e.Candidates...)
}

// confirmFree ends the release of an attempt.
func (g *Ganger) confirmFree(attempt string) {
	for i, f := range g.pendingFrees {
		if f.action.Attempt == attempt {
			g.pendingFrees = append(g.pendingFrees[:i:i], g.pendingFrees[i+1:]...)
			return
		}
	}
}

// resendFrees repeats unconfirmed releases until the agent's own lease must have
// expired.
func (g *Ganger) resendFrees() {
	kept := g.pendingFrees[:0]
	for _, f := range g.pendingFrees {
		if g.now.Sub(f.since) >= freeTimeout {
			continue
		}
		if g.now.Sub(f.lastSent) >= freeRetryInterval {
			f.lastSent = g.now
			g.emit(f.action)
		}
		kept = append(kept, f)
	}
	g.pendingFrees = kept
}

func (g *Ganger) release(a Action) {
	a.Kind = Free
	g.pendingFrees = append(g.pendingFrees, pendingFree{action: a, since: g.now, lastSent: g.now})
	g.emit(a)
}

// handleAnswer passes an agent's answer to the member it is for. Answers for former
// members are ignored: their Free is pending or confirmed, and an agent refuses
// whatever arrives after a Free.
func (g *Ganger) handleAnswer(e Event) {
	for _, x := range g.gangs {
		for i := range x.members {
			if x.members[i].attempt == e.Attempt {
				g.handleMember(x, i, e)
				return
			}
		}
	}
}

func (g *Ganger) cancel(id string) {
	for _, x := range g.gangs {
		if x.ID == id {
			g.fail(x, coder.Errorf(coder.Cancelled, "by the caller"))
			return
		}
	}
}
