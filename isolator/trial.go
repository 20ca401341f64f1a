package isolator

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	// maxTrials is the largest number of trials of a doubtful group: the first one may end
	// with a target that another part crashes. Other groups are tried once.
	maxTrials = 2
	// ClaimWait is the longest time that a request waits for the grant of its trial.
	ClaimWait = 400 * time.Millisecond
	// SendWait is the longest time from the grant of a trial until its request is sent.
	SendWait = 400 * time.Millisecond
	// TrialTime is the time from the grant of a trial after which another one may be granted.
	// The request has been sent by then, and a crash that it causes has usually been reported.
	TrialTime = 2 * time.Second
)

// Claim grants an entry to send one request with an isolated group, to find out whether it
// still crashes targets. At most one trial of a group is in progress at a time, and the
// number of trials is limited.
func (i *Isolator) Claim(now time.Time, parts []uint64) bool {
	groups := i.Isolated(now).Groups
	n := slices.IndexFunc(groups, func(g messenger.PartGroup) bool { return slices.Equal(g.Parts, parts) })
	if n < 0 || !IsClaimable(&groups[n], now) {
		return false
	}
	trials := 0
	for _, id := range parts {
		trials = max(trials, i.parts[id].Trials)
	}
	for _, id := range parts {
		p := i.parts[id]
		p.Trials, p.TrialAt = trials+1, now.UnixNano()
	}
	return true
}

// IsClaimable reports whether a trial of a group may be claimed.
func IsClaimable(g *messenger.PartGroup, now time.Time) bool {
	at := now.UnixNano()
	return g.Claim > 0 && g.Claim <= at && (g.ClaimEnd == 0 || at < g.ClaimEnd)
}

// setClaim sets when the next trial of a group may be claimed.
func (i *Isolator) setClaim(g *messenger.PartGroup) {
	var since, last int64
	trials := 0
	for _, id := range g.Parts {
		p := i.parts[id]
		since, last, trials = max(since, p.Since), max(last, p.TrialAt), max(trials, p.Trials)
	}
	switch {
	case since == 0: // isolated by a build that does not record it
	case trials == 0:
		g.Claim = since + int64(TrialDelay)
		if !g.Doubtful {
			g.ClaimEnd = since + int64(TrialEnd)
		}
	case trials < maxTrials && g.Doubtful:
		g.Claim = max(since+int64(SecondTrialDelay), last+int64(TrialTime))
	}
}

// Match returns a group that holds a request with the given parts back, nil if there is
// none: a group whose parts the request all has.
func Match(v *messenger.Isolated, parts []uint64) *messenger.PartGroup {
	if all := MatchAll(v, parts); len(all) > 0 {
		return all[0]
	}
	return nil
}

// MatchAll returns all groups that hold a request with the given parts back.
func MatchAll(v *messenger.Isolated, parts []uint64) []*messenger.PartGroup {
	if v == nil || len(parts) == 0 {
		return nil
	}
	var out []*messenger.PartGroup
	for n := range v.Groups {
		g := &v.Groups[n]
		if !slices.ContainsFunc(g.Parts, func(id uint64) bool { return !slices.Contains(parts, id) }) {
			out = append(out, g)
		}
	}
	return out
}
