package applier

import (
	"maps"
	"slices"

	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// MaxEvacuated is the largest number of evacuated zones; further ones are refused.
const MaxEvacuated = 64

// EvacuationOrder starts or ends the evacuation of an availability zone. It has no version:
// the order in the log decides.
type EvacuationOrder struct {
	Zone     string `msgpack:"zone"`
	Operator string `msgpack:"operator"`
	End      bool   `msgpack:"end,omitempty"`
}

// EvacuationResult is what an accepted EvacuationOrder has found.
type EvacuationResult struct {
	// Evacuation is the one in force after a start, or the one that was ended. It is the zero
	// value if there was none to end.
	Evacuation messenger.Evacuation `msgpack:"evacuation"`
	Repeated   bool                 `msgpack:"repeated,omitempty"` // the zone was already evacuated, or not evacuated
}

// evacuations holds the evacuated zones.
type evacuations struct {
	byZone map[string]messenger.Evacuation
	index  uint64 // of the last accepted order
}

// order applies an EvacuationOrder. A repeated order is accepted and leaves operator and time
// of the first one.
func (e *evacuations) order(ac applyContext, o *EvacuationOrder) *Answer {
	if !checker.IsName(o.Zone) || len(o.Operator) > maxIDBytes {
		return &Answer{Code: coder.Malformed, Text: "invalid name of a zone or an operator"}
	}
	old, evacuated := e.byZone[o.Zone]
	result := &EvacuationResult{Evacuation: old, Repeated: evacuated != o.End}
	switch {
	case result.Repeated:
	case o.End:
		delete(e.byZone, o.Zone)
	case len(e.byZone) >= MaxEvacuated:
		return &Answer{Code: coder.Conflict, Text: "too many zones are evacuated"}
	default:
		if e.byZone == nil {
			e.byZone = map[string]messenger.Evacuation{}
		}
		result.Evacuation = messenger.Evacuation{Zone: o.Zone, Operator: o.Operator, Since: ac.now.UnixNano()}
		e.byZone[o.Zone] = result.Evacuation
	}
	e.index = ac.index
	return &Answer{Evacuation: result}
}

// list returns the evacuated zones, sorted.
func (e *evacuations) list() *messenger.Evacuated {
	out := &messenger.Evacuated{Index: e.index}
	for _, zone := range slices.Sorted(maps.Keys(e.byZone)) {
		out.Zones = append(out.Zones, e.byZone[zone])
	}
	return out
}

// state returns the encoded form, nil before the first order.
func (e *evacuations) state() *messenger.Evacuated {
	if e.index == 0 {
		return nil
	}
	return e.list()
}

// restore replaces the zones by those of a snapshot. A snapshot of a build without them has nil.
func (e *evacuations) restore(s *messenger.Evacuated) {
	*e = evacuations{}
	if s == nil {
		return
	}
	e.index, e.byZone = s.Index, make(map[string]messenger.Evacuation, len(s.Zones))
	for _, z := range s.Zones {
		e.byZone[z.Zone] = z
	}
}

// Evacuated returns the evacuated availability zones.
func (a *Applier) Evacuated() *messenger.Evacuated {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.evacuations.list()
}
