package publisher

import (
	"reflect"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
)

// evacuated returns the evacuated zones, and logs how they differ from old. If nothing
// differs it returns old.
func (p *Publisher) evacuated(old *messenger.Evacuated) *messenger.Evacuated {
	next := p.cfg.Applier.Evacuated()
	metrics.GetOrRegisterGauge("publisher.evacuated", p.cfg.Metrics).Update(int64(len(next.Zones)))
	if reflect.DeepEqual(old, next) {
		return old
	}
	for _, z := range next.Zones {
		if old.Find(z.Zone) == nil {
			p.evacuationLog(z, next.Index).Info("evacuation of a zone published")
		}
	}
	for _, z := range old.Zones {
		if next.Find(z.Zone) == nil {
			p.evacuationLog(z, next.Index).Info("end of the evacuation of a zone published")
		}
	}
	return next
}

// evacuationLog returns the log entry for an evacuation as of a log index.
func (p *Publisher) evacuationLog(z messenger.Evacuation, index uint64) *logrus.Entry {
	return p.cfg.Log.WithFields(logrus.Fields{"zone": z.Zone, "operator": z.Operator, "since": time.Unix(0, z.Since).UTC(), "index": index})
}

// logEvacuationOrder counts and logs an order that was proposed here, and its answer.
func (p *Publisher) logEvacuationOrder(o *applier.EvacuationOrder, index uint64, a *applier.Answer) {
	kind := "start"
	if o.End {
		kind = "end"
	}
	log := p.cfg.Log.WithFields(logrus.Fields{"zone": o.Zone, "operator": o.Operator, "index": index, "kind": kind})
	if a.Evacuation == nil {
		p.count("publisher.evacuation.refused")
		log.WithError(a.Err()).Warn("evacuation order refused")
		return
	}
	p.count("publisher.evacuation." + kind)
	if a.Evacuation.Repeated {
		p.count("publisher.evacuation.repeated")
		log.Info("evacuation order repeated")
		return
	}
	log.Info("evacuation order accepted")
}
