package messenger

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

// Mark marks the targets of evacuated zones as leaving, and returns the slice. None of them
// counts as on standby, from which a controller could activate it.
func (e *Evacuated) Mark(targets []Target) []Target {
	if e == nil || len(e.Zones) == 0 {
		return targets
	}
	for i := range targets {
		if t := &targets[i]; e.Find(t.Zone) != nil {
			t.Leaving, t.Standby = true, false
		}
	}
	return targets
}
