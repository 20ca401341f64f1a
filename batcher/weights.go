package batcher

import (
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Verbs of orders.
const (
	VerbLoad    = "load"    // Model and Version, in place of what is loaded
	VerbUnload  = "unload"  // the model, or Adapter if it is named
	VerbAdapter = "adapter" // Adapter, beside the model
	VerbVersion = "version" // Version of the loaded model; the old one serves until it is there
	VerbRole    = "role"    // Lane
)

// weights is what the engine has loaded. State rises with each change that
// makes cached prefixes void.
type weights struct {
	model    string
	version  string
	adapters []string
	role     string
	fence    uint64
	state    uint64
	pending  []pending // by the order of their orders
}

// pending is a read of the weight store under way.
type pending struct {
	order messenger.Order
	ready time.Time
}

func (w *weights) serves(model string) bool {
	return model == "" || model == w.model || slices.Contains(w.adapters, model)
}

func (w *weights) loading() string {
	if len(w.pending) == 0 {
		return ""
	}
	o := w.pending[0].order
	return strings.Join([]string{o.Verb, o.Model, o.Version, o.Adapter}, " ")
}

// underway reports whether the read that o asks for has begun.
func (w *weights) underway(o messenger.Order) bool {
	return slices.ContainsFunc(w.pending, func(p pending) bool {
		q := p.order
		q.Fence = o.Fence
		return q == o
	})
}

// order executes an order, or starts the read of the weight store that it needs.
func (b *Batcher) order(now time.Time, o messenger.Order) {
	w := &b.weights
	if b.Config.Fences && o.Fence < w.fence {
		b.act(Action{Kind: Refused, Err: coder.Errorf(coder.Fenced, "order %d after %d", o.Fence, w.fence), Fence: w.fence})
		return
	}
	if err := b.execute(now, o); err != nil {
		b.act(Action{Kind: Refused, Err: err, Fence: w.fence})
		return
	}
	if b.Config.Fences {
		w.fence = o.Fence
	}
	b.act(Action{Kind: Ordered, Fence: w.fence})
}

func (b *Batcher) execute(now time.Time, o messenger.Order) *coder.Error {
	w := &b.weights
	switch o.Verb {
	case VerbLoad:
		return b.replace(now, o)
	case VerbUnload:
		return b.unload(o)
	case VerbAdapter:
		if !slices.Contains(w.adapters, o.Adapter) {
			b.fetch(now, o, b.Config.Patch)
		}
	case VerbVersion:
		if o.Version != w.version {
			b.fetch(now, o, b.Config.Weight)
		}
	case VerbRole:
		w.role = o.Lane
	default:
		return coder.Errorf(coder.Malformed, "order verb %q", o.Verb)
	}
	return nil
}

// replace unloads the present model at once and starts to load another.
func (b *Batcher) replace(now time.Time, o messenger.Order) *coder.Error {
	w := &b.weights
	if o.Model == w.model && o.Version == w.version || w.underway(o) {
		return nil
	}
	if len(b.works) > 0 {
		return coder.Errorf(coder.Busy, "%d requests or holds", len(b.works))
	}
	b.forget()
	b.fetch(now, o, b.Config.Weight)
	return nil
}

func (b *Batcher) unload(o messenger.Order) *coder.Error {
	w := &b.weights
	if o.Adapter != "" {
		w.adapters = slices.DeleteFunc(w.adapters, func(a string) bool { return a == o.Adapter })
		return nil
	}
	if len(b.works) > 0 {
		return coder.Errorf(coder.Busy, "%d requests or holds", len(b.works))
	}
	b.forget()
	return nil
}

// forget drops the model, its adapters, its cache and reads under way.
func (b *Batcher) forget() {
	w := &b.weights
	w.model, w.version, w.adapters, w.pending = "", "", nil, nil
	b.renew()
}

func (b *Batcher) renew() {
	b.weights.state++
	b.memory.clear()
}

// fetch starts a read unless the same one is under way.
func (b *Batcher) fetch(now time.Time, o messenger.Order, bytes int) {
	w := &b.weights
	if w.underway(o) {
		return
	}
	ready := now
	if b.Config.Fetch != nil {
		ready = b.Config.Fetch(now, bytes)
	}
	w.pending = append(w.pending, pending{order: o, ready: ready})
	b.load(now)
}

// load puts in place what has come from the weight store.
func (b *Batcher) load(now time.Time) {
	w := &b.weights
	for len(w.pending) > 0 && !now.Before(w.pending[0].ready) {
		o := w.pending[0].order
		w.pending = w.pending[1:]
		b.install(o)
	}
}

func (b *Batcher) install(o messenger.Order) {
	w := &b.weights
	switch o.Verb {
	case VerbLoad:
		w.model, w.version = o.Model, o.Version
	case VerbVersion:
		w.version = o.Version
	case VerbAdapter:
		w.adapters = append(w.adapters, o.Adapter)
		slices.Sort(w.adapters)
		return
	}
	b.renew()
}
