// Package ganger decides how prompts beyond one engine's memory are spread over
// several targets. A gang's members are reserved in order of their ids, all or
// none; segments are prefilled one after another, each importing the KV handle
// that the one before exported, and the last member decodes. The loss of any
// member frees all, and if time is left the gang starts anew with other members.
//
// A shell gives each answer of the agents to Step as an event and carries out
// the actions: Reserve and Renew send messenger.Reserve with Gang set, Run sends
// messenger.Run on the stream of the reservation, which stays open until Free
// because the agent renews a hold while its connection lives, and Free sends
// messenger.Cancel on any connection and closes the stream. Lost is given when
// a member's stream or run fails for good, also that of a held one, with the
// code the agent gave; First when the first piece of the answer is passed on;
// Tick several times a second. Bounds of segments are bytes of the prompt's
// text; the shell moves each back to the start of a character.
package ganger

import (
	"time"

	"bramleyshunt/coder"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=EventKind,ActionKind,phase -output=kind_string.go

// Defaults of Ganger.
const (
	DefaultMost = 2 // gangs of a model at once

	askLimit    = 500 * time.Millisecond // for the answer to a reservation
	renewEvery  = 500 * time.Millisecond // of a reservation that has not run
	freeEvery   = 500 * time.Millisecond // until it is confirmed
	freeLimit   = 30 * time.Second       // the agent's lease has ended by then
	freeWait    = 2 * time.Second        // before starting anew without confirmation
	firstDelay  = 50 * time.Millisecond  // before the second try, doubling
	longDelay   = 2 * time.Second
	maxLost     = 3  // members that may fail one gang
	marginShare = 16 // one part in so many is reserved beyond the prediction
)

// Job is one request too long for any engine.
type Job struct {
	ID       string // unique for ever; attempts are named after it
	Model    string
	Text     int // bytes of prompt text
	Prompt   int // predicted tokens
	Output   int // tokens
	Deadline time.Time
	Once     bool // the last segment is started at most once
}

// Candidate is a target that may become a member, by hints that may be old.
type Candidate struct {
	ID          string
	Incarnation uint64
	Memory      int // tokens in all
	Free        int // tokens thought free
	Speed       int // prefill tokens a second
	Pace        int // decode tokens a second
}

// EventKind marks what happened.
type EventKind uint8

// Kinds of events.
const (
	Tick     EventKind = iota // time passed
	Offer                     // Candidates for Model replace the former ones
	Begin                     // Job arrives
	Granted                   // the agent granted Attempt
	Refused                   // the agent refused Attempt, or could not be asked
	Exported                  // the prefill of Attempt ended with Export
	First                     // a piece of the answer of Attempt was passed on
	Ended                     // the answer of Attempt is whole
	Lost                      // the member of Attempt is lost, or its run failed, with Err
	Freed                     // the agent confirmed that Attempt has nothing
	Cancel                    // the caller of gang ID gives up
)

// Event is one input. Fields not named for its kind are ignored.
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

// ActionKind marks what is to be done.
type ActionKind uint8

// Kinds of actions.
const (
	Reserve ActionKind = iota // ask Target for Tokens, Output of them for the answer
	Renew                     // the same again, before the lease ends
	Run                       // start the segment
	Free                      // cancel Attempt; repeated until Freed
	Done                      // gang ID has its whole answer
	Failed                    // gang ID ended with Err
)

// Action is one output. Fields not named for its kind are zero, but ID is
// always the gang's.
type Action struct {
	Kind        ActionKind
	ID          string
	Attempt     string
	Target      string
	Incarnation uint64
	Tokens      int
	Output      int
	Start, End  int // bytes of the prompt's text
	Import      []byte
	Prefill     bool // not the last segment
	Remaining   time.Duration
	Err         *coder.Error
}

// Ganger keeps the gangs of one entry. The zero value works.
type Ganger struct {
	Most int // gangs of a model at once; DefaultMost if zero

	now    time.Time
	gangs  []*gang // in order of arrival
	offers map[string][]Candidate
	free   []freeing // in order of their start
	acts   []Action
}

// freeing is a member whose release is not confirmed.
type freeing struct {
	action Action
	since  time.Time
	last   time.Time
}

// Step takes one event and returns what is to be done, in order.
func (g *Ganger) Step(now time.Time, e Event) []Action {
	g.now = now
	switch e.Kind {
	case Offer:
		g.offer(e)
	case Begin:
		g.gangs = append(g.gangs, &gang{Job: e.Job})
	case Freed:
		g.confirm(e.Attempt)
	case Cancel:
		g.cancel(e.ID)
	case Tick:
	default:
		g.answer(e)
	}
	g.repeat()
	g.advance()
	acts := g.acts
	g.acts = nil
	return acts
}

// Idle reports whether there is no gang and no unconfirmed release.
func (g *Ganger) Idle() bool { return len(g.gangs) == 0 && len(g.free) == 0 }

func (g *Ganger) most() int {
	if g.Most > 0 {
		return g.Most
	}
	return DefaultMost
}

func (g *Ganger) act(a Action) { g.acts = append(g.acts, a) }

func (g *Ganger) offer(e Event) {
	if g.offers == nil {
		g.offers = map[string][]Candidate{}
	}
	g.offers[e.Model] = append([]Candidate(nil), e.Candidates...)
}

// confirm ends the release of an attempt.
func (g *Ganger) confirm(attempt string) {
	for i, f := range g.free {
		if f.action.Attempt == attempt {
			g.free = append(g.free[:i:i], g.free[i+1:]...)
			return
		}
	}
}

// repeat sends releases again that nobody confirmed, until the agent's own
// lease must have ended.
func (g *Ganger) repeat() {
	kept := g.free[:0]
	for _, f := range g.free {
		if g.now.Sub(f.since) >= freeLimit {
			continue
		}
		if g.now.Sub(f.last) >= freeEvery {
			f.last = g.now
			g.act(f.action)
		}
		kept = append(kept, f)
	}
	g.free = kept
}

func (g *Ganger) release(a Action) {
	a.Kind = Free
	g.free = append(g.free, freeing{action: a, since: g.now, last: g.now})
	g.act(a)
}

// answer gives an agent's answer to the member it is for. One for a former
// member needs nothing more: its Free is under way or confirmed, and an agent
// refuses what arrives after a Free.
func (g *Ganger) answer(e Event) {
	for _, x := range g.gangs {
		for i := range x.members {
			if x.members[i].attempt == e.Attempt {
				g.take(x, i, e)
				return
			}
		}
	}
}

func (g *Ganger) cancel(id string) {
	for _, x := range g.gangs {
		if x.ID == id {
			g.end(x, coder.Errorf(coder.Cancelled, "by the caller"))
			return
		}
	}
}
