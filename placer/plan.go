package placer

import (
	"slices"

	"bramleyshunt/messenger"
)

// plan is the desired state of a target.
type plan struct {
	service     *service
	target      *messenger.Target
	lane        string
	shouldServe bool // in that lane
	mayUpdate   bool // may change its model version now
}

// engine reports whether the target is an engine, which loads model weights.
func (p *plan) engine() bool { return p.service.spec.Kind != "plain" }

// loaded reports whether an engine has loaded the configured model, in any version.
func (p *plan) loaded() bool {
	return p.engine() && !p.target.Empty && p.target.Model == p.service.spec.Model
}

// outdated reports whether the loaded version differs from the configured one. It is
// false for engines that do not report their version.
func (p *plan) outdated() bool {
	return p.loaded() && p.target.Version != "" && p.target.Version != p.service.model.Version
}

// serves reports whether the target accepts requests.
func (p *plan) serves() bool {
	return !p.target.Leaving && (!p.engine() || p.loaded())
}

// rank orders targets by the time until they can serve.
type rank int

const (
	serving rank = iota
	warm         // on standby, with nothing to load
	cold         // has to load the model first
)

func (p *plan) rank() rank {
	switch {
	case p.serves():
		return serving
	case !p.engine() || p.loaded():
		return warm
	default:
		return cold
	}
}

// idle reports whether the target should stay on standby and has no requests.
func (p *plan) idle() bool { return !p.shouldServe && p.target.Standby && !busy(p.target) }

// order returns the next order for the target. Its verb is empty if none is due.
func (p *plan) order() messenger.Order {
	o := messenger.Order{Target: p.target.ID}
	switch {
	case !p.shouldServe && !p.target.Leaving:
		o.Verb = verbStandby
	case p.shouldServe:
		p.serveOrder(&o)
	case p.loaded() && p.idle():
		p.idleOrder(&o)
	}
	return o
}

// idleOrder completes the order for an idle target on standby: to change the model
// version, or else to unload the model.
func (p *plan) idleOrder(o *messenger.Order) {
	if p.mayUpdate {
		p.versionOrder(o)
		return
	}
	o.Verb = verbUnload
}

// serveOrder completes the order for a target that should serve. An engine without the
// model is first put on standby, so that entries stop sending to it; it loads the model
// once its remaining requests have ended.
func (p *plan) serveOrder(o *messenger.Order) {
	cold := p.rank() == cold
	switch {
	case cold && !p.target.Leaving:
		o.Verb = verbStandby
	case cold && !busy(p.target):
		o.Verb, o.Model, o.Version = verbLoad, p.service.spec.Model, p.service.model.Version
	case cold:
		return
	case p.lane != p.target.Lane:
		o.Verb, o.Lane = verbRole, p.lane
	case p.target.Leaving:
		o.Verb = verbActivate
	case p.mayUpdate:
		p.versionOrder(o)
	case p.engine():
		p.adapterOrder(o)
	}
}

// versionOrder completes an order to load the configured model version.
func (p *plan) versionOrder(o *messenger.Order) {
	o.Verb, o.Model, o.Version = verbVersion, p.service.spec.Model, p.service.model.Version
}

// adapterOrder completes the order to load the first missing adapter, or else to unload
// the first adapter that is not configured.
func (p *plan) adapterOrder(o *messenger.Order) {
	want, have := p.service.model.Adapters, p.target.Adapters
	for _, a := range want {
		if !slices.Contains(have, a) {
			o.Verb, o.Adapter = verbAdapter, a
			return
		}
	}
	for _, a := range have {
		if !slices.Contains(want, a) {
			o.Verb, o.Adapter = verbUnload, a
			return
		}
	}
}
