// Package placer decides which orders bring the targets to the wanted state: as
// many active replicas as the scaler wants, of the configured model version with
// the configured adapters, in the wanted lane.
//
// The state is what the targets announce and nothing else, so that a new leader
// goes on where the old one stopped. An order is given again until its effect is
// announced or another takes its place. Orders state a wanted state and may be
// executed twice; fencing numbers, which the caller adds, rise with each.
//
// A target that leaves without Standby was drained by an operator, is shutting
// down or is ill: it gets no orders and does not count.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/scaler"
)

// Verbs of the orders given.
const (
	verbLoad     = "load"
	verbUnload   = "unload"
	verbAdapter  = "adapter"
	verbVersion  = "version"
	verbRole     = "role"
	verbStandby  = "standby"
	verbActivate = "activate"
)

// Defaults of a Placer's fields.
const (
	DefaultRepeat = 5 * time.Second  // before an order is given again, doubled each time
	DefaultWarm   = 30 * time.Minute // for which an idle target on standby stays loaded
	DefaultLoads  = 2                // reads of the weight store under way
	DefaultRate   = 6.0              // reads of the weight store a minute
)

const (
	// repeatLimit bounds the time between two equal orders.
	repeatLimit = time.Minute
	// readLimit is the time after which a read of the weight store no longer
	// keeps others from starting.
	readLimit = 15 * time.Minute
)

// Placer decides for all targets. The zero value works with the defaults. Not
// safe for concurrent use.
type Placer struct {
	Repeat time.Duration
	Warm   time.Duration
	Loads  int
	Rate   float64 // reads of the weight store a minute

	given map[string]*given    // orders not yet observed, by target
	idle  map[string]time.Time // since when, by target on standby
	store bucket
}

// given is the newest order of a target.
type given struct {
	order       messenger.Order
	incarnation uint64
	first       time.Time
	at          time.Time // of the last repetition
	wait        time.Duration
}

// Step returns the orders to give now, in order of their targets' groups and
// identities, at most one a target and without fencing numbers. Call it about
// once a second with all announced targets.
func (p *Placer) Step(now time.Time, wants []scaler.Want, targets []messenger.Target, c *configurer.Configurer) []messenger.Order {
	p.begin(now, targets)
	var out []messenger.Order
	for _, s := range services(wants, targets, c) {
		s.place(p.rolling)
		for i := range s.steps {
			if o, ok := p.next(now, &s.steps[i]); ok {
				out = append(out, o)
			}
		}
	}
	return out
}

// begin forgets targets that are gone and notes idle ones.
func (p *Placer) begin(now time.Time, targets []messenger.Target) {
	if p.given == nil {
		p.given, p.idle = map[string]*given{}, map[string]time.Time{}
	}
	p.store.refill(now, cmp.Or(p.Rate, DefaultRate), cmp.Or(p.Loads, DefaultLoads))
	seen := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		seen[t.ID] = true
		if !t.Standby || busy(t) {
			delete(p.idle, t.ID)
		} else if _, ok := p.idle[t.ID]; !ok {
			p.idle[t.ID] = now
		}
	}
	maps.DeleteFunc(p.given, func(id string, _ *given) bool { return !seen[id] })
	maps.DeleteFunc(p.idle, func(id string, _ time.Time) bool { return !seen[id] })
}

// next returns the order that brings a target one step nearer to what is wanted,
// unless it was given a short while ago.
func (p *Placer) next(now time.Time, s *step) (messenger.Order, bool) {
	o := s.order()
	if o.Verb == verbUnload && o.Adapter == "" && now.Sub(p.idle[o.Target]) < cmp.Or(p.Warm, DefaultWarm) {
		o.Verb = ""
	}
	if o.Verb == "" {
		delete(p.given, s.target.ID)
		return o, false
	}
	repeat := cmp.Or(p.Repeat, DefaultRepeat)
	g := p.given[o.Target]
	if g != nil && g.order == o && g.incarnation == s.target.Incarnation {
		if now.Sub(g.at) < g.wait {
			return o, false
		}
		g.at, g.wait = now, min(2*g.wait, max(repeat, repeatLimit))
		return o, true
	}
	if reads(&o) && !p.read(now, o.Target) {
		return o, false
	}
	p.given[o.Target] = &given{order: o, incarnation: s.target.Incarnation, first: now, at: now, wait: repeat}
	return o, true
}

// read takes a read of the weight store for a target, if there is one left.
func (p *Placer) read(now time.Time, target string) bool {
	under := 0
	for id, g := range p.given {
		if id != target && reads(&g.order) && now.Sub(g.first) < readLimit {
			under++
		}
	}
	return under < cmp.Or(p.Loads, DefaultLoads) && p.store.take()
}

// rolling reports whether a target was told to change its version and has not
// announced it.
func (p *Placer) rolling(target string) bool {
	g := p.given[target]
	return g != nil && g.order.Verb == verbVersion
}

func reads(o *messenger.Order) bool {
	return slices.Contains([]string{verbLoad, verbVersion, verbAdapter}, o.Verb)
}

func busy(t *messenger.Target) bool { return t.Load.Running > 0 || t.Load.Waiting > 0 }

// bucket is the token bucket of the weight store's reads.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds what the time since the last refill brings. A new leader starts
// without tokens, as the old one may just have spent them.
func (b *bucket) refill(now time.Time, perMinute float64, most int) {
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.at).Minutes()*perMinute, float64(most))
	}
	b.at = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
