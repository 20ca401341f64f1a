package applier_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// The seed is fixed so that each run has the same result. The flags -rapid.seed and
// -rapid.checks on the command line take precedence.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func drawChange(t *rapid.T) *applier.Command {
	base := rapid.Uint64Range(0, 6).Draw(t, "base")
	version := rapid.Uint64Range(0, 8).Draw(t, "version")
	body := rapid.IntRange(-1, 3).Draw(t, "body")
	return changeCommand(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")), base, version, limitsFolder(body))
}

func drawClaim(t *rapid.T) *applier.Command {
	owner := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner")
	s := messenger.State(rapid.IntRange(0, 4).Draw(t, "state"))
	c := claimCommand(owner, rapid.Uint64Range(1, 2).Draw(t, "digest"), s)
	c.Claim.Key = rapid.SampledFrom([]string{"k", "k", "k", "l"}).Draw(t, "key")
	return c
}

func drawCommand(t *rapid.T) *applier.Command {
	switch rapid.IntRange(0, 7).Draw(t, "verb") {
	case 5:
		return drawTargets(t)
	case 6:
		return drawAccusation(t)
	case 7:
		return drawPartsChange(t)
	case 0, 1:
		return drawChange(t)
	case 2:
		return drawClaim(t)
	case 3:
		return &applier.Command{Verb: applier.VerbFence, Target: rapid.SampledFrom([]string{"t", "u"}).Draw(t, "target")}
	default:
		return &applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
			Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"), Target: "t", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		}}
	}
}

func drawAccusation(t *rapid.T) *applier.Command {
	return &applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
		Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"), Target: "t", Incarnation: rapid.Uint64Range(1, 6).Draw(t, "incarnation"),
		Parts: rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 3).Draw(t, "parts"), Service: "s", Node: "e",
		Sound: time.Duration(rapid.IntRange(-1, 1).Draw(t, "sound")) * time.Second,
	}}
}

func drawPartsChange(t *rapid.T) *applier.Command {
	c := &applier.PartsChange{
		Seen:  rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 2).Draw(t, "seen"),
		Claim: rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 1).Draw(t, "claim"),
	}
	for _, id := range rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 2).Draw(t, "sound") {
		c.Sound = append(c.Sound, messenger.SoundPart{Part: id, Ago: time.Duration(rapid.IntRange(0, 3).Draw(t, "ago")) * time.Second})
	}
	return &applier.Command{Verb: applier.VerbParts, Parts: c}
}

func drawTargets(t *rapid.T) *applier.Command {
	id := rapid.SampledFrom([]string{"t", "u", "v"})
	known := messenger.Target{
		ID: id.Draw(t, "known"), Address: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "address"),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"), Leaving: rapid.Bool().Draw(t, "leaving"), Seq: 7,
	}
	return &applier.Command{Verb: applier.VerbTargets, Targets: &applier.Targets{
		Known: []messenger.Target{known}, Gone: rapid.SliceOfN(id, 0, 1).Draw(t, "gone"),
	}}
}

func drawStep(t *rapid.T) time.Duration {
	steps := []time.Duration{0, time.Second, -time.Second, applier.HoldTimeout, applier.DefaultRetention, applier.DefaultMaxRunTime}
	return rapid.SampledFrom(steps).Draw(t, "time")
}

// TestSnapshot restores snapshots taken at random points of the log and checks that the
// remaining commands give the same answers and the same state as without restoring.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var continuous, restored applier.Applier
		now := time.Unix(1000, 0)
		for i := uint64(1); i <= 40; i++ {
			now = now.Add(drawStep(t))
			data := drawCommand(t).Stamp(now)
			a, b := continuous.Apply(i, data), restored.Apply(i, data)
			if !bytes.Equal(a, b) {
				t.Fatalf("answers differ at index %d: %x and %x", i, a, b)
			}
			if !rapid.Bool().Draw(t, "snapshot") {
				continue
			}
			snapshot := restored.Snapshot()
			restored = applier.Applier{}
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(continuous.Snapshot(), restored.Snapshot()) {
				t.Fatalf("states differ at index %d", i)
			}
		}
	})
}

