package administrator

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/evacuator"
	"bramleyshunt/messenger"
)

// Evacuation describes the evacuation of an availability zone.
type Evacuation struct {
	Zone     string    `json:"zone"`
	Operator string    `json:"operator"` // who ordered it
	Since    time.Time `json:"since"`    // of the first order
}

func newEvacuation(z messenger.Evacuation) Evacuation {
	return Evacuation{Zone: z.Zone, Operator: z.Operator, Since: time.Unix(0, z.Since).UTC()}
}

// Evacuated is the body of a response to POST /v1/evacuations/:zone/start and /end.
type Evacuated struct {
	Zone       string      `json:"zone"`
	Evacuated  bool        `json:"evacuated"`            // now
	Repeated   bool        `json:"repeated"`             // it already was so
	Evacuation *Evacuation `json:"evacuation,omitempty"` // the one in force, or the one that has ended
	Index      uint64      `json:"index"`                // of the order in the keepers' log
	Targets    int         `json:"targets"`              // known in the zone
}

// evacuate returns the handler that starts or ends the evacuation of an availability zone. The
// query parameter force=true starts one for a zone in which no target is known.
func (a *Administrator) evacuate(end bool) func(*request) (any, error) {
	return func(r *request) (any, error) {
		force := r.r.URL.Query().Get("force")
		if force != "" && force != "true" && force != "false" {
			return nil, coder.Errorf(coder.Malformed, "force: want true or false, found %.20q", force)
		}
		e := evacuator.Evacuator{Call: a.cfg.Call, Evacuated: a.cfg.Applier.Evacuated, Targets: a.cfg.Targets, Log: a.cfg.Log}
		o := evacuator.Order{Zone: r.params.ByName("zone"), Operator: r.operator, End: end, Known: force != "true"}
		got, err := e.Do(r.ctx, o)
		if err != nil {
			return nil, err
		}
		out := Evacuated{Zone: o.Zone, Evacuated: !end, Repeated: got.Repeated, Index: got.Index, Targets: got.Targets}
		if got.Evacuation.Zone != "" {
			z := newEvacuation(got.Evacuation)
			out.Evacuation = &z
		}
		return out, nil
	}
}
