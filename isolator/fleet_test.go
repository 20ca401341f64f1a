package isolator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawFleet draws a fleet with a number of bad parts, each of which comes with requests at
// most once in the given time on average. Unless there are two, a third of the targets may
// fail together besides.
func drawFleet(t *rapid.T, bad int, interval time.Duration) *fleet {
	f := &fleet{
		rng:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		bad:    map[uint64]*badPart{},
		common: rapid.Bool().Draw(t, "common"),
		prefix: rapid.IntRange(0, 3).Draw(t, "position"),
		delay:  time.Duration(rapid.IntRange(20, 300).Draw(t, "delay")) * time.Millisecond,
		rate:   interval + time.Duration(rapid.IntRange(0, 2000).Draw(t, "interval"))*time.Millisecond,
	}
	if bad < 2 {
		f.outage = time.Duration(rapid.IntRange(0, 10).Draw(t, "outage")) * time.Second
	}
	for n := range bad {
		f.bad[uint64(90+n)] = &badPart{}
	}
	f.start(rapid.IntRange(2, 16).Draw(t, "entries"), rapid.IntRange(8, 30).Draw(t, "targets"))
	return f
}

// TestFleetIsolatesBadParts checks that bad parts reach targets no longer than allowed, and
// that sound requests are refused in exceptions only, none of them in the end.
func TestFleetIsolatesBadParts(t *testing.T) {
	for name, c := range map[string]struct {
		bad      int
		interval time.Duration
	}{
		"none": {0, time.Second},
		"one":  {1, 50 * time.Millisecond},
		"two":  {2, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := drawFleet(t, c.bad, c.interval)
				f.run(30 * time.Second)
				f.expectIsolated(t)
			})
		})
	}
}

func (f *fleet) expectIsolated(t interface{ Errorf(string, ...any) }) {
	for id, b := range f.bad {
		if b.late > allowedSends {
			t.Errorf("part %d: %d sends too late, want at most %d; %d crashes", id, b.late, allowedSends, b.crashes)
		}
	}
	if most := 5 + (f.served+f.refused)/500; f.refused > most || f.refusedLate > 0 {
		t.Errorf("%d of %d sound requests refused, want at most %d; %d of them after all had calmed down", f.refused, f.served+f.refused, most, f.refusedLate)
	}
}
