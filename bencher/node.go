package bencher

import (
	"fmt"
	"time"

	"bramleyshunt/passer"
)

// node is a simulated engine of the fleet.
type node struct {
	f        *Fleet
	id       string
	engine   passer.Passer
	busy     bool                         // a pass is under way
	handlers map[string]func(passer.Kind) // by call ID
	faultState
	crashState
}

func newNode(f *Fleet, i int) *node {
	return &node{
		f: f, id: fmt.Sprint("t", i), handlers: map[string]func(passer.Kind){},
		engine:     passer.Passer{Engine: f.Site.Engine, Queue: f.Site.Queue},
		faultState: faultState{markedAt: map[*fleetEntry]time.Time{}, pauses: map[*fleetEntry][]*pauseWindow{}},
		crashState: crashState{lose: map[string]func(){}},
	}
}

// wake starts a pass if the engine has work and no pass is under way.
func (n *node) wake() {
	if n.busy || n.down {
		return
	}
	d, ok := n.engine.Begin()
	if !ok {
		return
	}
	n.busy = true
	n.f.after(d, func() {
		n.busy = false
		for _, o := range n.engine.End() {
			if n.down { // by an earlier outcome, or before
				return
			}
			if notify := n.handlers[o.ID]; notify != nil {
				notify(o.Kind)
			}
		}
		n.wake()
	})
}

// submit sends a call to the engine and reports whether the engine accepted it. The
// handler receives the outcomes of the call. A call that is already done ends at once.
func (n *node) submit(c *call, parts, helperTokens int, handle func(passer.Kind)) bool {
	if c.done {
		handle(passer.Ended)
		return true
	}
	ok := n.engine.Submit(passer.Request{
		ID: c.id, Prompt: c.prompt, Output: c.output(), Events: c.events, Parts: parts, HelperTokens: helperTokens,
	})
	if !ok {
		return false
	}
	n.handlers[c.id] = func(k passer.Kind) {
		if c.crashing {
			n.crashBy()
			return
		}
		if k == passer.Ended {
			delete(n.handlers, c.id)
			delete(n.lose, c.id)
		}
		handle(k)
	}
	n.wake()
	return true
}

// help prefills one of several equal parts of a call's prompt and calls done at its end.
func (n *node) help(c *call, parts int, done func()) {
	n.handlers[c.id] = func(passer.Kind) {
		delete(n.handlers, c.id)
		done()
	}
	n.engine.SubmitPart(passer.Part{ID: c.id, Tokens: c.prompt / parts, Pairs: passer.Pairs(c.prompt) / float64(parts)})
	n.wake()
}
