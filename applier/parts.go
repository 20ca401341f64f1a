package applier

import (
	"time"

	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// PartsChange reports on parts of prompts that are accused of crashes. An empty one isolates
// the parts that are due by its time.
type PartsChange struct {
	Sound []messenger.SoundPart `msgpack:"sound,omitempty"` // parts that were answered
	Seen  []uint64              `msgpack:"seen,omitempty"`  // isolated parts with which requests still arrive
	Claim []uint64              `msgpack:"claim,omitempty"` // group with which the sender wants to send one more request
	Node  string                `msgpack:"node,omitempty"`  // sender of a claim
}

// accuseParts counts a crash for the parts of a report, and reports whether the result of
// Isolated has changed.
func (a *Applier) accuseParts(ac applyContext, r *messenger.Suspect) bool {
	if r.Service == "" {
		return false
	}
	return a.parts.Report(ac.now, ac.quarantine(), isolator.Report{
		Node: r.Node, Service: r.Service, Parts: r.Parts, Request: r.Fingerprint, Target: r.Target, Incarnation: r.Incarnation, Sound: r.Sound,
	})
}

// changeParts applies a PartsChange, and reports whether the result of Isolated has changed.
func (a *Applier) changeParts(ac applyContext, c *PartsChange) bool {
	changed := false
	for _, s := range c.Sound {
		changed = a.parts.Sound(ac.now, s.Part, s.Ago) || changed
	}
	for _, id := range c.Seen {
		changed = a.parts.Seen(ac.now, ac.quarantine(), id) || changed
	}
	return a.parts.Settle(ac.now, ac.quarantine()) || changed
}

// PartsPending reports whether parts may be isolated by the passing of time.
func (a *Applier) PartsPending() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.parts.Pending(time.Unix(0, a.now))
}

// Isolated returns the isolated parts of prompts and those under suspicion.
func (a *Applier) Isolated(now time.Time) *messenger.Isolated {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.parts.Isolated(now)
}

// PartCrashes returns the number of crashes that each of the parts is accused of.
func (a *Applier) PartCrashes(parts []uint64) []int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]int, len(parts))
	for i, id := range parts {
		out[i] = a.parts.Crashes(id)
	}
	return out
}
