package publisher

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// nodeMemory is how long a node that is not heard of stays listed.
const nodeMemory = time.Hour

// node is what one node reported.
type node struct {
	version uint64
	seen    time.Time
}

// note records the version in force at a node.
func (p *Publisher) note(ctx context.Context, name string, version uint64) {
	if name == "" {
		return
	}
	p.do(ctx, func() { p.nodes[name] = node{version: version, seen: p.cfg.Now()} })
}

// forget runs on the control goroutine.
func (p *Publisher) forget(now time.Time) {
	for name, n := range p.nodes {
		if now.Sub(n.seen) >= nodeMemory {
			delete(p.nodes, name)
		}
	}
}

func (p *Publisher) list(ctx context.Context) reply {
	nodes, ok := p.Nodes(ctx)
	if !ok {
		return reply{err: coder.Errorf(coder.NotReady, "keeper is ending")}
	}
	return reply{kind: messenger.KindNodesListed, body: &messenger.NodesListed{Nodes: nodes}}
}

// Nodes returns the nodes this keeper has heard of in order of their names. It
// reports false if the Publisher has ended.
func (p *Publisher) Nodes(ctx context.Context) ([]messenger.Node, bool) {
	var out []messenger.Node
	ok := p.do(ctx, func() {
		now := p.cfg.Now()
		for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
			n := p.nodes[name]
			out = append(out, messenger.Node{Node: name, Version: n.version, Seen: now.Sub(n.seen)})
		}
	})
	return out, ok
}

// Targets returns the targets announced to this keeper in order of their ids.
func (p *Publisher) Targets() []messenger.Target {
	live := p.board.Load().live
	out := make([]messenger.Target, 0, len(live))
	for _, e := range live {
		out = append(out, e.Target)
	}
	return out
}
