package publisher

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
	"bramleyshunt/sleeper"
)

// isolated returns the isolated parts of prompts, and logs how they differ from old. If
// nothing differs it returns old.
func (p *Publisher) isolated(old *messenger.Isolated) *messenger.Isolated {
	now := p.cfg.Now()
	next := p.cfg.Applier.Isolated(now)
	if reflect.DeepEqual(old, next) {
		return old
	}
	for _, g := range next.Groups {
		if !hasGroup(old.Groups, g) {
			p.count("publisher.parts.isolated")
			p.groupLog(g).Warn("parts isolated: targets crash under requests that have them all")
		}
	}
	for _, g := range old.Groups {
		if !hasGroup(next.Groups, g) {
			p.count("publisher.parts.freed")
			p.groupLog(g).WithField("expired", g.Until <= now.UnixNano()).Info("parts no longer isolated")
		}
	}
	return next
}

// hasGroup reports whether a group with the same parts is in the list.
func hasGroup(list []messenger.PartGroup, g messenger.PartGroup) bool {
	return slices.ContainsFunc(list, func(o messenger.PartGroup) bool { return slices.Equal(o.Parts, g.Parts) })
}

func (p *Publisher) groupLog(g messenger.PartGroup) *logrus.Entry {
	return p.cfg.Log.WithFields(logrus.Fields{"parts": isolator.FormatParts(g.Parts), "crashes": g.Crashes, "trial": g.Trial, "until": time.Unix(0, g.Until)})
}

// settleParts proposes the isolation of the parts that become due by the passing of time.
func (p *Publisher) settleParts() {
	if !p.cfg.Applier.PartsPending() || p.settling.Swap(true) {
		return
	}
	p.wg.Go(func() {
		for pending := true; pending; pending = p.cfg.Applier.PartsPending() {
			if sleeper.Sleep(p.ctx, isolator.MinWait) != nil {
				break
			}
			ctx, cancel := context.WithTimeout(p.ctx, recordTimeout)
			_, _, err := p.proposeCommand(ctx, &applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{}})
			cancel()
			if err != nil {
				p.cfg.Log.WithError(err).Info("due parts not isolated, the next report does it")
				break
			}
		}
		p.settling.Store(false)
	})
}

// logAccused logs the parts of a report and the crashes that they are accused of by now.
func (p *Publisher) logAccused(s *messenger.Suspect) {
	if s.Service == "" {
		return
	}
	p.count("publisher.parts.accused")
	p.cfg.Log.WithFields(logrus.Fields{
		"parts": isolator.FormatParts(s.Parts), "crashes": p.cfg.Applier.PartCrashes(s.Parts), "target": s.Target, "incarnation": s.Incarnation,
		"service": s.Service, "entry": s.Node, "fingerprint": fmt.Sprintf("%016x", s.Fingerprint), "sound": s.Sound.Milliseconds(),
	}).Info("crash counted for parts of a prompt")
}

// logPartsChange logs the parts that were found sound or are still requested, and claims of
// trials with their outcome.
func (p *Publisher) logPartsChange(c *applier.PartsChange, a *applier.Answer) {
	if len(c.Claim) > 0 {
		p.count("publisher.parts.claims")
		if a.Granted {
			p.count("publisher.parts.granted")
		}
		p.cfg.Log.WithFields(logrus.Fields{"parts": isolator.FormatParts(c.Claim), "entry": c.Node, "granted": a.Granted}).Info("trial of isolated parts claimed")
	}
	for _, s := range c.Sound {
		p.count("publisher.parts.sound")
		p.cfg.Log.WithFields(logrus.Fields{
			"parts": isolator.FormatParts([]uint64{s.Part}), "ago": s.Ago.Milliseconds(), "crashes": p.cfg.Applier.PartCrashes([]uint64{s.Part}),
		}).Info("part of a prompt was answered")
	}
	if len(c.Seen) > 0 {
		p.cfg.Log.WithField("parts", isolator.FormatParts(c.Seen)).Info("isolation of parts extended: requests still arrive")
	}
}
