package placer

import (
	"slices"

	"bramleyshunt/messenger"
)

// plan is one target and what is wanted of it.
type plan struct {
	service     *service
	target      *messenger.Target
	lane        string
	shouldServe bool // to serve
	mayUpdate   bool // may change its model version now
}

// engine reports whether the target has weights to load.
func (s *plan) engine() bool { return s.service.spec.Kind != "plain" }

func (s *plan) loaded() bool {
	return s.engine() && !s.target.Empty && s.target.Model == s.service.spec.Model
}

// outdated reports whether another than the configured version is loaded. An
// engine that does not tell its version is left alone.
func (s *plan) outdated() bool {
	return s.loaded() && s.target.Version != "" && s.target.Version != s.service.model.Version
}

// serves reports whether the target takes requests.
func (s *plan) serves() bool {
	return !s.target.Leaving && (!s.engine() || s.loaded())
}

// rank tells how soon a target can serve.
type rank int

const (
	serving rank = iota
	warm         // loaded, on standby
	cold
)

func (s *plan) rank() rank {
	switch {
	case s.serves():
		return serving
	case !s.engine() || s.loaded():
		return warm
	default:
		return cold
	}
}

// idle reports whether the target is on standby without work.
func (s *plan) idle() bool { return !s.shouldServe && s.target.Standby && !busy(s.target) }

// order returns the next order of the target; its verb is empty if none is due.
func (s *plan) order() messenger.Order {
	o := messenger.Order{Target: s.target.ID}
	switch {
	case !s.shouldServe && !s.target.Leaving:
		o.Verb = verbStandby
	case s.shouldServe:
		s.serveOrder(&o)
	case s.loaded() && s.idle():
		s.idleOrder(&o)
	}
	return o
}

// idleOrder is the next order of an idle target on standby.
func (s *plan) idleOrder(o *messenger.Order) {
	if s.mayUpdate {
		s.versionOrder(o)
		return
	}
	o.Verb = verbUnload
}

// serveOrder is the next order of a target that should serve. Entries are kept off an
// engine that has not loaded the model, and another model is drained first.
func (s *plan) serveOrder(o *messenger.Order) {
	cold := s.rank() == cold
	switch {
	case cold && !s.target.Leaving:
		o.Verb = verbStandby
	case cold && !busy(s.target):
		o.Verb, o.Model, o.Version = verbLoad, s.service.spec.Model, s.service.model.Version
	case cold:
		return
	case s.lane != s.target.Lane:
		o.Verb, o.Lane = verbRole, s.lane
	case s.target.Leaving:
		o.Verb = verbActivate
	case s.mayUpdate:
		s.versionOrder(o)
	case s.engine():
		s.adapterOrder(o)
	}
}

func (s *plan) versionOrder(o *messenger.Order) {
	o.Verb, o.Model, o.Version = verbVersion, s.service.spec.Model, s.service.model.Version
}

// adapterOrder adds the first adapter that is missing, else removes one too many.
func (s *plan) adapterOrder(o *messenger.Order) {
	want, have := s.service.model.Adapters, s.target.Adapters
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
