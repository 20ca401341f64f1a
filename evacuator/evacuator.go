// Package evacuator passes operators' orders to evacuate an availability zone to the keepers'
// replicated log.
package evacuator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/sharer"
)

// Evacuator accepts orders at one keeper. Call and Evacuated must be set.
type Evacuator struct {
	Call      func(ctx context.Context, kind messenger.Kind, v, out any) error // calls the leading keeper
	Evacuated func() *messenger.Evacuated                                      // as this keeper knows them
	Targets   func() []messenger.Target                                        // announced to this keeper; none if nil
	Log       *logrus.Entry                                                    // none if nil
}

// Order starts or ends the evacuation of an availability zone.
type Order struct {
	Zone     string
	Operator string
	End      bool
	// Known refuses the start for a zone in which no target is known and that is not
	// evacuated. Otherwise such a zone is logged: its targets may not have announced
	// themselves yet.
	Known bool
}

// Accepted is the result of an order that a quorum has on disk.
type Accepted struct {
	applier.EvacuationResult
	Index   uint64 // of the order in the log
	Targets int    // known in the zone
}

// Do returns once a quorum has the order on disk. It fails with Malformed for an invalid zone
// name, NotFound for an unknown zone, and Conflict if too many zones are evacuated. After
// any other error the order may have been accepted; repeating it does no harm.
func (e *Evacuator) Do(ctx context.Context, o Order) (*Accepted, error) {
	if !checker.IsName(o.Zone) {
		return nil, coder.Errorf(coder.Malformed, "%.80q is no name of an availability zone: want a letter or digit and up to 62 letters, digits, '.', '_' or '-'", o.Zone)
	}
	n := e.countTargets(o.Zone)
	if n == 0 && !o.End && e.Evacuated().Find(o.Zone) == nil {
		if o.Known {
			return nil, coder.Errorf(coder.NotFound, "no target in availability zone %q is announced to this keeper", o.Zone)
		}
		log := e.Log
		defaulter.Fill(&log, new(metrics.Registry), new(func() time.Time))
		log.WithFields(logrus.Fields{"zone": o.Zone, "operator": o.Operator}).Warn("evacuation of a zone without known targets")
	}
	out, err := e.propose(ctx, &applier.EvacuationOrder{Zone: o.Zone, Operator: o.Operator, End: o.End})
	if err != nil {
		return nil, err
	}
	out.Targets = n
	return out, nil
}

func (e *Evacuator) propose(ctx context.Context, o *applier.EvacuationOrder) (*Accepted, error) {
	cmd := &applier.Command{Verb: applier.VerbEvacuate, Evacuation: o}
	var out messenger.Proposed
	if err := e.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: cmd.Encode()}, &out); err != nil {
		return nil, err
	}
	a, err := applier.DecodeAnswer(out.Data)
	if err != nil {
		return nil, err
	}
	if a.Code == coder.BadFrame || a.Code == coder.OK && a.Evacuation == nil {
		return nil, coder.Errorf(coder.NotReady, "the leading keeper is of a build that doesn't know evacuations")
	}
	if err := a.Err(); err != nil {
		return nil, err
	}
	return &Accepted{EvacuationResult: *a.Evacuation, Index: out.Index}, nil
}

// countTargets returns the number of known targets in a zone. Entries announce themselves too,
// but are no targets.
func (e *Evacuator) countTargets(zone string) (n int) {
	if e.Targets == nil {
		return 0
	}
	for _, t := range e.Targets() {
		if t.Zone == zone && t.Service != sharer.ServiceEntries {
			n++
		}
	}
	return n
}
