package administrator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/orderer"
	"bramleyshunt/reporter"
)

const (
	// lagAfter is how long a node may be silent, or behind, before it is shown
	// as lagging.
	lagAfter = 9 * time.Second
	// askLimit bounds the question to one keeper.
	askLimit = 2 * time.Second
)

// Node tells where a version is in force.
type Node struct {
	Node    string  `json:"node"`
	Version uint64  `json:"version"`
	Seen    float64 `json:"seen"` // seconds since it was last heard of
	Lagging bool    `json:"lagging"`
}

// Nodes is the body of GET /v1/nodes.
type Nodes struct {
	Version   uint64            `json:"version"` // in force
	Confirmed bool              `json:"confirmed"`
	Nodes     []Node            `json:"nodes"`
	Silent    map[string]string `json:"silent,omitempty"` // keepers that gave no answer, and why
}

// nodes asks every keeper which nodes it has heard of.
func (a *Administrator) nodes(r *request) (any, error) {
	out := Nodes{Confirmed: a.confirmed(r.ctx), Version: a.cfg.Applier.View().Version}
	latest := map[string]messenger.Node{}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, k := range a.cfg.Keepers {
		wg.Go(func() {
			nodes, err := a.ask(r.ctx, k.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.silent(k.Node, err)
			}
			for _, n := range nodes {
				if old, ok := latest[n.Node]; !ok || n.Seen < old.Seen {
					latest[n.Node] = n
				}
			}
		})
	}
	wg.Wait()
	for _, n := range latest {
		out.Nodes = append(out.Nodes, Node{
			Node: n.Node, Version: n.Version, Seen: n.Seen.Seconds(),
			Lagging: n.Version < out.Version || n.Seen > lagAfter,
		})
	}
	slices.SortFunc(out.Nodes, func(x, y Node) int { return cmp.Compare(x.Node, y.Node) })
	return out, nil
}

func (n *Nodes) silent(keeper string, err error) {
	if n.Silent == nil {
		n.Silent = map[string]string{}
	}
	n.Silent[keeper] = err.Error()
}

func (a *Administrator) ask(ctx context.Context, addr string) ([]messenger.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := a.cfg.Pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	var out messenger.NodesListed
	err = conn.Call(ctx, messenger.KindNodes, &messenger.Nodes{}, &out)
	return out.Nodes, err
}

func (a *Administrator) status(*request) (any, error) {
	var out reporter.Reporter
	if a.cfg.Status != nil {
		out.Process = a.cfg.Status()
	}
	if a.cfg.Targets != nil {
		out.Targets = a.cfg.Targets()
	}
	if a.cfg.Applier != nil {
		out.Claims = a.cfg.Applier.Claims()
	}
	return out, nil
}

// Drained is the body of an answer to POST /v1/targets/:id/drain.
type Drained struct {
	Target string `json:"target"`
}

func (a *Administrator) drain(r *request) (any, error) {
	id := r.params.ByName("id")
	order := a.cfg.Drain
	if order == nil {
		order = a.order
	}
	if err := order(r.ctx, id); err != nil {
		return nil, err
	}
	a.cfg.Log.WithField("target", id).WithField("operator", r.operator).Info("target drained")
	return Drained{Target: id}, nil
}

// order has the keepers issue a fencing number and sends the agent the order to
// take no new work.
func (a *Administrator) order(ctx context.Context, id string) error {
	t, err := a.target(id)
	if err != nil {
		return err
	}
	o := orderer.Orderer{Call: a.cfg.Call, Pool: a.cfg.Pool}
	fence, err := o.IssueFence(ctx, id)
	if err != nil {
		return err
	}
	return o.Send(ctx, t.Address, messenger.Order{Fence: fence, Target: id, Verb: "drain"})
}

func (a *Administrator) target(id string) (messenger.Target, error) {
	if a.cfg.Targets != nil {
		for _, t := range a.cfg.Targets() {
			if t.ID == id {
				return t, nil
			}
		}
	}
	return messenger.Target{}, coder.Errorf(coder.NoTarget, "no target %q is announced to this keeper", id)
}
