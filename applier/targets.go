package applier

import (
	"maps"
	"slices"

	"bramleyshunt/messenger"
)

// MaxTargets is the number of targets that are remembered. Further ones are not.
const MaxTargets = 16384

// Targets lists changes to the remembered targets.
type Targets struct {
	Known []messenger.Target `msgpack:"known"` // new or changed
	Gone  []string           `msgpack:"gone"`  // ids
}

// targets holds what keepers knew of targets at their last change, so that keepers that
// restart have targets before those announce themselves again. It is a hint: a target may
// have changed or ended since.
type targets struct {
	byID map[string]messenger.Target
}

func (t *targets) change(c *Targets) {
	if t.byID == nil {
		t.byID = map[string]messenger.Target{}
	}
	for _, id := range c.Gone {
		delete(t.byID, id)
	}
	for _, k := range c.Known {
		old, known := t.byID[k.ID]
		if known || k.Address != "" && len(t.byID) < MaxTargets {
			t.byID[k.ID] = MergeTarget(old, k)
		}
	}
}

// sorted returns the targets in ascending order of their ids.
func (t *targets) sorted() []messenger.Target {
	out := make([]messenger.Target, 0, len(t.byID))
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		out = append(out, t.byID[id])
	}
	return out
}

// MergeTarget returns what is remembered of a target once next is reported after old. A
// target that leaves stays so until its next incarnation, unless it may return or was on
// standby. A report without an address only states that the target leaves.
func MergeTarget(old, next messenger.Target) messenger.Target {
	if next.Incarnation < old.Incarnation {
		return old
	}
	if next.Address == "" {
		old.Leaving = old.Leaving || next.Leaving
		return old
	}
	next = withoutLoad(next)
	if next.Incarnation == old.Incarnation {
		next.Leaving = next.Leaving || old.Leaving && !old.Standby && !next.MayReturn
	}
	return next
}

// withoutLoad returns what rarely changes of a target.
func withoutLoad(t messenger.Target) messenger.Target {
	t.Load = messenger.Load{Memory: t.Load.Memory}
	t.Config, t.Seq, t.Cold = 0, 0, 0
	return t
}

// Targets returns the remembered targets in ascending order of their ids.
func (a *Applier) Targets() []messenger.Target {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.targets.sorted()
}
