package bencher_test

import (
	"testing"
	"time"

	"bramleyshunt/bencher"
	"bramleyshunt/switcher"
)

// dispatchersSite returns a site with a hundred entries before as many targets, whose short
// prompts use four fifths of the slots, between phases of long ones.
func dispatchersSite() bencher.Site {
	s := phasedSite()
	s.Name, s.Entries, s.Zones, s.Targets, s.Queue, s.OneWay, s.Length = "dispatchers", 103, 5, 112, 10, 500*time.Microsecond, 12*time.Second
	s.Engine.Slots, s.Engine.Stride = 10, 73
	rates := map[string]float64{"short": 150, "middle": 15, "long": 3.5}
	for i := range s.Traffic {
		t := &s.Traffic[i]
		t.Rate = rates[t.Name]
		t.Events.Mean *= 0.7
	}
	for i := range s.Phases {
		p := &s.Phases[i]
		p.From, p.Until = p.From/5*2, p.Until/5*2
	}
	return s
}

// TestManyDispatchers checks that entries which place requests by reports of each other lose
// nothing by their number: many dispatchers with outdated counts at four fifths of capacity,
// and phases of long prompts that turn into short ones.
func TestManyDispatchers(t *testing.T) {
	run := func(off ...string) *bencher.FleetResult {
		disabled, err := switcher.Parse(off)
		if err != nil {
			t.Fatal(err)
		}
		return (&bencher.Fleet{Site: dispatchersSite(), Seed: 1, Disabled: disabled}).Run()
	}
	ours := run()
	t.Log(ours.Row("ours"))
	for _, part := range []string{"ask-relay", "share-counts"} {
		t.Run(part, func(t *testing.T) {
			other := run(part)
			t.Log(other.Row(part))
			atLeast(t, "worth of the policy in force", ours.Worth(), other.Worth())
		})
	}
	few := dispatchersSite()
	few.Entries = few.Zones
	t.Run("few entries", func(t *testing.T) {
		other := (&bencher.Fleet{Site: few, Seed: 1}).Run()
		t.Log(other.Row("few"))
		if ours.Worth() < (1-numberLoss)*other.Worth() {
			t.Errorf("worth %.3f with %d entries, %.3f with %d", ours.Worth(), ours.Site.Entries, other.Worth(), few.Entries)
		}
	})
}

// numberLoss is the part of the worth that may be lost by the number of entries.
const numberLoss = 0.05
