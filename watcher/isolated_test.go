package watcher

import (
	"testing"
	"time"

	"bramleyshunt/messenger"
)

// TestIsolatedParts checks that the listed parts stay as they are until they are replaced, and
// that a keeper of a build without them, which sends none, does no harm.
func TestIsolatedParts(t *testing.T) {
	var s state
	list := func(part uint64) *messenger.Isolated {
		return &messenger.Isolated{Groups: []messenger.PartGroup{{Parts: []uint64{part}, Crashes: 3, Until: 1}}}
	}
	step := func(u messenger.Update, changed bool, part uint64) {
		t.Helper()
		got, err := s.apply(&u, time.Unix(1000, 0))
		if err != nil || got != changed {
			t.Fatalf("changed %t, error %v; want %t", got, err, changed)
		}
		switch v := s.view().Isolated; {
		case part == 0 && v != nil && len(v.Groups) > 0:
			t.Errorf("isolated %v, want none", v.Groups)
		case part != 0 && (v == nil || len(v.Groups) != 1 || v.Groups[0].Parts[0] != part):
			t.Errorf("isolated %v, want part %d", v, part)
		}
	}
	s.begin()
	step(messenger.Update{Isolated: list(7)}, true, 7)
	step(messenger.Update{}, false, 7)
	before := s.view().Isolated
	step(messenger.Update{Isolated: list(7)}, false, 7)
	if s.view().Isolated != before {
		t.Error("an equal list replaced the former one")
	}
	step(messenger.Update{Isolated: list(8)}, true, 8)
	step(messenger.Update{Isolated: &messenger.Isolated{}}, true, 0)
	step(messenger.Update{Isolated: list(8)}, true, 8)
	s.begin()
	step(messenger.Update{}, true, 0)
}
