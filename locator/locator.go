// Package locator lists the addresses of keepers: the seeds named in the settings and
// the current members of the group that a keeper has reported.
package locator

import (
	"slices"
	"sync"

	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

// Locator lists keepers. Its zero value lists none. Its methods may be called
// concurrently.
type Locator struct {
	Seeds []setter.Keeper // from the settings; they may have left the group

	mu      sync.Mutex
	members []setter.Keeper
}

// SetSeeds replaces the seeds after the settings have changed.
func (l *Locator) SetSeeds(seeds []setter.Keeper) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Seeds = seeds
}

// SetMembers replaces the members with those that a keeper has reported. An empty list
// is ignored.
func (l *Locator) SetMembers(members []messenger.Member) {
	if len(members) == 0 {
		return
	}
	next := make([]setter.Keeper, 0, len(members))
	for _, m := range members {
		next = append(next, setter.Keeper{Node: m.Node, Address: m.Address})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = next
}

// Keepers returns the members, followed by the seeds whose address is not a member's.
func (l *Locator) Keepers() []setter.Keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.members)
	for _, s := range l.Seeds {
		if !slices.ContainsFunc(all, func(k setter.Keeper) bool { return k.Address == s.Address }) {
			all = append(all, s)
		}
	}
	return all
}
