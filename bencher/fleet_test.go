package bencher_test

import (
	"testing"
	"time"

	"bramleyshunt/bencher"
	"bramleyshunt/configurer"
	"bramleyshunt/router"
)

// phases is a deployment whose short and long prompts come in turns.
func phases() bencher.Site {
	s := bencher.Site{
		Name: "phases", Entries: 4, Targets: 16, Queue: 32, OneWay: 700 * time.Microsecond, Length: 30 * time.Second,
		Engine: configurer.Engine{
			Slots: 16, Memory: 450000, Stride: 46, Chunk: 2048, Step: 0.925, Seq: 0.005, Context: 0.0025, Read: 256000, Pairs: 0.09, Hop: 0.1,
		},
		Traffic: []bencher.Traffic{
			{
				Name: "short", Rate: 30, Prompt: bencher.Spread{Mean: 5000, Sigma: 0.9, Most: 24000}, Events: bencher.Spread{Mean: 35, Sigma: 0.7, Most: 90},
				Aim: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Timeout: 10 * time.Second, Worth: 1, Late: 0.25,
			},
			{
				Name: "middle", Rate: 2, Prompt: bencher.Spread{Mean: 45000, Sigma: 0.5, Most: 110000}, Events: bencher.Spread{Mean: 20, Sigma: 0.6, Most: 50},
				Aim: 1500 * time.Millisecond, Gap: 500 * time.Millisecond, Timeout: 10 * time.Second, Worth: 3, Late: 0.75,
			},
			{
				Name: "long", Rate: 0.8, Prompt: bencher.Spread{Mean: 200000, Sigma: 0.5, Most: 1000000}, Events: bencher.Spread{Mean: 17, Sigma: 0.5, Most: 45},
				Aim: 3 * time.Second, Gap: 800 * time.Millisecond, Timeout: 15 * time.Second, Worth: 20, Late: 5,
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

// fleets runs eight traces.
func fleets(f bencher.Fleet) *bencher.Served {
	f.Site = phases()
	all := &bencher.Served{Site: f.Site}
	for f.Seed = 1; f.Seed <= 8; f.Seed++ {
		x := f
		all.Add(x.Run())
	}
	return all
}

// TestFleetPolicies checks that the policy in force serves phases of short and of
// long prompts better than each baseline, all kinds of request included.
func TestFleetPolicies(t *testing.T) {
	ours := fleets(bencher.Fleet{})
	for _, k := range []bencher.Kind{bencher.RoundRobin, bencher.LeastOutstanding, bencher.Former} {
		t.Run(k.String(), func(t *testing.T) {
			other := fleets(bencher.Fleet{Kind: k})
			atLeast(t, "worth of ours", ours.Worth(), other.Worth())
			for kind := range ours.Site.Traffic {
				atLeast(t, "worth of "+ours.Site.Traffic[kind].Name, ours.WorthOf(kind), other.WorthOf(kind))
			}
		})
	}
}

// TestFleetParts checks that each part of the policy earns its place.
func TestFleetParts(t *testing.T) {
	ours := fleets(bencher.Fleet{}).Worth()
	for name, parts := range map[string]router.Features{
		"Fill": {Fill: true}, "Pieces": {Pieces: true}, "Heavy": {Heavy: true}, "Apart": {Apart: true},
	} {
		t.Run(name, func(t *testing.T) {
			atLeast(t, "worth of ours", ours, fleets(bencher.Fleet{Disabled: parts}).Worth())
		})
	}
	t.Run("entries alone", func(t *testing.T) {
		atLeast(t, "worth of ours", ours, fleets(bencher.Fleet{Alone: true}).Worth())
	})
}

// TestFleetRepeats checks that a seed plays the same again.
func TestFleetRepeats(t *testing.T) {
	first, again := fleets(bencher.Fleet{}), fleets(bencher.Fleet{})
	if first.Row("") != again.Row("") {
		t.Errorf("two runs of the same seeds:\n%s\n%s", first.Row(""), again.Row(""))
	}
}
