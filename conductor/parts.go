package conductor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// goneOnEvents is the number of events of one attempt after which the answer of a stream
// has gone on: a target that crashes under a part ends before.
const goneOnEvents = 2

// recordSound records that the answer to a request went on.
func (cd *Conductor) recordSound(r *chainer.Request) {
	cd.reportSound(cd.parts.record(cd.cfg.Now(), r.Service, r.Parts))
}

// adoptIsolated adopts the listed parts of a new view. It runs on the control goroutine.
func (cd *Conductor) adoptIsolated(v *messenger.Isolated) {
	old, sound := cd.parts.adopt(cd.cfg.Now(), v)
	cd.reportSound(sound)
	for _, g := range groupsWithout(v, old) {
		cd.groupLog(&g).Info("parts isolated")
	}
	for _, g := range groupsWithout(old, v) {
		cd.groupLog(&g).Info("parts no longer isolated")
	}
}

// groupsWithout returns the groups of v that o does not have.
func groupsWithout(v, o *messenger.Isolated) []messenger.PartGroup {
	if v == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(v.Groups), func(g messenger.PartGroup) bool {
		return o != nil && slices.ContainsFunc(o.Groups, func(h messenger.PartGroup) bool { return slices.Equal(g.Parts, h.Parts) })
	})
}

func (cd *Conductor) groupLog(g *messenger.PartGroup) *logrus.Entry {
	return cd.cfg.Log.WithFields(logrus.Fields{"parts": isolator.FormatParts(g.Parts), "crashes": g.Crashes, "until": time.Unix(0, g.Until)})
}

// reportSound reports parts to the keepers that accuse them of crashes.
func (cd *Conductor) reportSound(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	cd.meter.count("parts.sound")
	cd.cfg.Log.WithField("parts", isolator.FormatParts(parts)).Info("suspected parts are answered, reporting")
	cd.proposeParts(func() *applier.PartsChange {
		return &applier.PartsChange{Sound: cd.parts.sinceParts(cd.cfg.Now(), parts)}
	})
}

// proposeParts sends a change to the leading keeper. Each attempt makes the change anew, as
// the times in it pass.
func (cd *Conductor) proposeParts(change func() *applier.PartsChange) {
	if cd.cfg.Call == nil {
		return
	}
	cd.retryInBackground(func(ctx context.Context) error {
		var out messenger.Proposed
		c := &applier.Command{Verb: applier.VerbParts, Parts: change()}
		return cd.cfg.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out)
	})
}

// admitParts refuses a new request whose parts are isolated, unless the keepers grant this
// entry to send it to find out whether they are.
func (cd *Conductor) admitParts(ctx context.Context, r *chainer.Request) error {
	if g := cd.claimableGroup(r); g != nil && cd.claimTrial(ctx, g) && cd.matchesOnly(r, g) {
		r.Trial, r.TrialBy = true, cd.cfg.Now().Add(isolator.SendWait)
		cd.meter.count("parts.trial")
		cd.groupLog(g).WithFields(logrus.Fields{"request": r.CallerID, "id": r.ID}).Info("isolated parts tried once more")
	}
	return cd.checkParts(r)
}

// checkParts returns the error to refuse a request with whose parts are isolated.
func (cd *Conductor) checkParts(r *chainer.Request) error {
	g := cd.isolatedGroup(r)
	if g == nil || r.Trial && !cd.cfg.Now().After(r.TrialBy) {
		return nil
	}
	cd.meter.count("parts.refused")
	cd.reportSeen(r, g)
	return coder.Errorf(coder.PartQuarantined, "parts %v until %s, %d crashes", isolator.FormatParts(g.Parts), time.Unix(0, g.Until).Format(time.RFC3339), g.Crashes)
}

func (cd *Conductor) isolatedGroup(r *chainer.Request) *messenger.PartGroup {
	v := cd.cfg.View()
	if v == nil || len(r.Parts) == 0 {
		return nil
	}
	return isolator.Match(v.Isolated, r.Parts)
}

// reportSeen extends an isolation of which a quarter has passed, as a request was refused.
func (cd *Conductor) reportSeen(r *chainer.Request, g *messenger.PartGroup) {
	lasts, now := seconds(r.Config.Limits.QuarantineTime, applier.DefaultQuarantine), cd.cfg.Now()
	if time.Unix(0, g.Until).Sub(now) > lasts-lasts/4 || !cd.parts.isSeenDue(now, g) {
		return
	}
	cd.proposeParts(func() *applier.PartsChange { return &applier.PartsChange{Seen: g.Parts} })
}

// recordEvents records that the answer of an attempt went on, once enough events of it have
// reached the caller.
func (x *execution) recordEvents(a *attempt) {
	if !x.goneOn && x.goneOnAt(a) {
		x.recordGoneOn(a)
	}
}

// goneOnAt reports whether the answer of an attempt has gone on after its start. A request that
// crashes targets does so before.
func (x *execution) goneOnAt(a *attempt) bool {
	return x.owner == a && x.events()-a.events >= goneOnEvents
}

func (x *execution) recordGoneOn(a *attempt) {
	if x.goneOn || a.status >= http.StatusMultipleChoices {
		return
	}
	x.goneOn = true
	x.cd.recordSound(x.r)
}

// events returns the number of events that the caller has received.
func (x *execution) events() int {
	if x.r.Answer.Events == nil {
		return 0
	}
	return x.r.Answer.Events()
}

// accusedParts returns the parts that may have crashed the target of an attempt, and logs
// them.
func (x *execution) accusedParts(a *attempt) []uint64 {
	if len(x.r.Parts) == 0 {
		return nil
	}
	var parts []uint64
	if !x.goneOn {
		parts = x.cd.parts.accused(x.r.Parts, a.sentAt)
	}
	x.cd.meter.count("parts.accused")
	x.cd.cfg.Log.WithFields(logrus.Fields{
		"request": x.r.CallerID, "id": x.r.ID, "target": a.pick.Target.ID, "incarnation": a.pick.Target.Incarnation, "service": x.r.Service,
		"begun": x.gotChunk, "goneon": x.goneOn, "parts": isolator.FormatParts(x.r.Parts), "accused": isolator.FormatParts(parts),
	}).Info("target lost under a request")
	return parts
}
