package bencher

import (
	"fmt"

	"bramleyshunt/passer"
)

// node is an engine of the fleet.
type node struct {
	f      *Fleet
	id     string
	engine passer.Passer
	busy   bool // a pass is under way
	events map[string]func(passer.Kind)
}

func newNode(f *Fleet, i int) *node {
	return &node{
		f: f, id: fmt.Sprint("t", i), events: map[string]func(passer.Kind){},
		engine: passer.Passer{Engine: f.Site.Engine, Queue: f.Site.Queue},
	}
}

// wake starts a pass unless one is under way.
func (n *node) wake() {
	if n.busy {
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
			if g := n.events[o.ID]; g != nil {
				g(o.Kind)
			}
		}
		n.wake()
	})
}

// submit gives a call to the engine and reports whether it was taken.
func (n *node) submit(c *call, parts, held int, on func(passer.Kind)) bool {
	if c.done {
		on(passer.Ended)
		return true
	}
	ok := n.engine.Submit(passer.Request{
		ID: c.id, Prompt: c.prompt, Output: c.output(), Events: c.events, Parts: parts, Held: held,
	})
	if !ok {
		return false
	}
	n.events[c.id] = func(k passer.Kind) {
		if k == passer.Ended {
			delete(n.events, c.id)
		}
		on(k)
	}
	n.wake()
	return true
}

// help reads a part of a call's prompt.
func (n *node) help(c *call, parts int, read func()) {
	n.events[c.id] = func(passer.Kind) {
		delete(n.events, c.id)
		read()
	}
	n.engine.Help(passer.Part{ID: c.id, Tokens: c.prompt / parts, Pairs: passer.Pairs(c.prompt) / float64(parts)})
	n.wake()
}
