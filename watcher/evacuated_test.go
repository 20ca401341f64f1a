package watcher

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/messenger"
)

func evacuatedAt(index uint64, zones ...string) *messenger.Evacuated {
	e := &messenger.Evacuated{Index: index}
	for _, z := range zones {
		e.Zones = append(e.Zones, messenger.Evacuation{Zone: z})
	}
	return e
}

// TestEvacuatedZones guards against zones that return because the watcher moves to a keeper that
// lags or is of a build without evacuations, and against views that differ although the zones
// don't.
func TestEvacuatedZones(t *testing.T) {
	var s state
	step := func(name string, e *messenger.Evacuated, changed bool, index uint64, zones ...string) {
		t.Helper()
		got, err := s.apply(&messenger.Update{Evacuated: e}, time.Unix(1000, 0))
		if err != nil || got != changed {
			t.Errorf("%s: changed %t, error %v; want %t", name, got, err, changed)
		}
		v := s.view().Evacuated
		if v == nil || v.Index != index || len(v.Zones) != len(zones) {
			t.Fatalf("%s: evacuated %v, want %v as of index %d", name, v, zones, index)
		}
		for _, z := range zones {
			if v.Find(z) == nil {
				t.Errorf("%s: zone %q is not evacuated", name, z)
			}
		}
	}
	s.begin()
	step("first update", evacuatedAt(5, "a"), true, 5, "a")
	before := s.view().Evacuated
	step("unchanged", nil, false, 5, "a")
	step("equal list", evacuatedAt(5, "a"), false, 5, "a")
	if s.view().Evacuated != before {
		t.Error("an equal list replaced the former one")
	}
	s.begin()
	step("keeper that lags", evacuatedAt(3), false, 5, "a")
	step("keeper that has caught up", evacuatedAt(7, "a", "b"), true, 7, "a", "b")
	s.begin()
	step("keeper of an older build", nil, false, 7, "a", "b")
	s.begin()
	step("keeper that lags by the start of b", evacuatedAt(5, "a"), false, 7, "a", "b")
	step("both have ended", evacuatedAt(9), true, 9)
	s.begin()
	step("keeper that lags by the ends", evacuatedAt(7, "a", "b"), false, 9)
}

// TestEvacuatedZonesBesideInvalidConfiguration guards against an evacuation that is not adopted
// because the configuration of the same update is refused here.
func TestEvacuatedZonesBesideInvalidConfiguration(t *testing.T) {
	var s state
	s.begin()
	u := &messenger.Update{Version: 1, Full: true, Evacuated: evacuatedAt(4, "a"), Files: []messenger.File{{Name: "a.json", Data: []byte("{")}}}
	changed, err := s.apply(u, time.Unix(1000, 0))
	if err == nil || !changed || s.view().Evacuated.Find("a") == nil {
		t.Errorf("changed %t, error %v, evacuated %v", changed, err, s.view().Evacuated)
	}
}

// drawLog returns the evacuated zones as of each of some orders.
func drawLog(t *rapid.T) []*messenger.Evacuated {
	out := []*messenger.Evacuated{evacuatedAt(0)}
	for _, zones := range rapid.SliceOfN(rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "b"}}), 1, 20).Draw(t, "zones") {
		out = append(out, evacuatedAt(uint64(len(out)), zones...))
	}
	return out
}

// TestEvacuatedZonesNeverRevert moves a watcher between keepers that lag by a random number of
// orders, or that are of a build without evacuations. It guards against a list older than one
// that was adopted before.
func TestEvacuatedZonesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s state
		log, adopted := drawLog(t), 0
		for range 40 {
			if rapid.Bool().Draw(t, "move") {
				s.begin()
			}
			u := &messenger.Update{}
			if at := rapid.IntRange(-1, len(log)-1).Draw(t, "applied"); at >= 0 {
				u.Evacuated, adopted = log[at], max(adopted, at)
			}
			if _, err := s.apply(u, time.Unix(1000, 0)); err != nil {
				t.Fatal(err)
			}
			if v := s.view().Evacuated; v != nil && !reflect.DeepEqual(v, log[adopted]) {
				t.Fatalf("evacuated %v, want %v", v, log[adopted])
			}
		}
	})
}
