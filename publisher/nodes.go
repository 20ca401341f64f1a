package publisher

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// nodeRetention is how long a node stays listed after its last report.
const nodeRetention = time.Hour

// node is the last report of one node.
type node struct {
	version    uint64
	lastReport time.Time
}

// recordNode records the version in force at a node. Without a name it does nothing.
func (p *Publisher) recordNode(ctx context.Context, name string, version uint64) {
	if name == "" {
		return
	}
	p.do(ctx, func() { p.nodes[name] = node{version: version, lastReport: p.cfg.Now()} })
}

// expireNodes removes nodes past nodeRetention. It runs on the control goroutine.
func (p *Publisher) expireNodes(now time.Time) {
	for name, n := range p.nodes {
		if now.Sub(n.lastReport) >= nodeRetention {
			delete(p.nodes, name)
		}
	}
}

func (p *Publisher) listNodes(ctx context.Context) reply {
	nodes, ok := p.Nodes(ctx)
	if !ok {
		return reply{err: coder.Errorf(coder.NotReady, "keeper is ending")}
	}
	return reply{kind: messenger.KindNodesListed, body: &messenger.NodesListed{Nodes: nodes}}
}

// Nodes returns the nodes that have reported to this keeper, in order of their names.
// It reports false if the Publisher has stopped or ctx ends first.
func (p *Publisher) Nodes(ctx context.Context) ([]messenger.Node, bool) {
	var out []messenger.Node
	ok := p.do(ctx, func() {
		now := p.cfg.Now()
		for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
			n := p.nodes[name]
			out = append(out, messenger.Node{Node: name, Version: n.version, Seen: now.Sub(n.lastReport)})
		}
	})
	return out, ok
}

// Targets returns the targets with a live lease at this keeper, in order of their ids.
func (p *Publisher) Targets() []messenger.Target {
	live := p.state.Load().live
	out := make([]messenger.Target, 0, len(live))
	for _, l := range live {
		out = append(out, l.Target)
	}
	return out
}
