package placer

import (
	"slices"

	"bramleyshunt/messenger"
)

// step is one target and what is wanted of it.
type step struct {
	service *service
	target  *messenger.Target
	lane    string
	wanted  bool // to serve
	rolls   bool // may change its model version now
}

// engine reports whether the target has weights to load.
func (s *step) engine() bool { return s.service.spec.Kind != "plain" }

func (s *step) loaded() bool {
	return s.engine() && !s.target.Empty && s.target.Model == s.service.spec.Model
}

// outdated reports whether another than the configured version is loaded. An
// engine that does not tell its version is left alone.
func (s *step) outdated() bool {
	return s.loaded() && s.target.Version != "" && s.target.Version != s.service.model.Version
}

// serves reports whether the target takes requests.
func (s *step) serves() bool {
	return !s.target.Leaving && (!s.engine() || s.loaded())
}

// rank tells how soon a target can serve.
type rank int

const (
	serving rank = iota
	warm         // loaded, on standby
	cold
)

func (s *step) rank() rank {
	switch {
	case s.serves():
		return serving
	case !s.engine() || s.loaded():
		return warm
	default:
		return cold
	}
}

// resting reports whether the target is on standby without work.
func (s *step) resting() bool { return !s.wanted && s.target.Standby && !busy(s.target) }

// order returns the next order of the target; its verb is empty if none is due.
func (s *step) order() messenger.Order {
	o := messenger.Order{Target: s.target.ID}
	switch {
	case !s.wanted && !s.target.Leaving:
		o.Verb = verbStandby
	case s.wanted:
		s.raise(&o)
	case s.loaded() && s.resting():
		s.rest(&o)
	}
	return o
}

// rest is the next order of an idle target on standby.
func (s *step) rest(o *messenger.Order) {
	if s.rolls {
		s.version(o)
		return
	}
	o.Verb = verbUnload
}

// raise is the next order of a target that should serve. Entries are kept off an
// engine that has not loaded the model, and another model is drained first.
func (s *step) raise(o *messenger.Order) {
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
	case s.rolls:
		s.version(o)
	case s.engine():
		s.adapters(o)
	}
}

func (s *step) version(o *messenger.Order) {
	o.Verb, o.Model, o.Version = verbVersion, s.service.spec.Model, s.service.model.Version
}

// adapters adds the first adapter that is missing, else removes one too many.
func (s *step) adapters(o *messenger.Order) {
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
