package bencher_test

import (
	"fmt"
	"testing"

	"bramleyshunt/bencher"
)

// runCrashes runs seeds 1 to 4 with crashes, and merges their results.
func runCrashes(x bencher.Crashes) *bencher.FleetResult {
	f := bencher.Fleet{Site: phasedSite(), Crashes: x}
	all := &bencher.FleetResult{Site: f.Site}
	for f.Seed = 1; f.Seed <= 4; f.Seed++ {
		run := f
		all.Add(run.Run())
	}
	return all
}

// TestCrashingPartIsHeldBack guards against requests with a part that crashes targets which
// entries go on sending, and checks that the counts of such requests mean something.
func TestCrashingPartIsHeldBack(t *testing.T) {
	for _, share := range []float64{0.02, 0.05, 0.15} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			free := runCrashes(bencher.Crashes{Own: 3, PartShare: share})
			held := runCrashes(bencher.Crashes{Own: 3, PartShare: share, Refused: true})
			some(t, "requests late to targets", free.Crashes.Late)
			none(t, "requests late to targets", held.Crashes.Late)
			if held.Crashes.Part >= free.Crashes.Part {
				t.Errorf("%d crashes by the part, %d if it is not held back", held.Crashes.Part, free.Crashes.Part)
			}
			if held.Served() < free.Served() {
				t.Errorf("%.3f served, %.3f if the part is not held back", held.Served(), free.Served())
			}
		})
	}
}

// TestCrashesRepeat checks that runs with the same seeds are identical, and that calls with the
// part are left out of the worth.
func TestCrashesRepeat(t *testing.T) {
	x := bencher.Crashes{Own: 3, PartShare: 0.05}
	first, again := runCrashes(x), runCrashes(x)
	if first.Row("") != again.Row("") || first.Crashes != again.Crashes {
		t.Errorf("two runs of the same seeds:\n%s %+v\n%s %+v", first.Row(""), first.Crashes, again.Row(""), again.Crashes)
	}
	if n := first.Crashes; n.Own != 12 || n.Part == 0 || n.Broken < n.Begun {
		t.Errorf("counts %+v", n)
	}
}

// TestCrashTable prints the figures of a part that crashes targets at several shares of the
// traffic, if the -tables flag is "crashes".
func TestCrashTable(*testing.T) {
	if *tables != "crashes" {
		return
	}
	fmt.Println(bencher.CrashHeader())
	for _, own := range []int{0, 3} {
		for _, share := range []float64{0, 0.01, 0.02, 0.05, 0.15} {
			for _, refused := range []bool{false, true} {
				r := runCrashes(bencher.Crashes{Own: own, PartShare: share, Refused: refused})
				fmt.Println(r.Crashes.Row(fmt.Sprintf("%d own, share %.2f, refused %t", own, share, refused)),
					fmt.Sprintf("served %.3f, worth %.3f, worst windows %.3f", r.Served(), r.Worth(), r.WorstWindows()))
			}
		}
	}
}
