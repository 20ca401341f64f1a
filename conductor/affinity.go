package conductor

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/chainer"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// countAffinity counts a request that is sent to a target where a part of its prompt is expected
// in the prefix cache.
func (cd *Conductor) countAffinity(p router.Pick) {
	if p.Cached > 0 {
		cd.meter.count("affinity.picked")
	}
}

// recordCached compares the cached tokens that a target reports with the expected ones. It
// ignores answers without a usage.
func (cd *Conductor) recordCached(r *chainer.Request, p router.Pick, u messenger.Usage) {
	if p.Hinted <= 0 || u.Prompt <= 0 {
		return
	}
	wrong := false
	c := cd.control
	c.do(func() { wrong = c.scheduler.RecordCached(c.cfg.Now(), p, u) })
	if p.Cached > 0 {
		cd.meter.cached(p.Cached, u.Cached)
	}
	if !wrong {
		return
	}
	cd.meter.count("affinity.wrong")
	cd.cfg.Log.WithFields(logrus.Fields{
		"request": r.CallerID, "id": r.ID, "target": p.Target.ID, "expected": p.Cached, "reported": u.Cached, "prompt": u.Prompt, "probability": p.Probability,
	}).Info("fewer tokens cached than expected")
}

// cached records expected and reported cached tokens, and their ratio in hundredths.
func (m *meter) cached(expected, reported int) {
	for name, v := range map[string]int{"expected": expected, "reported": reported, "ratio": 100 * reported / expected} {
		m.registry.GetOrRegister("entry.affinity."+name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		}).(metrics.Histogram).Update(int64(v))
	}
}
