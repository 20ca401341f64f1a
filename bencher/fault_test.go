package bencher_test

import (
	"testing"
	"time"

	"bramleyshunt/bencher"
)

// runFaults runs seeds 1 and 2 with targets that leave and pause, and merges their results.
func runFaults(f bencher.Fleet) *bencher.FleetResult {
	f.Site = phasedSite()
	f.Faults = bencher.Faults{Leaving: 4, Pausing: 6}
	all := &bencher.FleetResult{Site: f.Site}
	for f.Seed = 1; f.Seed <= 2; f.Seed++ {
		x := f
		all.Add(x.Run())
	}
	return all
}

func none(t *testing.T, what string, n int) {
	t.Helper()
	if n != 0 {
		t.Errorf("%s: %d, want none", what, n)
	}
}

func some(t *testing.T, what string, n int) {
	t.Helper()
	if n == 0 {
		t.Errorf("no %s", what)
	}
}

// TestFaultsHeld guards against requests that reach a target too long after it has told
// the entry that it leaves, or during a pause that it has asked for.
func TestFaultsHeld(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fleet bencher.Fleet
	}{
		{"own", bencher.Fleet{}},
		{"shared marks", bencher.Fleet{Holds: bencher.SharedMarks}},
		{"shared", bencher.Fleet{Holds: bencher.Shared}},
		{"restart", bencher.Fleet{RestartAt: 12 * time.Second}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := runFaults(tt.fleet).Faults
			none(t, "requests late to a leaving target", n.LateToLeaving)
			none(t, "requests over the bound of a pause", n.OverPause)
			some(t, "requests turned away", n.TurnedAway)
			some(t, "targets left", n.Left)
		})
	}
}

// TestFaultsIgnored checks that entries that ignore what targets say break both bounds, so
// that the counts of TestFaultsHeld mean something.
func TestFaultsIgnored(t *testing.T) {
	n := runFaults(bencher.Fleet{Holds: bencher.Ignored}).Faults
	some(t, "requests late to a leaving target", n.LateToLeaving)
	some(t, "requests over the bound of a pause", n.OverPause)
}

// TestSharedMarksEmptySooner checks that fewer requests reach leaving targets if entries
// report the marks to each other.
func TestSharedMarksEmptySooner(t *testing.T) {
	own, shared := runFaults(bencher.Fleet{}).Faults, runFaults(bencher.Fleet{Holds: bencher.SharedMarks}).Faults
	if shared.ToLeaving >= own.ToLeaving {
		t.Errorf("%d requests reached leaving targets, %d without reports", shared.ToLeaving, own.ToLeaving)
	}
}

// TestAllTargetsLeave guards against runs that never end once a service has no target.
func TestAllTargetsLeave(t *testing.T) {
	s := phasedSite()
	for _, k := range []bencher.Kind{bencher.Ours, bencher.RoundRobin, bencher.LeastOutstanding, bencher.Former} {
		t.Run(k.String(), func(t *testing.T) {
			n := (&bencher.Fleet{Site: s, Kind: k, Seed: 1, Faults: bencher.Faults{Leaving: s.Targets}}).Run().Faults
			if n.Left != s.Targets {
				t.Errorf("%d targets left, want %d", n.Left, s.Targets)
			}
		})
	}
}

// TestFaultsRepeat checks that runs with the same seeds are identical.
func TestFaultsRepeat(t *testing.T) {
	first, again := runFaults(bencher.Fleet{}), runFaults(bencher.Fleet{})
	if first.Row("") != again.Row("") || first.Faults != again.Faults {
		t.Errorf("two runs of the same seeds:\n%s %+v\n%s %+v", first.Row(""), first.Faults, again.Row(""), again.Faults)
	}
}

// TestHoldsWithoutFaults checks that holds change nothing without targets that ask for them.
func TestHoldsWithoutFaults(t *testing.T) {
	run := func(h bencher.Holds) string {
		return (&bencher.Fleet{Site: phasedSite(), Seed: 1, Holds: h}).Run().Row("")
	}
	if own, ignored := run(bencher.Own), run(bencher.Ignored); own != ignored {
		t.Errorf("worth differs:\n%s\n%s", own, ignored)
	}
}
