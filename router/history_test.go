package router

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/messenger"
)

// Guards against hints that grow without bound, by prefixes or by holders.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	now := time.Unix(1000, 0)
	live := map[string]*targetState{}
	for i := range 7 {
		id := fmt.Sprint(i)
		live[id] = &targetState{target: messenger.Target{ID: id, Incarnation: 1}}
	}
	for n := range uint64(historySize) {
		for i := range 7 {
			h.add(now, []uint64{n}, live[fmt.Sprint(i)])
		}
		if h.holders > historySize || len(h.byHash) != h.order.Len() {
			t.Fatalf("%d holders of %d prefixes in a list of %d, want at most %d holders", h.holders, len(h.byHash), h.order.Len(), historySize)
		}
	}
	found := h.find(now, []uint64{historySize - 1}, live)
	if found.n != maxHolders || len(h.byHash) != historySize/maxHolders {
		t.Errorf("%d holders of the last prefix and %d prefixes, want %d and %d", found.n, len(h.byHash), maxHolders, historySize/maxHolders)
	}
	for i, want := range []string{"6", "5", "4", "3"} {
		if got := found.list[i].holder.target; got != want {
			t.Errorf("holder %d is %s, want %s, the latest first", i, got, want)
		}
	}
}

// Guards against a target that is listed twice, once for each prefix that it received, and
// against one whose incarnation has ended.
func TestHistoryFindsEachLiveHolderOnce(t *testing.T) {
	var h history
	now := time.Unix(1000, 0)
	a := &targetState{target: messenger.Target{ID: "a", Incarnation: 1}}
	b := &targetState{target: messenger.Target{ID: "b", Incarnation: 1}}
	live := map[string]*targetState{"a": a, "b": b}
	h.add(now, []uint64{1, 2}, a)
	h.add(now, []uint64{1, 2, 3}, b)
	h.add(now.Add(time.Second), []uint64{1, 2}, a)
	found := h.find(now, []uint64{1, 2, 3}, live)
	if found.n != 2 || found.list[0].target != b || found.list[0].index != 2 || found.list[1].target != a || found.list[1].index != 1 {
		t.Errorf("found %+v", found)
	}
	live["b"] = &targetState{target: messenger.Target{ID: "b", Incarnation: 2}}
	if found = h.find(now, []uint64{1, 2, 3}, live); found.n != 1 || found.list[0].target != a {
		t.Errorf("found %+v after a restart", found)
	}
	if found = h.find(now.Add(historyTTL+2*time.Second), []uint64{1, 2, 3}, live); found.n != 0 {
		t.Errorf("found %+v after the hints have expired", found)
	}
}
