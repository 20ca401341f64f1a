package watcher

import (
	"reflect"

	"bramleyshunt/messenger"
)

// applyEvacuated adopts the evacuated zones of an update and reports whether they have changed.
// A keeper that lags, as one that has just started, may list those before the last order: a
// list of a lower log index is ignored, so that a change of keeper doesn't return a zone. A
// keeper of a build without evacuations sends none, which ends none.
func (s *state) applyEvacuated(u *messenger.Update) bool {
	if u.Evacuated == nil || reflect.DeepEqual(u.Evacuated, s.evacuated) {
		return false
	}
	if s.evacuated != nil && u.Evacuated.Index < s.evacuated.Index {
		return false
	}
	s.evacuated = u.Evacuated
	return true
}