// changeChecker records the answers that operators have received.
type changeChecker struct {
	*log
	digests     map[uint64][]byte // digest by accepted version
	answers     map[string]uint64 // version by encoded command
	versions    map[string]uint64 // version by change id
	lastVersion uint64
}

// send applies a change and fails if its answer contradicts an earlier one.
func (r *changeChecker) send(t *rapid.T, c *applier.Command) {
	a := r.apply(c)
	sent := string(c.Stamp(time.Unix(0, 0)))
	if v, ok := r.answers[sent]; ok && (a.Code != coder.OK || a.Version != v) {
		t.Fatalf("resend of change %s: code %d, version %d; first answer: version %d", c.Change.ID, a.Code, a.Version, v)
	}
	if a.Code != coder.OK {
		return
	}
	r.answers[sent] = a.Version
	if v, ok := r.versions[a.Winner.Change]; ok && v != a.Winner.Version {
		t.Fatalf("change %s accepted as versions %d and %d", a.Winner.Change, v, a.Winner.Version)
	}
	r.versions[a.Winner.Change] = a.Winner.Version
	if d, ok := r.digests[a.Version]; ok && !bytes.Equal(d, c.Change.Digest) {
		t.Fatalf("version %d accepted with two digests", a.Version)
	}
	r.digests[a.Version] = c.Change.Digest
}

// checkView fails if the version in force fell or its digest is not the accepted one.
func (r *changeChecker) checkView(t *rapid.T) {
	v := r.applier.View()
	if v.Version < r.lastVersion || (v.Version > 0 && !bytes.Equal(v.Digest, r.digests[v.Version])) {
		t.Fatalf("version %d in force after version %d", v.Version, r.lastVersion)
	}
	r.lastVersion = v.Version
}

// TestVersions sends changes of concurrent operators, duplicated and reordered. It checks
// that the version in force never falls, that a version is accepted with one digest
// only, and that a resend gets the first answer.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := changeChecker{log: newLog(), digests: map[uint64][]byte{}, answers: map[string]uint64{}, versions: map[string]uint64{}}
		for range 60 {
			r.send(t, drawChange(t))
			r.checkView(t)
		}
	})
}

// grantedRun is a run that was allowed by a claim.
type grantedRun struct {
	owner string
	until time.Time // end of the longest run, or of the retention of its answer
	done  bool
}

// TestClaims sends claims of several owners in random order, delayed and duplicated. It
// checks that no second owner may run the request before the first owner voided its
// claim or the claim expired.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		runs := map[string]grantedRun{}
		latest := l.now
		for range 150 {
			if rapid.IntRange(0, 3).Draw(t, "pause") == 0 {
				l.now = l.now.Add(drawStep(t))
			}
			if l.now.After(latest) {
				latest = l.now
			}
			c := drawClaim(t)
			if l.apply(c).Claimed.Code == coder.OK {
				checkRuns(t, runs, c.Claim, latest)
			}
		}
	})
}

// checkRuns records a granted claim and fails if a second owner may run the request.
func checkRuns(t *rapid.T, runs map[string]grantedRun, c *messenger.Claim, now time.Time) {
	r, ok := runs[c.Key]
	switch {
	case c.State == messenger.ClaimVoid && r.owner == c.Owner:
		delete(runs, c.Key)
	case c.State == messenger.ClaimDone && !r.done:
		runs[c.Key] = grantedRun{c.Owner, now.Add(applier.DefaultRetention), true}
	case c.State != messenger.ClaimRun || (ok && r.owner == c.Owner):
	case ok && now.Before(r.until):
		t.Fatalf("owner %s may run while the claim of %s is valid", c.Owner, r.owner)
	default:
		runs[c.Key] = grantedRun{c.Owner, now.Add(applier.DefaultMaxRunTime), false}
	}
}
