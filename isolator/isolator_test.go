package isolator_test

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/isolator"
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

const quarantine = time.Minute

// bench is an Isolator with the time of its reports.
type bench struct {
	*testing.T
	isolator.Isolator
	now     time.Time
	targets uint64 // incarnations that ended
}

func newBench(t *testing.T) *bench { return &bench{T: t, now: time.Unix(1000, 0)} }

// crash reports a new incarnation that ended under a request of its own with the parts. The
// service has just given sound answers.
func (b *bench) crash(parts ...uint64) {
	b.Helper()
	b.targets++
	b.report(isolator.Report{Request: b.targets, Target: "t", Incarnation: b.targets, Parts: parts})
}

func (b *bench) report(r isolator.Report) {
	b.Helper()
	b.now = b.now.Add(time.Second)
	r.Service = "s"
	b.Report(b.now, quarantine, r)
}

// expectHeld expects which of several requests are held back.
func (b *bench) expectHeld(want bool, requests ...[]uint64) {
	b.Helper()
	v := b.Isolated(b.now)
	for _, parts := range requests {
		if got := isolator.Match(v, parts) != nil; got != want {
			b.Errorf("request with parts %v held back: %t, want %t (groups %v)", parts, got, want, v.Groups)
		}
	}
}

func TestPartIsIsolatedAtLimit(t *testing.T) {
	b := newBench(t)
	for n := range uint64(isolator.DefaultLimit) {
		b.expectHeld(false, []uint64{7, 100 + n})
		b.crash(7, 100+n)
	}
	b.expectHeld(true, []uint64{7}, []uint64{3, 7, 9})
	b.expectHeld(false, []uint64{100}, []uint64{101, 102}, nil)
}

func TestRepeatedReportsCountOnce(t *testing.T) {
	b := newBench(t)
	for n := range uint64(20) {
		b.report(isolator.Report{Request: n, Target: "t", Incarnation: 1, Parts: []uint64{7}})
	}
	b.expectHeld(false, []uint64{7})
}

// reportTogether reports targets that fail at the same moment, each under a request with one
// of the lists of parts in turn, and lets time pass.
func (b *bench) reportTogether(targets int, lists ...[]uint64) {
	for n := range uint64(targets) {
		b.Report(b.now.Add(time.Duration(n)*10*time.Millisecond), quarantine, isolator.Report{
			Service: "s", Request: n, Target: "t", Incarnation: n, Parts: lists[n%uint64(len(lists))],
		})
	}
	b.now = b.now.Add(time.Second)
	b.Settle(b.now, quarantine)
}

// Guards against parts that are isolated because a zone with several targets failed.
func TestTargetsThatFailTogetherIsolateNoPartOfSomeOfThem(t *testing.T) {
	b := newBench(t)
	b.reportTogether(20, []uint64{7}, []uint64{7}, nil)
	b.expectHeld(false, []uint64{7})
}

// Guards against a part that crashes all targets within moments and goes on to do so when
// they are back: no crash follows from which the part could be known.
func TestPartThatCrashesAllTargetsWithinMomentsIsIsolated(t *testing.T) {
	b := newBench(t)
	b.reportTogether(8, []uint64{7, 8}, []uint64{7, 9})
	b.expectHeld(true, []uint64{7})
	b.expectHeld(false, []uint64{8}, []uint64{9})
}

// Guards against parts that are isolated because a single request lost all its targets.
func TestOneRequestIsolatesNoPart(t *testing.T) {
	b := newBench(t)
	for n := range uint64(9) {
		b.report(isolator.Report{Request: 1, Target: "t", Incarnation: n, Parts: []uint64{7}})
	}
	b.expectHeld(false, []uint64{7})
}

// Guards against the refusal of a whole service whose targets crash for another reason: a
// part that is in every request and was answered before has no sound answers then.
func TestNoPartIsIsolatedWhileServiceGivesNoAnswers(t *testing.T) {
	b := newBench(t)
	for n := range uint64(20) {
		b.report(isolator.Report{Request: n, Target: "t", Incarnation: n, Parts: []uint64{7}, Sound: time.Duration(n+1) * time.Second})
		b.Sound(b.now, 7, time.Duration(n+1)*time.Second)
	}
	b.expectHeld(false, []uint64{7})
	b.report(isolator.Report{Request: 50, Target: "t", Incarnation: 50, Parts: []uint64{7}, Sound: -1})
	b.expectHeld(false, []uint64{7})
	b.report(isolator.Report{Request: 51, Target: "t", Incarnation: 51, Parts: []uint64{7}, Sound: time.Second / 2})
	b.expectHeld(true, []uint64{7})
}

// Guards against the refusal of sound requests that share a part with those that crash
// targets: until one part stands out, only requests with all suspects are held back.
func TestPartsThatShareAllCrashesAreIsolatedTogether(t *testing.T) {
	for name, guilty := range map[string]int{"first part": 0, "middle part": 1, "last shared part": 2} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			parts := []uint64{1, 2, 3}
			for range isolator.DefaultLimit {
				b.crash(parts...)
			}
			b.expectHeld(true, parts)
			b.expectHeld(false, []uint64{1}, []uint64{2}, []uint64{3}, []uint64{1, 2}, []uint64{2, 3})
			b.crash(parts[guilty], 99)
			sound := slices.Delete(slices.Clone(parts), guilty, guilty+1)
			b.expectHeld(true, parts[guilty:guilty+1], parts)
			b.expectHeld(false, sound, []uint64{99})
		})
	}
}

