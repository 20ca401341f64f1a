package isolator_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against sound requests that stay refused after the fleet has calmed down, in draws that
// TestFleetIsolatesBadParts makes about once in a thousand.
func TestFleetIsolatesBadPartsInRareDraws(t *testing.T) {
	for name, c := range map[string]struct {
		fleet            fleet
		seed             uint64
		bad              int
		entries, targets int
	}{
		"two bad parts": {
			fleet: fleet{common: true, delay: 21 * time.Millisecond, rate: 618 * time.Millisecond},
			seed:  0x85a9d986, bad: 2, entries: 6, targets: 8,
		},
		"one bad part and an outage": {
			fleet: fleet{delay: 175 * time.Millisecond, rate: 83 * time.Millisecond, outage: 5 * time.Second},
			seed:  0xedf, bad: 1, entries: 8, targets: 8,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := c.fleet
			f.rng, f.bad = rand.New(rand.NewPCG(c.seed, 0)), map[uint64]*badPart{}
			for n := range c.bad {
				f.bad[uint64(90+n)] = &badPart{}
			}
			f.start(c.entries, c.targets)
			f.run(30 * time.Second)
			f.expectIsolated(t)
		})
	}
}
