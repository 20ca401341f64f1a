package applier_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

func drawEvacuation(t *rapid.T) *applier.Command {
	zones := []string{"a", "b", "c", "", "not a name"}
	c := evacuationCommand(rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Bool().Draw(t, "end"))
	c.Evacuation.Operator = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "operator")
	return c
}

func drawOrderOrOther(t *rapid.T) *applier.Command {
	if rapid.IntRange(0, 2).Draw(t, "other") == 0 {
		return drawCommand(t)
	}
	return drawEvacuation(t)
}

// restart replaces an Applier by one that is restored from its snapshot.
func restart(t *rapid.T, a *applier.Applier) {
	snapshot := a.Snapshot()
	*a = applier.Applier{}
	if err := a.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// TestEvacuations sends starts and ends of several operators, repeated and reordered, between
// other commands. It guards against evacuations that are not those of the last order for their
// zone, against snapshots of equal logs that differ, and against a restored keeper that answers
// or decides unlike the others.
func TestEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var continuous, restored applier.Applier
		want, now := map[string]string{}, time.Unix(1000, 0) // operator by zone
		for i := uint64(1); i <= 60; i++ {
			now = now.Add(drawStep(t))
			c := drawOrderOrOther(t)
			data := c.Stamp(now)
			a, b := continuous.Apply(i, data), restored.Apply(i, data)
			if !bytes.Equal(a, b) {
				t.Fatalf("answers differ at index %d: %x and %x", i, a, b)
			}
			recordOrder(want, c, a)
			checkEvacuated(t, want, continuous.Evacuated(), i)
			if rapid.Bool().Draw(t, "snapshot") {
				restart(t, &restored)
			}
			if !bytes.Equal(continuous.Snapshot(), restored.Snapshot()) {
				t.Fatalf("states differ at index %d", i)
			}
		}
	})
}

// recordOrder applies an accepted order to the expected operators by zone.
func recordOrder(want map[string]string, c *applier.Command, answer []byte) {
	a, err := applier.DecodeAnswer(answer)
	if err != nil || a.Code != coder.OK || c.Evacuation == nil {
		return
	}
	o := c.Evacuation
	if _, evacuated := want[o.Zone]; o.End {
		delete(want, o.Zone)
	} else if !evacuated {
		want[o.Zone] = o.Operator
	}
}

func checkEvacuated(t *rapid.T, want map[string]string, got *messenger.Evacuated, index uint64) {
	if len(got.Zones) != len(want) || got.Index > index {
		t.Fatalf("evacuated %v at index %d, want %v", got, index, want)
	}
	for n, z := range got.Zones {
		if operator, ok := want[z.Zone]; !ok || operator != z.Operator || n > 0 && got.Zones[n-1].Zone >= z.Zone {
			t.Fatalf("evacuated %v at index %d, want %v", got, index, want)
		}
	}
}

// FuzzCommand applies arbitrary log entries. It guards against an entry that ends the keepers,
// that leaves more zones than the bound or invalid names, or that gives two keepers unlike
// states.
func FuzzCommand(f *testing.F) {
	f.Add(evacuationCommand("a", false).Encode())
	f.Add(evacuationCommand("a", true).Encode())
	f.Add((&applier.Command{Verb: applier.VerbEvacuate}).Encode())
	f.Add(changeCommand("1", 0, 1, limitsFolder(1)).Encode())
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var a, b applier.Applier
		for i, entry := range [][]byte{evacuationCommand("b", false).Encode(), data, data} {
			if x, y := a.Apply(uint64(i+1), entry), b.Apply(uint64(i+1), entry); !bytes.Equal(x, y) {
				t.Fatalf("answers differ: %x and %x", x, y)
			}
		}
		if n := len(a.Evacuated().Zones); n > 2 || a.Evacuated().Find(" ") != nil {
			t.Fatalf("evacuated %v", a.Evacuated())
		}
		var restored applier.Applier
		if err := restored.Restore(a.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(a.Snapshot(), b.Snapshot()) || !bytes.Equal(restored.Snapshot(), b.Snapshot()) {
			t.Fatal("states differ")
		}
	})
}
