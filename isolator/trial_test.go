package isolator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// expectClaim claims a trial some time after the isolation of the parts.
func (b *bench) expectClaim(want bool, isolated time.Time, after time.Duration, parts ...uint64) {
	b.Helper()
	if got := b.Claim(isolated.Add(after), parts); got != want {
		b.Errorf("trial of %v granted %v after the isolation: %t, want %t", parts, after, got, want)
	}
}

// isolateKnown isolates a part that was answered before its crashes.
func (b *bench) isolateKnown(part uint64) {
	b.crash(part, 50)
	at := b.now
	b.crash(part, 51)
	b.Sound(b.now, part, b.now.Sub(at))
	for n := range uint64(isolator.DefaultLimit) - 1 {
		b.crash(part, 52+n)
	}
}

// Guards against a bad part that several entries try at once, or again later.
func TestTrialOfPartThatWasNeverAnsweredIsGrantedOnce(t *testing.T) {
	b := newBench(t)
	for n := range uint64(isolator.DefaultLimit) {
		b.crash(7, 100+n)
	}
	b.expectClaim(false, b.now, isolator.TrialDelay-1, 7)
	b.expectClaim(false, b.now, isolator.TrialDelay, 8)
	b.expectClaim(false, b.now, isolator.TrialDelay, 7, 8)
	b.expectClaim(true, b.now, isolator.TrialDelay, 7)
	b.expectClaim(false, b.now, isolator.TrialDelay, 7)
	b.expectClaim(false, b.now, isolator.SecondTrialDelay+isolator.TrialTime, 7)
}

// Guards against requests with a part that is likely to be bad long after its isolation.
func TestTrialOfPartThatWasNeverAnsweredIsNotGrantedLate(t *testing.T) {
	b := newBench(t)
	for n := range uint64(isolator.DefaultLimit) {
		b.crash(7, 100+n)
	}
	b.expectClaim(false, b.now, isolator.TrialEnd, 7)
	b.expectClaim(true, b.now, isolator.TrialEnd-1, 7)
}

// Guards against a sound part that stays isolated as its first trial ended with a target that
// another part crashed, and against more than one trial in progress.
func TestTrialOfDoubtfulPartsIsGrantedTwice(t *testing.T) {
	for name, first := range map[string]time.Duration{
		"early": isolator.TrialDelay, "late": isolator.SecondTrialDelay - time.Second, "very late": time.Minute / 2,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.isolateKnown(7)
			second := max(isolator.SecondTrialDelay, first+isolator.TrialTime)
			b.expectClaim(true, b.now, first, 7)
			b.expectClaim(false, b.now, second-1, 7)
			b.expectClaim(true, b.now, second, 7)
			b.expectClaim(false, b.now, second+isolator.TrialTime, 7)
		})
	}
}

// Guards against parts that are never tried as they were tried in an earlier isolation.
func TestTrialIsGrantedAgainAfterAnswer(t *testing.T) {
	b := newBench(t)
	b.isolateKnown(7)
	b.expectClaim(true, b.now, isolator.TrialDelay, 7)
	b.now = b.now.Add(isolator.TrialDelay + time.Second)
	b.Sound(b.now, 7, 0)
	b.expectHeld(false, []uint64{7})
	b.isolateKnown(7)
	b.expectClaim(true, b.now, isolator.TrialDelay, 7)
}

// Guards against trials of parts whose isolation has ended, or that a build without trials
// isolated: it doesn't record when.
func TestTrialNeedsIsolationWithTime(t *testing.T) {
	b := newBench(t)
	b.isolateKnown(7)
	b.expectClaim(false, b.now, quarantine, 7)
	s := b.State()
	for n := range s.Parts {
		s.Parts[n].Since = 0
	}
	b.Restore(s)
	b.expectHeld(true, []uint64{7})
	b.expectClaim(false, b.now, isolator.TrialDelay, 7)
}

// TestMatchAllFindsEachGroup guards against a trial that a second isolated group would end.
func TestMatchAllFindsEachGroup(t *testing.T) {
	v := &messenger.Isolated{Groups: []messenger.PartGroup{{Parts: []uint64{1, 2}}, {Parts: []uint64{3}}, {Parts: []uint64{4}}}}
	for _, c := range []struct {
		parts []uint64
		want  int
	}{{nil, 0}, {[]uint64{1}, 0}, {[]uint64{3, 9}, 1}, {[]uint64{3, 2, 1}, 2}, {[]uint64{4, 3, 2, 1}, 3}} {
		if got := len(isolator.MatchAll(v, c.parts)); got != c.want {
			t.Errorf("%v: %d groups, want %d", c.parts, got, c.want)
		}
	}
}

// TestTrialsAreFewAndApart claims trials at random times, while targets crash under random
// requests and no answer goes on. Each part is in two trials at most, TrialTime apart.
func TestTrialsAreFewAndApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var i isolator.Isolator
		now := time.Unix(1000, 0)
		granted := map[uint64][]time.Time{}
		for n := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "crash") {
				parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID).Draw(t, "parts")
				i.Report(now, time.Hour, isolator.Report{Service: "s", Request: n, Target: "t", Incarnation: n, Parts: parts})
				continue
			}
			for _, id := range claimAll(&i, now) {
				granted[id] = append(granted[id], now)
			}
		}
		expectApart(t, granted)
	})
}

func expectApart(t *rapid.T, granted map[uint64][]time.Time) {
	for id, at := range granted {
		if len(at) > 2 || len(at) == 2 && at[1].Sub(at[0]) < isolator.TrialTime {
			t.Fatalf("trials of part %d at %v", id, at)
		}
	}
}

// claimAll claims a trial of each group, and returns the parts of those that were granted.
func claimAll(i *isolator.Isolator, now time.Time) (parts []uint64) {
	for _, g := range i.Isolated(now).Groups {
		if i.Claim(now, g.Parts) {
			parts = append(parts, g.Parts...)
		}
	}
	return parts
}
