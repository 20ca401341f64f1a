// Package placer decides which orders bring the targets to the desired state: as many
// active replicas as the scaler asks for, with the configured model version and adapters,
// in the desired lane.
//
// It derives the state only from what the targets announce, so that a new leader continues
// where the previous one stopped. An order is repeated until its effect is announced or
// another order replaces it. Orders are idempotent: each names a desired state, and a
// target may execute it twice. The caller adds a fencing token to each order, higher than
// all before it.
//
// A target that leaves without Standby has been drained by an operator, is shutting down
// or is unhealthy. It receives no orders and does not count as a replica.
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

// Verbs of the orders.
const (
	verbLoad     = "load"
	verbUnload   = "unload"
	verbAdapter  = "adapter"
	verbVersion  = "version"
	verbRole     = "role"
	verbStandby  = "standby"
	verbActivate = "activate"
)

// Defaults for the fields of a Placer that are zero.
const (
	DefaultRepeatInterval   = 5 * time.Second  // time until an order is repeated; doubles with each repetition
	DefaultStandbyRetention = 30 * time.Minute // time for which an idle target on standby stays loaded
	DefaultMaxReads         = 2                // concurrent reads of the weight store
	DefaultReadsPerMinute   = 6.0              // reads of the weight store per minute
)

const (
	// maxRepeatInterval is the maximum time between two repetitions of an order.
	maxRepeatInterval = time.Minute
	// readTimeout is the time after which an unfinished read of the weight store no
	// longer counts as concurrent.
	readTimeout = 15 * time.Minute
)

// Placer places all targets. Fields that are zero have the defaults given above. A Placer
// is not safe for concurrent use.
type Placer struct {
	RepeatInterval   time.Duration
	StandbyRetention time.Duration
	MaxReads         int     // concurrent reads of the weight store
	ReadsPerMinute   float64 // reads of the weight store per minute

	pending    map[string]*pendingOrder // orders whose effect has not been announced, by target
	idleSince  map[string]time.Time     // start of the idle time, by target on standby
	storeReads tokenBucket
}

// pendingOrder is the latest order to a target.
type pendingOrder struct {
	order       messenger.Order
	incarnation uint64
	firstSent   time.Time
	lastSent    time.Time     // time of the latest repetition, or of the first sending
	interval    time.Duration // until the next repetition
}

// Reconcile returns the orders to send now, ordered by service and target identity, at
// most one per target and without fencing tokens. Call it about once a second with all
// announced targets.
func (p *Placer) Reconcile(now time.Time, desired []scaler.Desired, targets []messenger.Target, c *configurer.Configurer) []messenger.Order {
	p.refresh(now, targets)
	var out []messenger.Order
	for _, s := range services(desired, targets, c) {
		s.assignTargets(p.updating)
		for i := range s.plans {
			if o, ok := p.nextOrder(now, &s.plans[i]); ok {
				out = append(out, o)
			}
		}
	}
	return out
}

// refresh drops the state of targets that are no longer announced and records since when
// targets on standby have been idle.
func (p *Placer) refresh(now time.Time, targets []messenger.Target) {
	if p.pending == nil {
		p.pending, p.idleSince = map[string]*pendingOrder{}, map[string]time.Time{}
	}
	p.storeReads.refill(now, cmp.Or(p.ReadsPerMinute, DefaultReadsPerMinute), cmp.Or(p.MaxReads, DefaultMaxReads))
	announced := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		announced[t.ID] = true
		if !t.Standby || busy(t) {
			delete(p.idleSince, t.ID)
		} else if _, ok := p.idleSince[t.ID]; !ok {
			p.idleSince[t.ID] = now
		}
	}
	maps.DeleteFunc(p.pending, func(id string, _ *pendingOrder) bool { return !announced[id] })
	maps.DeleteFunc(p.idleSince, func(id string, _ time.Time) bool { return !announced[id] })
}

// nextOrder returns the next order of a target. It returns false if none is due: the
// target is in the desired state, the order was sent a short time ago, or the limits of
// the weight store delay it.
func (p *Placer) nextOrder(now time.Time, pl *plan) (messenger.Order, bool) {
	o := pl.order()
	if o.Verb == verbUnload && o.Adapter == "" && now.Sub(p.idleSince[o.Target]) < cmp.Or(p.StandbyRetention, DefaultStandbyRetention) {
		o.Verb = ""
	}
	if o.Verb == "" {
		delete(p.pending, pl.target.ID)
		return o, false
	}
	repeat := cmp.Or(p.RepeatInterval, DefaultRepeatInterval)
	last := p.pending[o.Target]
	if last != nil && last.order == o && last.incarnation == pl.target.Incarnation {
		if now.Sub(last.lastSent) < last.interval {
			return o, false
		}
		last.lastSent, last.interval = now, min(2*last.interval, max(repeat, maxRepeatInterval))
		return o, true
	}
	if readsWeights(&o) && !p.allowRead(now, o.Target) {
		return o, false
	}
	p.pending[o.Target] = &pendingOrder{order: o, incarnation: pl.target.Incarnation, firstSent: now, lastSent: now, interval: repeat}
	return o, true
}

// allowRead reports whether a target may start to read the weight store now, and counts
// the read against the rate limit if so.
func (p *Placer) allowRead(now time.Time, target string) bool {
	reading := 0
	for id, last := range p.pending {
		if id != target && readsWeights(&last.order) && now.Sub(last.firstSent) < readTimeout {
			reading++
		}
	}
	return reading < cmp.Or(p.MaxReads, DefaultMaxReads) && p.storeReads.take()
}

// updating reports whether a target has been ordered to change its model version and has
// not announced the new one.
func (p *Placer) updating(target string) bool {
	last := p.pending[target]
	return last != nil && last.order.Verb == verbVersion
}

// readsWeights reports whether the execution of an order reads the weight store.
func readsWeights(o *messenger.Order) bool {
	return slices.Contains([]string{verbLoad, verbVersion, verbAdapter}, o.Verb)
}

// busy reports whether a target has running or waiting requests.
func busy(t *messenger.Target) bool { return t.Load.Running > 0 || t.Load.Waiting > 0 }

// tokenBucket limits the rate of reads of the weight store.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens for the time since the last refill. It starts with an empty
// bucket, because the previous leader may have just used its tokens.
func (b *tokenBucket) refill(now time.Time, perMinute float64, limit int) {
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilled).Minutes()*perMinute, float64(limit))
	}
	b.refilled = now
}

// take takes a token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
