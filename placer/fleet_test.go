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
	memory  = 100_000 // tokens of an engine
	reading = 60 * time.Second
)

// read is a read of the weight store under way.
type read struct {
	order messenger.Order
	ready time.Time
}

// fleet stands in for targets and keepers, in virtual time.
type fleet struct {
	now     time.Time
	start   time.Time
	rnd     *rand.Rand
	loss    float64 // share of orders that are lost
	targets []messenger.Target
	reads   map[int]read
	config  *configurer.Configurer
	scaler  scaler.Scaler
	placer  placer.Placer
	orders  map[string]int // by verb
	reading int            // most reads under way
	rolling int            // most changes of version under way
	least   int            // fewest targets serving
}

func fleetOf(n int, seed uint64) *fleet {
	start := time.Unix(1_800_000_000, 0)
	f := &fleet{
		start: start, now: start, rnd: rand.New(rand.NewPCG(seed, 7)), reads: map[int]read{},
		orders: map[string]int{}, least: n,
		config: &configurer.Configurer{
			Services: map[string]configurer.Service{"s": {Kind: "engine", Model: "m", Least: 3, Most: n}},
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

// lead starts a new leader's controllers.
func (f *fleet) lead() { f.scaler, f.placer = scaler.Scaler{}, placer.Placer{} }

// second lets one second pass under a demand in engines, and returns the part of
// it that is not served.
func (f *fleet) second(demand float64) float64 {
	f.now = f.now.Add(time.Second)
	f.install()
	active := f.count(serves)
	f.least = min(f.least, active)
	f.spread(demand, active)
	wants := f.scaler.Update(f.now, scaler.Samples(f.targets), f.config.Services)
	for _, o := range f.placer.Reconcile(f.now, wants, f.targets, f.config) {
		f.orders[o.Verb]++
		if f.rnd.Float64() >= f.loss {
			f.obey(o)
		}
	}
	f.reading = max(f.reading, len(f.reads))
	rolling := 0
	for _, r := range f.reads {
		if r.order.Verb == "version" {
			rolling++
		}
	}
	f.rolling = max(f.rolling, rolling)
	return max(0, demand-float64(active))
}

func (f *fleet) spread(demand float64, active int) {
	for i := range f.targets {
		l := &f.targets[i].Load
		l.Used, l.Running = 0, 0
		if serves(&f.targets[i]) {
			l.Used = int(min(memory, demand*memory/float64(active)))
			l.Running = l.Used / 1000
		}
	}
}

func (f *fleet) count(is func(*messenger.Target) bool) int {
	n := 0
	for i := range f.targets {
		if is(&f.targets[i]) {
			n++
		}
	}
	return n
}

func (f *fleet) total() int {
	n := 0
	for _, c := range f.orders {
		n += c
	}
	return n
}

func serves(t *messenger.Target) bool { return !t.Leaving && !t.Empty }
func loaded(t *messenger.Target) bool { return !t.Empty }

// obey does what the agent and the engine do.
func (f *fleet) obey(o messenger.Order) {
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
			f.reads[i] = read{order: o, ready: f.now.Add(reading)}
		}
	}
}

// install puts in place what has come from the weight store.
func (f *fleet) install() {
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
