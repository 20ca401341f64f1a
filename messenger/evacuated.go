package messenger

import "slices"

// Evacuated lists the evacuated availability zones. Nothing more is sent to their targets.
type Evacuated struct {
	Zones []Evacuation `msgpack:"zones" json:"zones"` // sorted by zone
	// Index is the log index of the last order. It tells the more recent one of two lists,
	// as orders carry no version.
	Index uint64 `msgpack:"index" json:"index"`
}

// Evacuation is the evacuation of one availability zone.
type Evacuation struct {
	Zone     string `msgpack:"zone" json:"zone"`
	Operator string `msgpack:"operator" json:"operator"` // who ordered it
	Since    int64  `msgpack:"since" json:"since"`       // of the first order, nanoseconds since the Unix epoch
}

// Find returns the evacuation of a zone, nil if the zone is not evacuated.
func (e *Evacuated) Find(zone string) *Evacuation {
	if e == nil || zone == "" {
		return nil
	}
	for i := range e.Zones {
		if e.Zones[i].Zone == zone {
			return &e.Zones[i]
		}
	}
	return nil
}

// Mark returns the targets with those of evacuated zones marked as leaving. Neither a
// standby nor MayReturn ends that. It changes no target of the given slice.
func (e *Evacuated) Mark(targets []Target) []Target {
	if e == nil || len(e.Zones) == 0 {
		return targets
	}
	out := slices.Clone(targets)
	for i := range out {
		if e.Find(out[i].Zone) != nil {
			out[i].Leaving, out[i].Standby = true, false
		}
	}
	return out
}
