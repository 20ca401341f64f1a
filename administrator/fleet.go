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
	// lagAfter is how long after its last report a node counts as lagging.
	lagAfter = 9 * time.Second
	// keeperTimeout bounds the call to one keeper.
	keeperTimeout = 2 * time.Second
)

// Node is the configuration version in force on one node.
type Node struct {
	Node    string  `json:"node"`
	Version uint64  `json:"version"`
	Seen    float64 `json:"seen"` // seconds since its last report
	Lagging bool    `json:"lagging"`
}

// Nodes is the body of GET /v1/nodes.
type Nodes struct {
	Version      uint64            `json:"version"` // in force
	Confirmed    bool              `json:"confirmed"`
	Nodes        []Node            `json:"nodes"`
	Unresponsive map[string]string `json:"silent,omitempty"` // error by keeper that did not answer
}

// nodes collects the nodes that report to any keeper, with the latest report of each.
func (a *Administrator) nodes(r *request) (any, error) {
	out := Nodes{Confirmed: a.confirm(r.ctx), Version: a.cfg.Applier.View().Version}
	latest := map[string]messenger.Node{}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, k := range a.cfg.Keepers {
		wg.Go(func() {
			nodes, err := a.listNodes(r.ctx, k.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.addUnresponsive(k.Node, err)
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

func (n *Nodes) addUnresponsive(keeper string, err error) {
	if n.Unresponsive == nil {
		n.Unresponsive = map[string]string{}
	}
	n.Unresponsive[keeper] = err.Error()
}

func (a *Administrator) listNodes(ctx context.Context, addr string) ([]messenger.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
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
	var out reporter.Report
	if a.cfg.Status != nil {
		out.Process = a.cfg.Status()
	}
	if a.cfg.Targets != nil {
		out.Targets = a.cfg.Targets()
	}
	if a.cfg.Applier != nil {
		out.Claims = a.cfg.Applier.Claims()
		out.Evacuated = a.cfg.Applier.Evacuated().Zones
	}
	return out, nil
}

// Drained is the body of a response to POST /v1/targets/:id/drain.
type Drained struct {
	Target string `json:"target"`
}

func (a *Administrator) drain(r *request) (any, error) {
	id := r.params.ByName("id")
	drain := a.cfg.Drain
	if drain == nil {
		drain = a.sendDrain
	}
	if err := drain(r.ctx, id); err != nil {
		return nil, err
	}
	a.cfg.Log.WithField("target", id).WithField("operator", r.operator).Info("target drained")
	return Drained{Target: id}, nil
}

// sendDrain obtains a fencing token from the keepers and orders the target's agent
// to accept no new work.
func (a *Administrator) sendDrain(ctx context.Context, id string) error {
	t, err := a.findTarget(id)
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

func (a *Administrator) findTarget(id string) (messenger.Target, error) {
	if a.cfg.Targets != nil {
		for _, t := range a.cfg.Targets() {
			if t.ID == id {
				return t, nil
			}
		}
	}
	return messenger.Target{}, coder.Errorf(coder.NoTarget, "no target %q is announced to this keeper", id)
}
