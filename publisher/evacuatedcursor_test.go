package publisher

import (
	"testing"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
)

// TestEvacuatedZonesAreSent guards against a watcher whose first update lacks the evacuated zones,
// against a change that waits for a configuration or for the next interval, and against a
// list that is sent with each update.
func TestEvacuatedZonesAreSent(t *testing.T) {
	now := time.Unix(1000, 0)
	view := &applier.View{Version: 7}
	first := &messenger.Evacuated{Index: 5, Zones: []messenger.Evacuation{{Zone: "a", Operator: "office"}}}
	ended := &messenger.Evacuated{Index: 6}
	c := cursor{version: 7}
	step := func(name string, e *messenger.Evacuated, sent, list bool) {
		t.Helper()
		now = now.Add(time.Millisecond)
		u := c.nextUpdate(&state{view: view, evacuated: e}, now)
		switch {
		case (u != nil) != sent:
			t.Fatalf("%s: update %v, want one: %t", name, u, sent)
		case u != nil && list && u.Evacuated != e:
			t.Errorf("%s: evacuated %v, want %v", name, u.Evacuated, e)
		case u != nil && !list && u.Evacuated != nil:
			t.Errorf("%s: evacuated %v sent again", name, u.Evacuated)
		}
	}
	step("first update of a stream", first, true, true)
	step("unchanged", first, false, false)
	step("ended", ended, true, true)
	step("unchanged again", ended, false, false)
	now = now.Add(maxUpdateInterval)
	step("next interval", ended, true, false)
	lean := cursor{version: 7, configOnly: true}
	if u := lean.nextUpdate(&state{view: view, evacuated: first}, now); u == nil || u.Evacuated != nil {
		t.Errorf("update without targets: %v", u)
	}
}
