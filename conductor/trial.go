package conductor

import (
	"context"
	"slices"

	"bramleyshunt/applier"
	"bramleyshunt/chainer"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// claimableGroup returns the isolated group that a request may be a trial of, nil if there is
// none. A request that several groups hold back shows nothing of any of them.
func (cd *Conductor) claimableGroup(r *chainer.Request) *messenger.PartGroup {
	groups := cd.isolatedGroups(r)
	if cd.cfg.Call == nil || len(groups) != 1 || !isolator.IsClaimable(groups[0], cd.cfg.Now()) {
		return nil
	}
	return groups[0]
}

func (cd *Conductor) isolatedGroups(r *chainer.Request) []*messenger.PartGroup {
	v := cd.cfg.View()
	if v == nil {
		return nil
	}
	return isolator.MatchAll(v.Isolated, r.Parts)
}

// matchesOnly reports whether no group but g holds a request back by now.
func (cd *Conductor) matchesOnly(r *chainer.Request, g *messenger.PartGroup) bool {
	return !slices.ContainsFunc(cd.isolatedGroups(r), func(o *messenger.PartGroup) bool { return !slices.Equal(o.Parts, g.Parts) })
}

// claimTrial asks the leading keeper to let this entry send one request with an isolated
// group, and reports whether it was granted within isolator.ClaimWait. A grant that comes
// later is not used, and the trial is lost.
func (cd *Conductor) claimTrial(ctx context.Context, g *messenger.PartGroup) bool {
	if !cd.parts.beginClaim(g) {
		return false
	}
	defer cd.parts.endClaim(g)
	start := cd.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, isolator.ClaimWait)
	defer cancel()
	c := &applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{Claim: g.Parts, Node: cd.cfg.Settings.Node}}
	var out messenger.Proposed
	err := cd.cfg.Call(ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out)
	took := cd.cfg.Now().Sub(start)
	if err == nil {
		var a *applier.Answer
		if a, err = applier.DecodeAnswer(out.Data); err == nil && a.Granted && took <= isolator.ClaimWait {
			return true
		}
	}
	cd.meter.count("parts.claim.refused")
	cd.groupLog(g).WithError(err).WithField("took", took.Milliseconds()).Info("trial of isolated parts not granted")
	return false
}

// beginClaim reports whether no request of this process waits for the grant of a trial of a
// group.
func (m *partMemory) beginClaim(g *messenger.PartGroup) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claiming[g.Parts[0]] {
		return false
	}
	m.claiming[g.Parts[0]] = true
	return true
}

func (m *partMemory) endClaim(g *messenger.PartGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claiming, g.Parts[0])
}