func TestAnswerFreesPartAtOnce(t *testing.T) {
	b := newBench(t)
	for range isolator.DefaultLimit {
		b.crash(1, 2)
	}
	b.Sound(b.now, 1, 0)
	b.expectHeld(true, []uint64{2}, []uint64{1, 2})
	b.expectHeld(false, []uint64{1})
	b.Sound(b.now, 2, 0)
	b.expectHeld(false, []uint64{1, 2})
}

// Guards against a part that is never isolated because it was answered before it began to
// crash targets.
func TestEarlierAnswerFreesNoPart(t *testing.T) {
	b := newBench(t)
	since := b.now
	for range isolator.DefaultLimit {
		b.crash(1)
	}
	b.Sound(b.now, 1, b.now.Sub(since))
	b.expectHeld(true, []uint64{1})
}

func TestTwoBadPartsAreIsolated(t *testing.T) {
	b := newBench(t)
	for range 2 {
		b.crash(1, 2, 3)
	}
	for range 2 {
		b.crash(1)
		b.crash(2)
	}
	b.expectHeld(true, []uint64{1}, []uint64{2})
	b.expectHeld(false, []uint64{3})
}

func TestIsolationEndsAndIsRenewed(t *testing.T) {
	b := newBench(t)
	for range isolator.DefaultLimit {
		b.crash(7)
	}
	b.now = b.now.Add(quarantine / 2)
	if !b.Seen(b.now, quarantine, 7) || b.Seen(b.now, quarantine, 8) {
		t.Error("the isolation of part 7 was not extended, or that of part 8 was")
	}
	b.now = b.now.Add(quarantine - time.Second)
	b.expectHeld(true, []uint64{7})
	b.now = b.now.Add(time.Second)
	b.expectHeld(false, []uint64{7})
	b.crash(7, 55)
	b.expectHeld(true, []uint64{7})
}

// TestAnsweredPartIsNeverIsolated crashes targets under random requests. Part 1 is in every
// request and is answered between any two crashes.
func TestAnsweredPartIsNeverIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var i isolator.Isolator
		now := time.Unix(1000, 0)
		other := rapid.SliceOfN(rapid.Uint64Range(2, 6), 0, 3)
		for n := range uint64(30) {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			i.Report(now, quarantine, isolator.Report{Service: "s", Request: n, Target: "t", Incarnation: n, Parts: append([]uint64{1}, other.Draw(t, "other")...)})
			if v := i.Isolated(now); slices.ContainsFunc(v.Groups, func(g messenger.PartGroup) bool { return slices.Contains(g.Parts, 1) }) {
				t.Fatalf("part 1 is isolated: %v", v.Groups)
			}
			now = now.Add(time.Millisecond)
			i.Sound(now, 1, 0)
		}
	})
}

// TestMemoryIsBounded reports crashes of invented parts without end. The part that crashes
// targets is isolated nevertheless and stays so.
func TestMemoryIsBounded(t *testing.T) {
	b := newBench(t)
	next := uint64(1 << 32)
	invented := func(n int) []uint64 {
		out := make([]uint64, n)
		for i := range out {
			next++
			out[i] = next
		}
		return out
	}
	for range isolator.DefaultLimit {
		b.crash(append([]uint64{7}, invented(isolator.MaxReported)...)...)
		b.crash(invented(isolator.MaxReported)...)
	}
	for range 2 * isolator.MaxParts / isolator.MaxReported {
		b.crash(invented(2 * isolator.MaxReported)...)
		if !b.Seen(b.now, quarantine, 7) {
			t.Fatal("part 7 is no longer isolated")
		}
		if n := len(b.State().Parts); n > isolator.MaxParts {
			t.Fatalf("%d parts recorded, want at most %d", n, isolator.MaxParts)
		}
	}
	b.expectHeld(true, []uint64{7})
}

// step applies one random change to each of the Isolators.
func step(t *rapid.T, now time.Time, all ...*isolator.Isolator) {
	part := rapid.Uint64Range(1, 5)
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		id, ago := part.Draw(t, "part"), time.Duration(rapid.IntRange(0, 3000).Draw(t, "ago"))*time.Millisecond
		for _, i := range all {
			i.Sound(now, id, ago)
		}
	case 1:
		id := part.Draw(t, "part")
		for _, i := range all {
			i.Seen(now, quarantine, id)
		}
	case 2:
		groups := all[0].Isolated(now).Groups
		if len(groups) == 0 {
			return
		}
		g := rapid.SampledFrom(groups).Draw(t, "group")
		granted := all[0].Claim(now, g.Parts)
		for _, i := range all[1:] {
			if i.Claim(now, g.Parts) != granted {
				t.Fatalf("claims of %v differ", g.Parts)
			}
		}
	default:
		r := isolator.Report{
			Service: "s", Parts: rapid.SliceOfN(part, 0, 4).Draw(t, "parts"), Request: rapid.Uint64Range(1, 4).Draw(t, "request"),
			Target: "t", Incarnation: rapid.Uint64Range(1, 20).Draw(t, "incarnation"),
			Sound: time.Duration(rapid.IntRange(-1, 2000).Draw(t, "sound")) * time.Millisecond,
		}
		for _, i := range all {
			i.Report(now, quarantine, r)
		}
	}
}

// TestStateIsDeterministic applies equal changes to two Isolators, one of which is restored
// from its state now and then.
func TestStateIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := &isolator.Isolator{}, &isolator.Isolator{}
		now := time.Unix(1000, 0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
			step(t, now, one, two)
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				s := two.State()
				two = &isolator.Isolator{}
				two.Restore(s)
			}
			a, b := fmt.Sprint(one.State()), fmt.Sprint(two.State())
			if a != b || !reflect.DeepEqual(one.Isolated(now), two.Isolated(now)) {
				t.Fatalf("states differ:\n%s\n%s", a, b)
			}
		}
	})
}
