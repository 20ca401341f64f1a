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

// The seed is fixed so that each run has the same verdict; -rapid.seed and
// -rapid.checks on the command line go before it.
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
	return change(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")), base, version, folder(body))
}

func drawClaim(t *rapid.T) *applier.Command {
	owner := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner")
	s := messenger.State(rapid.IntRange(0, 4).Draw(t, "state"))
	c := claim(owner, rapid.Uint64Range(1, 2).Draw(t, "digest"), s)
	c.Claim.Key = rapid.SampledFrom([]string{"k", "k", "k", "l"}).Draw(t, "key")
	return c
}

func drawCommand(t *rapid.T) *applier.Command {
	switch rapid.IntRange(0, 4).Draw(t, "verb") {
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

func drawStep(t *rapid.T) time.Duration {
	steps := []time.Duration{0, time.Second, -time.Second, applier.HeldTime, applier.DefaultKept, applier.DefaultLongest}
	return rapid.SampledFrom(steps).Draw(t, "time")
}

// TestSnapshot restores a snapshot taken at any point and checks that the rest
// of the log gives the same answers and the same state as without it.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole, cut applier.Applier
		now := time.Unix(1000, 0)
		for i := uint64(1); i <= 40; i++ {
			now = now.Add(drawStep(t))
			data := drawCommand(t).Stamp(now)
			a, b := whole.Apply(i, data), cut.Apply(i, data)
			if !bytes.Equal(a, b) {
				t.Fatalf("answers differ at %d: %x and %x", i, a, b)
			}
			if !rapid.Bool().Draw(t, "snapshot") {
				continue
			}
			image := cut.Snapshot()
			cut = applier.Applier{}
			if err := cut.Restore(image); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(whole.Snapshot(), cut.Snapshot()) {
				t.Fatalf("states differ at %d", i)
			}
		}
	})
}

// race is what operators have been told so far.
type race struct {
	*log
	won     map[uint64][]byte // digest by version
	answers map[string]uint64 // version by change, as sent
	ids     map[string]uint64 // version by change id
	before  uint64
}

// send applies a change and fails if its answer contradicts an earlier one.
func (r *race) send(t *rapid.T, c *applier.Command) {
	a := r.apply(c)
	sent := string(c.Stamp(time.Unix(0, 0)))
	if v, ok := r.answers[sent]; ok && (a.Code != coder.OK || a.Version != v) {
		t.Fatalf("resend of %s got %d %d, first %d", c.Change.ID, a.Code, a.Version, v)
	}
	if a.Code != coder.OK {
		return
	}
	r.answers[sent] = a.Version
	if v, ok := r.ids[a.Winner.Change]; ok && v != a.Winner.Version {
		t.Fatalf("change %s accepted as versions %d and %d", a.Winner.Change, v, a.Winner.Version)
	}
	r.ids[a.Winner.Change] = a.Winner.Version
	if d, ok := r.won[a.Version]; ok && !bytes.Equal(d, c.Change.Digest) {
		t.Fatalf("version %d accepted with two digests", a.Version)
	}
	r.won[a.Version] = c.Change.Digest
}

// check fails if the version in force fell or is not the one accepted.
func (r *race) check(t *rapid.T) {
	v := r.applier.View()
	if v.Version < r.before || (v.Version > 0 && !bytes.Equal(v.Digest, r.won[v.Version])) {
		t.Fatalf("version %d after %d", v.Version, r.before)
	}
	r.before = v.Version
}

// TestVersions races operators whose changes are doubled and reordered: the
// version in force never falls, a version is accepted with one digest only, and
// a resend gets the first answer.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := race{log: newLog(), won: map[uint64][]byte{}, answers: map[string]uint64{}, ids: map[string]uint64{}}
		for range 60 {
			r.send(t, drawChange(t))
			r.check(t)
		}
	})
}

// run is a run that a claim allowed.
type run struct {
	owner string
	until time.Time // it may last, or its answer is kept
	done  bool
}

// TestClaims lets owners ask in any order, late and twice, and checks that no
// second owner is let run before the first withdrew or its time is over.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		runs := map[string]run{}
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

// checkRuns follows a claim that was granted and fails on a second run.
func checkRuns(t *rapid.T, runs map[string]run, c *messenger.Claim, now time.Time) {
	r, ok := runs[c.Key]
	switch {
	case c.State == messenger.ClaimVoid && r.owner == c.Owner:
		delete(runs, c.Key)
	case c.State == messenger.ClaimDone && !r.done:
		runs[c.Key] = run{c.Owner, now.Add(applier.DefaultKept), true}
	case c.State != messenger.ClaimRun || (ok && r.owner == c.Owner):
	case ok && now.Before(r.until):
		t.Fatalf("%s runs beside %s", c.Owner, r.owner)
	default:
		runs[c.Key] = run{c.Owner, now.Add(applier.DefaultLongest), false}
	}
}
