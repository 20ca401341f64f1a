package isolator_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rareDraw is one draw of drawFleet.
type rareDraw struct {
	fleet            fleet
	seed             uint64
	bad              int
	entries, targets int
}

func (d *rareDraw) expectIsolated(t *testing.T) {
	t.Helper()
	f := d.fleet
	f.rng, f.bad = rand.New(rand.NewPCG(d.seed, 0)), map[uint64]*badPart{}
	for n := range d.bad {
		f.bad[uint64(90+n)] = &badPart{}
	}
	f.start(d.entries, d.targets)
	f.run(30 * time.Second)
	f.expectIsolated(t)
}

// Guards against sound requests that stay refused after the fleet has calmed down, in draws that
// TestFleetIsolatesBadParts makes about once in a thousand.
func TestFleetIsolatesBadPartsInRareDraws(t *testing.T) {
	for name, c := range map[string]rareDraw{
		"two bad parts": {
			fleet: fleet{common: true, delay: 21 * time.Millisecond, rate: 618 * time.Millisecond},
			seed:  0x85a9d986, bad: 2, entries: 6, targets: 8,
		},
		"one bad part and an outage": {
			fleet: fleet{delay: 175 * time.Millisecond, rate: 83 * time.Millisecond, outage: 5 * time.Second},
			seed:  0xedf, bad: 1, entries: 8, targets: 8,
		},
	} {
		t.Run(name, func(t *testing.T) { c.expectIsolated(t) })
	}
}

// Guards against sound requests that are refused in draws that 300 draws of each kind with 60 seeds
// have found since trials are claimed.
func TestFleetIsolatesBadPartsInFurtherRareDraws(t *testing.T) {
	for name, c := range map[string]rareDraw{
		"two bad parts, 21 targets": {
			fleet: fleet{delay: 21 * time.Millisecond, rate: 1772 * time.Millisecond},
			seed:  0x116cb34, bad: 2, entries: 5, targets: 21,
		},
		"two bad parts after all others": {
			fleet: fleet{common: true, prefix: 3, delay: 164 * time.Millisecond, rate: 571 * time.Millisecond},
			seed:  0x4951, bad: 2, entries: 4, targets: 9,
		},
		"one bad part and an early outage": {
			fleet: fleet{common: true, prefix: 3, delay: 235 * time.Millisecond, rate: 79 * time.Millisecond, outage: 2 * time.Second},
			seed:  0xf3042948dc1, bad: 1, entries: 10, targets: 8,
		},
	} {
		t.Run(name, func(t *testing.T) { c.expectIsolated(t) })
	}
}
