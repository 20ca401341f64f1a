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
	DefaultRepeatInterval   = 5 * time.Second  // before an order is given again, doubled each time
	DefaultStandbyRetention = 30 * time.Minute // for which an idle target on standby stays loaded
	DefaultMaxReads         = 2                // reads of the weight store under way
	DefaultReadsPerMinute   = 6.0              // reads of the weight store a minute
)

const (
	// maxRepeatInterval bounds the time between two equal orders.
	maxRepeatInterval = time.Minute
	// readTimeout is the time after which a read of the weight store no longer
	// keeps others from starting.
	readTimeout = 15 * time.Minute
)

// Placer decides for all targets. The zero value works with the defaults. Not
// safe for concurrent use.
type Placer struct {
	RepeatInterval   time.Duration
	StandbyRetention time.Duration
	MaxReads         int
	ReadsPerMinute   float64 // reads of the weight store a minute

	pending    map[string]*pendingOrder // orders not yet observed, by target
	idleSince  map[string]time.Time     // since when, by target on standby
	storeReads tokenBucket
}

// pendingOrder is the newest order of a target.
type pendingOrder struct {
	order       messenger.Order
	incarnation uint64
	firstSent   time.Time
	lastSent    time.Time // of the last repetition
	interval    time.Duration
}

// Reconcile returns the orders to give now, in order of their targets' groups and
// identities, at most one a target and without fencing numbers. Call it about
// once a second with all announced targets.
func (p *Placer) Reconcile(now time.Time, wants []scaler.Desired, targets []messenger.Target, c *configurer.Configurer) []messenger.Order {
	p.refresh(now, targets)
	var out []messenger.Order
	for _, s := range services(wants, targets, c) {
		s.assignTargets(p.updating)
		for i := range s.plans {
			if o, ok := p.nextOrder(now, &s.plans[i]); ok {
				out = append(out, o)
			}
		}
	}
	return out
}

// refresh forgets targets that are gone and notes idle ones.
func (p *Placer) refresh(now time.Time, targets []messenger.Target) {
	if p.pending == nil {
		p.pending, p.idleSince = map[string]*pendingOrder{}, map[string]time.Time{}
	}
	p.storeReads.refill(now, cmp.Or(p.ReadsPerMinute, DefaultReadsPerMinute), cmp.Or(p.MaxReads, DefaultMaxReads))
	seen := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		seen[t.ID] = true
		if !t.Standby || busy(t) {
			delete(p.idleSince, t.ID)
		} else if _, ok := p.idleSince[t.ID]; !ok {
			p.idleSince[t.ID] = now
		}
	}
	maps.DeleteFunc(p.pending, func(id string, _ *pendingOrder) bool { return !seen[id] })
	maps.DeleteFunc(p.idleSince, func(id string, _ time.Time) bool { return !seen[id] })
}

// nextOrder returns the order that brings a target one step nearer to what is wanted,
// unless it was given a short while ago.
func (p *Placer) nextOrder(now time.Time, s *plan) (messenger.Order, bool) {
	o := s.order()
	if o.Verb == verbUnload && o.Adapter == "" && now.Sub(p.idleSince[o.Target]) < cmp.Or(p.StandbyRetention, DefaultStandbyRetention) {
		o.Verb = ""
	}
	if o.Verb == "" {
		delete(p.pending, s.target.ID)
		return o, false
	}
	repeat := cmp.Or(p.RepeatInterval, DefaultRepeatInterval)
	g := p.pending[o.Target]
	if g != nil && g.order == o && g.incarnation == s.target.Incarnation {
		if now.Sub(g.lastSent) < g.interval {
			return o, false
		}
		g.lastSent, g.interval = now, min(2*g.interval, max(repeat, maxRepeatInterval))
		return o, true
	}
	if readsWeights(&o) && !p.allowRead(now, o.Target) {
		return o, false
	}
	p.pending[o.Target] = &pendingOrder{order: o, incarnation: s.target.Incarnation, firstSent: now, lastSent: now, interval: repeat}
	return o, true
}

// allowRead takes a allowRead of the weight store for a target, if there is one left.
func (p *Placer) allowRead(now time.Time, target string) bool {
	under := 0
	for id, g := range p.pending {
		if id != target && readsWeights(&g.order) && now.Sub(g.firstSent) < readTimeout {
			under++
		}
	}
	return under < cmp.Or(p.MaxReads, DefaultMaxReads) && p.storeReads.take()
}

// updating reports whether a target was told to change its version and has not
// announced it.
func (p *Placer) updating(target string) bool {
	g := p.pending[target]
	return g != nil && g.order.Verb == verbVersion
}

func readsWeights(o *messenger.Order) bool {
	return slices.Contains([]string{verbLoad, verbVersion, verbAdapter}, o.Verb)
}

func busy(t *messenger.Target) bool { return t.Load.Running > 0 || t.Load.Waiting > 0 }

// tokenBucket is the token tokenBucket of the weight store's reads.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// refill adds what the time since the last refill brings. A new leader starts
// without tokens, as the old one may just have spent them.
func (b *tokenBucket) refill(now time.Time, perMinute float64, most int) {
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilled).Minutes()*perMinute, float64(most))
	}
	b.refilled = now
}

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
