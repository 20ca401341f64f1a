package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/placer"
	"bramleyshunt/scaler"
)

const (
	memory   = 100_000 // of an engine, in tokens
	readTime = 60 * time.Second
)

// weightRead is an unfinished read of the weight store.
type weightRead struct {
	order messenger.Order
	ready time.Time
}

// fleet simulates targets and keepers in virtual time.
type fleet struct {
	now        time.Time
	start      time.Time
	rnd        *rand.Rand
	loss       float64 // fraction of orders that are lost
	targets    []messenger.Target
	reads      map[int]weightRead // by index of the target
	config     *configurer.Configurer
	scaler     scaler.Scaler
	placer     placer.Placer
	orders     map[string]int // by verb
	maxReads   int            // maximum of concurrent reads of the weight store
	maxUpdates int            // maximum of concurrent changes of the model version
	minServing int            // minimum of serving targets
}

func newFleet(n int, seed uint64) *fleet {
	start := time.Unix(1_800_000_000, 0)
	f := &fleet{
		start: start, now: start, rnd: rand.New(rand.NewPCG(seed, 7)), reads: map[int]weightRead{},
		orders: map[string]int{}, minServing: n,
		config: &configurer.Configurer{
			Services: map[string]configurer.Service{"s": {Kind: "engine", Model: "m", MinReplicas: 3, MaxReplicas: n}},
			Models:   map[string]configurer.Model{"m": {Version: "1"}},
		},
	}
	for i := range n {
		f.targets = append(f.targets, messenger.Target{
			ID: fmt.Sprintf("t%02d", i), Service: "s", Model: "m", Version: "1", Load: messenger.Load{Memory: memory},
		})
	}
	return f
}

// changeLeader replaces the scaler and the placer by those of a new leader.
func (f *fleet) changeLeader() { f.scaler, f.placer = scaler.Scaler{}, placer.Placer{} }

// step advances the simulation by one second under a demand, in engines, and returns
// the unserved part of the demand.
func (f *fleet) step(demand float64) float64 {
	f.now = f.now.Add(time.Second)
	f.finishReads()
	active := f.count(serves)
	f.minServing = min(f.minServing, active)
	f.distribute(demand, active)
	desired := f.scaler.Update(f.now, scaler.Samples(f.targets), f.config.Services)
	for _, o := range f.placer.Reconcile(f.now, desired, f.targets, f.config) {
		f.orders[o.Verb]++
		if f.rnd.Float64() >= f.loss {
			f.execute(o)
		}
	}
	f.maxReads = max(f.maxReads, len(f.reads))
	updates := 0
	for _, r := range f.reads {
		if r.order.Verb == "version" {
			updates++
		}
	}
	f.maxUpdates = max(f.maxUpdates, updates)
	return max(0, demand-float64(active))
}

// distribute divides the demand evenly between the serving targets.
func (f *fleet) distribute(demand float64, active int) {
	for i := range f.targets {
		l := &f.targets[i].Load
		l.Used, l.Running = 0, 0
		if serves(&f.targets[i]) {
			l.Used = int(min(memory, demand*memory/float64(active)))
			l.Running = l.Used / 1000
		}
	}
}

func (f *fleet) count(match func(*messenger.Target) bool) int {
	n := 0
	for i := range f.targets {
		if match(&f.targets[i]) {
			n++
		}
	}
	return n
}

func (f *fleet) totalOrders() int {
	n := 0
	for _, c := range f.orders {
		n += c
	}
	return n
}

func serves(t *messenger.Target) bool { return !t.Leaving && !t.Empty }
func loaded(t *messenger.Target) bool { return !t.Empty }

// execute simulates the execution of an order by the agent and the engine.
func (f *fleet) execute(o messenger.Order) {
	i := slices.IndexFunc(f.targets, func(t messenger.Target) bool { return t.ID == o.Target })
	t := &f.targets[i]
	switch o.Verb {
	case "standby", "activate":
		t.Leaving = o.Verb == "standby"
		t.Standby = t.Leaving
	case "role":
		t.Lane = o.Lane
	case "unload":
		t.Version, t.Adapters, t.Empty = "", nil, true
	default:
		if r, ok := f.reads[i]; !ok || r.order != o {
			f.reads[i] = weightRead{order: o, ready: f.now.Add(readTime)}
		}
	}
}

// finishReads loads the models and adapters whose reads have ended.
func (f *fleet) finishReads() {
	for i := range f.targets {
		r, ok := f.reads[i]
		if !ok || f.now.Before(r.ready) {
			continue
		}
		delete(f.reads, i)
		t := &f.targets[i]
		if r.order.Verb == "adapter" {
			t.Adapters = append(t.Adapters, r.order.Adapter)
			continue
		}
		t.Version, t.Empty = r.order.Version, false
	}
}
