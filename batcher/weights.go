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
	VerbLoad    = "load"    // replaces the loaded model by Model and Version
	VerbUnload  = "unload"  // unloads Adapter, or the model if Adapter is empty
	VerbAdapter = "adapter" // loads Adapter in addition to the model
	VerbVersion = "version" // loads Version of the model; the old version serves until then
	VerbRole    = "role"    // sets the role to Lane
)

// weights is the set of loaded models and adapters. The epoch rises with each change
// that invalidates cached prefixes.
type weights struct {
	model    string
	version  string
	adapters []string
	role     string
	fence    uint64
	epoch    uint64
	pending  []fetch // in the order in which they were ordered
}

// fetch is a read from the weight store in progress.
type fetch struct {
	order   messenger.Order
	readyAt time.Time
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

// fetching reports whether the read that o requires is in progress. Orders that
// differ only in their fencing token require the same read.
func (w *weights) fetching(o messenger.Order) bool {
	return slices.ContainsFunc(w.pending, func(p fetch) bool {
		q := p.order
		q.Fence = o.Fence
		return q == o
	})
}

// order executes an order, or starts the read from the weight store that it requires.
func (b *Batcher) order(now time.Time, o messenger.Order) {
	w := &b.weights
	if b.Config.CheckFences && o.Fence < w.fence {
		b.emit(Action{Kind: Refused, Err: coder.Errorf(coder.Fenced, "order %d after %d", o.Fence, w.fence), Fence: w.fence})
		return
	}
	if err := b.execute(now, o); err != nil {
		b.emit(Action{Kind: Refused, Err: err, Fence: w.fence})
		return
	}
	if b.Config.CheckFences {
		w.fence = o.Fence
	}
	b.emit(Action{Kind: OrderAccepted, Fence: w.fence})
}

func (b *Batcher) execute(now time.Time, o messenger.Order) *coder.Error {
	w := &b.weights
	switch o.Verb {
	case VerbLoad:
		return b.loadModel(now, o)
	case VerbUnload:
		return b.unload(o)
	case VerbAdapter:
		if !slices.Contains(w.adapters, o.Adapter) {
			b.startFetch(now, o, b.Config.AdapterBytes)
		}
	case VerbVersion:
		if o.Version != w.version {
			b.startFetch(now, o, b.Config.ModelBytes)
		}
	case VerbRole:
		w.role = o.Lane
	default:
		return coder.Errorf(coder.Malformed, "order verb %q", o.Verb)
	}
	return nil
}

// loadModel unloads the current model at once and starts to load another one.
func (b *Batcher) loadModel(now time.Time, o messenger.Order) *coder.Error {
	w := &b.weights
	if o.Model == w.model && o.Version == w.version || w.fetching(o) {
		return nil
	}
	if len(b.jobs) > 0 {
		return coder.Errorf(coder.Busy, "%d requests or holds", len(b.jobs))
	}
	b.clearWeights()
	b.startFetch(now, o, b.Config.ModelBytes)
	return nil
}

func (b *Batcher) unload(o messenger.Order) *coder.Error {
	w := &b.weights
	if o.Adapter != "" {
		w.adapters = slices.DeleteFunc(w.adapters, func(a string) bool { return a == o.Adapter })
		return nil
	}
	if len(b.jobs) > 0 {
		return coder.Errorf(coder.Busy, "%d requests or holds", len(b.jobs))
	}
	b.clearWeights()
	return nil
}

// clearWeights drops the model, its adapters, its cache and all reads in progress.
func (b *Batcher) clearWeights() {
	w := &b.weights
	w.model, w.version, w.adapters, w.pending = "", "", nil, nil
	b.invalidateCache()
}

func (b *Batcher) invalidateCache() {
	b.weights.epoch++
	b.memory.clear()
}

// startFetch starts a read from the weight store unless the same one is in progress.
func (b *Batcher) startFetch(now time.Time, o messenger.Order, bytes int) {
	w := &b.weights
	if w.fetching(o) {
		return
	}
	ready := now
	if b.Config.Fetch != nil {
		ready = b.Config.Fetch(now, bytes)
	}
	w.pending = append(w.pending, fetch{order: o, readyAt: ready})
	b.installFetched(now)
}

// installFetched installs the models and adapters whose reads have completed.
func (b *Batcher) installFetched(now time.Time) {
	w := &b.weights
	for len(w.pending) > 0 && !now.Before(w.pending[0].readyAt) {
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
	b.invalidateCache()
}
