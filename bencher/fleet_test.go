package bencher_test

import (
	"testing"
	"time"

	"bramleyshunt/bencher"
	"bramleyshunt/configurer"
	"bramleyshunt/switcher"
)

// phasedSite returns a site with alternating phases of mostly long and mostly short prompts.
func phasedSite() bencher.Site {
	s := bencher.Site{
		Name: "phases", Entries: 4, Targets: 16, Queue: 32, OneWay: 700 * time.Microsecond, Length: 30 * time.Second,
		Engine: configurer.Engine{
			Slots: 16, Memory: 450000, Stride: 46, Chunk: 2048, Step: 0.925, Seq: 0.005, Context: 0.0025, Read: 256000, Pairs: 0.09, Hop: 0.1,
		},
		Traffic: []bencher.Traffic{
			{
				Name: "short", Rate: 30, Prompt: bencher.Spread{Mean: 5000, Sigma: 0.9, Max: 24000}, Events: bencher.Spread{Mean: 35, Sigma: 0.7, Max: 90},
				Objective: 300 * time.Millisecond, MaxGap: 200 * time.Millisecond, Timeout: 10 * time.Second, Worth: 1, LateWorth: 0.25,
			},
			{
				Name: "middle", Rate: 2, Prompt: bencher.Spread{Mean: 45000, Sigma: 0.5, Max: 110000}, Events: bencher.Spread{Mean: 20, Sigma: 0.6, Max: 50},
				Objective: 1500 * time.Millisecond, MaxGap: 500 * time.Millisecond, Timeout: 10 * time.Second, Worth: 3, LateWorth: 0.75,
			},
			{
				Name: "long", Rate: 0.8, Prompt: bencher.Spread{Mean: 200000, Sigma: 0.5, Max: 1000000}, Events: bencher.Spread{Mean: 17, Sigma: 0.5, Max: 45},
				Objective: 3 * time.Second, MaxGap: 800 * time.Millisecond, Timeout: 15 * time.Second, Worth: 20, LateWorth: 5,
			},
		},
	}
	factors := [][]float64{{0.4, 1.3, 2.6}, {2.4, 0.5, 0.1}, {0.4, 1.3, 2.6}}
	for i, f := range factors {
		for k, t := range s.Traffic {
			from := time.Duration(10*i) * time.Second
			s.Phases = append(s.Phases, bencher.Phase{Traffic: t.Name, From: from, Until: from + 10*time.Second, Factor: f[k]})
		}
	}
	return s
}

// runFleetSeeds runs seeds 1 to 8 and merges their results.
func runFleetSeeds(f bencher.Fleet) *bencher.FleetResult {
	f.Site = phasedSite()
	all := &bencher.FleetResult{Site: f.Site}
	for f.Seed = 1; f.Seed <= 8; f.Seed++ {
		x := f
		all.Add(x.Run())
	}
	return all
}

// TestFleetPolicies checks that the policy in force earns at least as much worth as each
// other policy under alternating phases of short and long prompts, in all and for each
// kind of request.
func TestFleetPolicies(t *testing.T) {
	ours := runFleetSeeds(bencher.Fleet{})
	for _, k := range []bencher.Kind{bencher.RoundRobin, bencher.LeastOutstanding, bencher.Former} {
		t.Run(k.String(), func(t *testing.T) {
			other := runFleetSeeds(bencher.Fleet{Kind: k})
			atLeast(t, "worth of the policy in force", ours.Worth(), other.Worth())
			for kind := range ours.Site.Traffic {
				atLeast(t, "worth of the policy in force, "+ours.Site.Traffic[kind].Name, ours.WorthOf(kind), other.WorthOf(kind))
			}
		})
	}
}

// TestFleetParts checks that switching off a part of the policy, or the reports of requests
// in flight between entries, does not increase the worth earned.
func TestFleetParts(t *testing.T) {
	ours := runFleetSeeds(bencher.Fleet{}).Worth()
	for _, p := range []switcher.Part{
		switcher.FirstFit, switcher.SplitPrefill, switcher.RefuseHeavy, switcher.KeepApart, switcher.GroupDecode, switcher.IdleQueue, switcher.PassWaiting, switcher.ShareCounts,
	} {
		t.Run(p.String(), func(t *testing.T) {
			disabled, err := switcher.Parse([]string{p.String()})
			if err != nil {
				t.Fatal(err)
			}
			atLeast(t, "worth of the policy in force", ours, runFleetSeeds(bencher.Fleet{Disabled: disabled}).Worth())
		})
	}
}

// TestFleetRepeats checks that runs with the same seeds are identical.
func TestFleetRepeats(t *testing.T) {
	first, again := runFleetSeeds(bencher.Fleet{}), runFleetSeeds(bencher.Fleet{})
	if first.Row("") != again.Row("") {
		t.Errorf("two runs of the same seeds:\n%s\n%s", first.Row(""), again.Row(""))
	}
}
